// Certificates measured: calls during renewals, a fleet's year in virtual time, handshakes with many
// certificates.
#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <mutex>
#include <queue>
#include <thread>

#include "acme/certificate_renewer.hpp"
#include "authority/authority.hpp"
#include "bench.hpp"
#include "config.hpp"
#include "gateway/gateway.hpp"
#include "node/node.hpp"
#include "setup_server/setup_server.hpp"

namespace {

using namespace quartzarch;
using acme::Budget;
using acme::Decision;
using acme::Failure;
using acme::Instant;
using acme::RenewalSchedule;
using acme::Seconds;
using acme::Validity;
using bench::Figures;
using std::chrono::milliseconds;

constexpr Seconds kHour = std::chrono::hours(1), kDay = std::chrono::hours(24);

// ---- Calls during renewals

struct Calls {
  std::mutex mutex{};
  std::vector<double> took_ms{};
  int failed = 0;
};

// Gateways call at a steady pace, half of them on a new connection each time, until told to stop.
void call(const std::stop_token& stop, const standin::Gateway::Options& options, bool stays, Calls& calls) {
  standin::Gateway gateway(options);
  auto next = std::chrono::steady_clock::now();
  while (!stop.stop_requested()) {
    next += milliseconds(20);
    std::this_thread::sleep_until(next);
    bool good = stays && gateway.connected();
    if (!good) good = gateway.connect();
    standin::Gateway::Outcome outcome;
    if (good) outcome = gateway.invite("7f3a");
    if (outcome.status == 200) gateway.bye(outcome, "7f3a");
    const std::lock_guard lock(calls.mutex);
    if (outcome.status != 200) ++calls.failed;
    calls.took_ms.push_back(static_cast<double>(outcome.response_time.count()) / 1000);
  }
}

void during_renewals(Figures& figures, bool quick) {
  std::string pattern = (std::filesystem::temp_directory_path() / "bench-acme-XXXXXX").string();
  const std::string folder = ::mkdtemp(pattern.data());
  std::FILE* const nowhere = std::fopen("/dev/null", "w");
  {
    Logger log(nowhere);
    const sockaddr_in any = *parse_address("127.0.0.1:0");
    standin::SetupServer::Options server_options;
    server_options.listen = any;
    server_options.setup_work = milliseconds(2);
    standin::SetupServer server(server_options);
    const auto registry = std::make_shared<tls::Registry>();
    standin::Node::Options node_options;
    node_options.servers = {server.address()};
    node_options.listening.tls = any;
    node_options.listening.certificates = registry;
    standin::Node node(node_options, log);
    standin::Authority::Config setup;
    setup.listen = any;
    setup.tls_alpn = node.address(sip::TransportKind::tls);
    setup.options.authorization_lifetime = Seconds(0);  // every renewal is proved anew, on the port in use
    standin::Authority authority(setup);
    acme::Settings settings;
    settings.directory = folder + "/certs";
    settings.poll_interval = milliseconds(50);
    settings.policy.duplicates.most = settings.policy.orders.most = 1000;
    settings.authorities.resize(1);
    settings.authorities[0].access.directory = authority.directory();
    settings.authorities[0].access.ca_file = folder + "/roots";
    std::ofstream(folder + "/roots") << authority.root();
    settings.certificates = {{"sip", {"sip.lab.example"}, "ecdsa-p256"}};
    acme::CertificateRenewer renewer(settings, log, registry, acme::Environment::real({}));
    if (const std::string failure = renewer.renew_now("sip"); !failure.empty()) {
      std::fprintf(stderr, "no certificate: %s\n", failure.c_str());
      std::exit(1);
    }
    const standin::Gateway::Options gateway{node.address(sip::TransportKind::tls), true, "sip.lab.example",
                                            authority.root(), "voice"};
    Calls without, with;
    const int rounds = quick ? 5 : 10;
    std::chrono::microseconds longest_without{0}, longest_with{0};
    // Phases with and without take turns, so that what else the machine does meets both.
    for (int round = 0; round < rounds; ++round) {
      for (const bool renewing : {false, true}) {
        Calls& calls = renewing ? with : without;
        std::vector<std::jthread> gateways;
        for (int i = 0; i < 4; ++i) {
          gateways.emplace_back(
              [&, i](const std::stop_token& stop) { call(stop, gateway, i % 2 == 0, calls); });
        }
        std::this_thread::sleep_for(milliseconds(300));
        node.take_longest_pass();
        for (int i = 0; i < 10 / rounds; ++i) {
          if (renewing) {
            if (const std::string failure = renewer.renew_now("sip"); !failure.empty()) ++calls.failed;
          }
          std::this_thread::sleep_for(milliseconds(quick ? 600 : 1500));
        }
        auto& longest = renewing ? longest_with : longest_without;
        longest = std::max(longest, node.take_longest_pass());
        for (auto& each : gateways) each.request_stop();
      }
    }
    const double before = bench::percentile(without.took_ms, 0.99),
                 during = bench::percentile(with.took_ms, 0.99);
    figures.add("calls", static_cast<double>(without.took_ms.size() + with.took_ms.size()));
    figures.add("setup_p99_ms_without", before);
    figures.add("setup_p99_ms_with", during);
    figures.add("setup_p99_ratio", during / before, "ten renewals and swaps over none; 1.1 at most");
    figures.add("failed_calls", without.failed + with.failed);
    figures.add("renewals", authority.counts().certificates - 1);
    figures.add("longest_pass_ms", static_cast<double>(longest_with.count()) / 1000,
                "of the loop, during renewals");
    figures.add("longest_pass_ms_without", static_cast<double>(longest_without.count()) / 1000);
  }
  std::fclose(nowhere);
  std::filesystem::remove_all(folder);
}

// ---- A fleet's year

// What the authority does in it: limits like the published ones of a large one, for each account and
// altogether.
class ModelAuthority {
 public:
  enum class Says { issued, limited, down };
  struct Answer {
    Says says = Says::down;
    std::optional<Seconds> retry_after{};
  };
  ModelAuthority(std::size_t accounts, Instant outage, Seconds outage_length)
      : outage_(outage), outage_ends_(outage + outage_length), accounts_(accounts, Budget(300, 3 * kHour)) {}

  Answer order(Instant now, std::size_t account, std::size_t certificate) {
    const auto hour = static_cast<std::size_t>(now.time_since_epoch().count() / 3600);
    if (requests_.size() <= hour) requests_.resize(hour + 1);
    ++requests_[hour];
    if (now >= outage_ && now < outage_ends_) return {Says::down, {}};
    auto& duplicates = duplicates_.try_emplace(certificate, 5, 7 * kDay).first->second;
    if (accounts_[account].free_at(now) > now) return {Says::limited, accounts_[account].free_at(now) - now};
    if (duplicates.free_at(now) > now) return {Says::limited, duplicates.free_at(now) - now};
    if (issued_.size() <= hour) issued_.resize(hour + 1);
    if (issued_[hour] >= kAtOnce) return {Says::limited, kHour};
    accounts_[account].spend(now);
    duplicates.spend(now);
    ++issued_[hour];
    return {Says::issued, {}};
  }
  std::size_t peak() const { return *std::max_element(requests_.begin(), requests_.end()); }

 private:
  static constexpr std::size_t kAtOnce = 1500;  // orders an hour from all

  Instant outage_, outage_ends_;
  std::vector<Budget> accounts_;
  std::map<std::size_t, Budget> duplicates_{};
  std::vector<std::size_t> issued_{}, requests_{};
};

struct Year {
  std::size_t peak = 0, expired = 0, alarms_late = 0, issued = 0;
  double least_left_days = 1e9;
};

constexpr Seconds kLife = 90 * kDay;

// `naive`: at a third left to the second, and again every hour after a failure.
Year play(std::size_t instances, std::size_t each_has, bool naive) {
  const Instant begin{Seconds(0)}, end = begin + 365 * kDay;
  // The outage begins when most are due.
  ModelAuthority authority(instances, begin + 58 * kDay, 2 * kDay);
  struct Held {
    RenewalSchedule renewal;
    Validity validity;
    bool late = false, expired = false;
  };
  std::vector<Held> fleet;
  std::vector<std::vector<Budget>> accounts(instances, {Budget(50, 3 * kHour)});
  using Event = std::pair<Instant, std::size_t>;
  std::priority_queue<Event, std::vector<Event>, std::greater<>> events;
  for (std::size_t i = 0; i < instances * each_has; ++i) {
    // All were set up within the same hour: the worst case for a schedule.
    const Instant made = begin + Seconds(static_cast<std::int64_t>(i * 3600 / (instances * each_has)));
    fleet.push_back({RenewalSchedule({}, i * 7919 + 13, 1), {made, made + kLife}});
    events.emplace(made, i);
  }
  Year year;
  while (!events.empty() && events.top().first < end) {
    const auto [now, index] = events.top();
    events.pop();
    Held& held = fleet[index];
    const std::size_t account = index / each_has;
    const auto alarm = held.renewal.alarm(now, held.validity);
    held.late = held.late || alarm >= acme::Alarm::late;
    held.expired = held.expired || alarm == acme::Alarm::expired;
    Decision decision;
    if (naive) {
      const Instant due = held.validity.ends - kLife / 3;
      if (now < due) {
        events.emplace(due, index);
        continue;
      }
      decision.action = Decision::Action::renew;
    } else {
      decision = held.renewal.decide(now, held.validity, {}, accounts[account]);
      if (decision.action == Decision::Action::wait) {
        events.emplace(std::max(decision.at, now + Seconds(1)), index);
        continue;
      }
    }
    accounts[account][0].spend(now);
    const auto answer = authority.order(now, account, index);
    if (answer.says == ModelAuthority::Says::issued) {
      year.least_left_days =
          std::min(year.least_left_days, static_cast<double>((held.validity.ends - now).count()) / 86400);
      held.validity = {now, now + kLife};
      held.renewal.succeeded(now, 0);
      ++year.issued;
      events.emplace(now + Seconds(1), index);
      continue;
    }
    if (naive) {
      events.emplace(now + kHour, index);
      continue;
    }
    const bool limited = answer.says == ModelAuthority::Says::limited;
    held.renewal.failed(now, 0, limited ? Failure::rate_limited : Failure::unreachable, answer.retry_after,
                        held.validity);
    events.emplace(now + Seconds(1), index);
  }
  year.peak = authority.peak();
  for (const Held& each : fleet) {
    year.expired += each.expired;
    year.alarms_late += each.late;
  }
  return year;
}

void fleet_year(Figures& figures, bool quick) {
  const std::size_t instances = quick ? 300 : 1000;
  const Year ours = play(instances, 3, false), naive = play(instances, 3, true);
  figures.add("instances", static_cast<double>(instances),
              "with 3 certificates of 90 days, 365 days, two of outage");
  figures.add("expired", static_cast<double>(ours.expired));
  figures.add("alarms_late", static_cast<double>(ours.alarms_late));
  figures.add("least_left_days", ours.least_left_days, "of a certificate when its successor came");
  figures.add("peak_orders_per_hour", static_cast<double>(ours.peak),
              "requests for orders, refused ones too");
  figures.add("naive_peak_orders_per_hour", static_cast<double>(naive.peak),
              "all at a third left, hourly retries");
  figures.add("naive_expired", static_cast<double>(naive.expired));
  figures.add("naive_alarms_late", static_cast<double>(naive.alarms_late));
  figures.add("peak_ratio", static_cast<double>(ours.peak) / static_cast<double>(naive.peak));
}

// ---- Handshakes by SNI

double handshakes_per_s(tls::Registry& registry, std::size_t names, milliseconds how_long) {
  const std::unique_ptr<SSL_CTX, tls::OpenSslDeleter> context(SSL_CTX_new(TLS_client_method()));
  std::size_t done = 0;
  const auto begun = std::chrono::steady_clock::now();
  auto now = begun;
  while (now - begun < how_long) {
    for (int i = 0; i < 10; ++i, ++done) {
      const std::unique_ptr<SSL, tls::OpenSslDeleter> client(SSL_new(context.get())),
          server(SSL_new(registry.server()));
      BIO *ours = nullptr, *theirs = nullptr;
      BIO_new_bio_pair(&ours, 1 << 16, &theirs, 1 << 16);
      SSL_set_bio(client.get(), ours, ours);
      SSL_set_bio(server.get(), theirs, theirs);
      SSL_set_connect_state(client.get());
      SSL_set_accept_state(server.get());
      SSL_set_tlsext_host_name(client.get(),
                               ("n" + std::to_string(done * 7919 % names) + ".lab.example").c_str());
      while (!SSL_is_init_finished(client.get()) || !SSL_is_init_finished(server.get())) {
        SSL_do_handshake(client.get());
        SSL_do_handshake(server.get());
      }
    }
    now = std::chrono::steady_clock::now();
  }
  return static_cast<double>(done) / std::chrono::duration<double>(now - begun).count();
}

void handshakes(Figures& figures, bool quick) {
  const auto now = std::chrono::floor<Seconds>(std::chrono::system_clock::now());
  standin::Ca ca(now);
  tls::Registry one, many;
  constexpr std::size_t kMany = 1000;
  for (std::size_t i = 0; i < kMany; ++i) {
    const acme::Key key = acme::new_key();
    const std::string name = "n" + std::to_string(i) + ".lab.example";
    const std::string pem =
        acme::pem_of(key).text() + ca.issue(key, {name}, {now - kHour, now + kDay}).chains[0];
    many.put(name, pem);
    if (i == 0) one.put(name, pem);
  }
  std::vector<double> ratios, rates;
  for (int round = 0; round < (quick ? 5 : 15); ++round) {
    const double single = handshakes_per_s(one, 1, milliseconds(400));
    const double thousand = handshakes_per_s(many, kMany, milliseconds(400));
    ratios.push_back(thousand / single);
    rates.push_back(single);
  }
  figures.add("handshakes_per_s_1", bench::percentile(rates, 0.5), "both sides on one core, in memory");
  figures.add("handshakes_ratio_1000", bench::percentile(ratios, 0.5), "with 1,000 certificates over 1");
}

}  // namespace

int main(int argc, char** argv) {
  std::signal(SIGPIPE, SIG_IGN);
  const bool quick = bench::quick(argc, argv);
  Figures figures("acme");
  fleet_year(figures, quick);
  handshakes(figures, quick);
  during_renewals(figures, quick);
  figures.print_json();
}
