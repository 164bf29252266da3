// Benchmarks certificate management: set-up latency while certificates are renewed, one year of renewals of a
// fleet in virtual time, and TLS handshakes with many certificates.
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

// Results of the calls of all gateways; the mutex guards the other members.
struct Calls {
  std::mutex mutex{};
  std::vector<double> latencies_ms{};
  int failed = 0;
};

// Runs one gateway that places a call every 20 ms until stop is requested: on one connection that stays open
// if keep_connection is set, otherwise on a new connection for each call.
void place_calls(const std::stop_token& stop, const standin::Gateway::Options& options, bool keep_connection,
                 Calls& calls) {
  standin::Gateway gateway(options);
  auto next = std::chrono::steady_clock::now();
  while (!stop.stop_requested()) {
    next += milliseconds(20);
    std::this_thread::sleep_until(next);
    bool connected = keep_connection && gateway.connected();
    if (!connected) connected = gateway.connect();
    standin::Gateway::Outcome outcome;
    if (connected) outcome = gateway.invite("7f3a");
    if (outcome.status == 200) gateway.bye(outcome, "7f3a");
    const std::lock_guard lock(calls.mutex);
    if (outcome.status != 200) ++calls.failed;
    calls.latencies_ms.push_back(static_cast<double>(outcome.response_time.count()) / 1000);
  }
}

void benchmark_calls_during_renewals(Figures& figures, bool quick) {
  std::string folder_template = (std::filesystem::temp_directory_path() / "bench-acme-XXXXXX").string();
  const std::string folder = ::mkdtemp(folder_template.data());
  std::FILE* const null_file = std::fopen("/dev/null", "w");
  {
    Logger log(null_file);
    const sockaddr_in any_port = *parse_address("127.0.0.1:0");
    standin::SetupServer::Options server_options;
    server_options.listen = any_port;
    server_options.setup_work = milliseconds(2);
    standin::SetupServer server(server_options);
    const auto registry = std::make_shared<tls::Registry>();
    standin::Node::Options node_options;
    node_options.servers = {server.address()};
    node_options.listening.tls = any_port;
    node_options.listening.certificates = registry;
    standin::Node node(node_options, log);
    standin::Authority::Config authority_config;
    authority_config.listen = any_port;
    authority_config.tls_alpn = node.address(sip::TransportKind::tls);
    // Each renewal answers a new challenge, on the TLS port that also takes calls.
    authority_config.options.authorization_lifetime = Seconds(0);
    standin::Authority authority(authority_config);
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
      std::fprintf(stderr, "first certificate not obtained: %s\n", failure.c_str());
      std::exit(1);
    }
    const standin::Gateway::Options gateway{node.address(sip::TransportKind::tls), true, "sip.lab.example",
                                            authority.root(), "voice"};
    Calls without_renewals, with_renewals;
    const int rounds = quick ? 5 : 10;
    std::chrono::microseconds longest_without{0}, longest_with{0};
    // Phases with and without renewals alternate, so that other load on the machine affects both alike.
    for (int round = 0; round < rounds; ++round) {
      for (const bool renewing : {false, true}) {
        Calls& calls = renewing ? with_renewals : without_renewals;
        std::vector<std::jthread> gateways;
        // Half of the gateways connect anew for each call.
        for (int i = 0; i < 4; ++i) {
          gateways.emplace_back(
              [&, i](const std::stop_token& stop) { place_calls(stop, gateway, i % 2 == 0, calls); });
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
        for (auto& gateway_thread : gateways) gateway_thread.request_stop();
      }
    }
    const double p99_without = bench::percentile(without_renewals.latencies_ms, 0.99),
                 p99_with = bench::percentile(with_renewals.latencies_ms, 0.99);
    figures.add("calls", static_cast<double>(without_renewals.latencies_ms.size() +
                                             with_renewals.latencies_ms.size()));
    figures.add("setup_p99_ms_without", p99_without);
    figures.add("setup_p99_ms_with", p99_with);
    figures.add("setup_p99_ratio", p99_with / p99_without,
                "ten renewals with certificate swaps, relative to none; target: at most 1.1");
    figures.add("failed_calls", without_renewals.failed + with_renewals.failed);
    figures.add("renewals", authority.counts().certificates - 1);
    figures.add("longest_pass_ms", static_cast<double>(longest_with.count()) / 1000,
                "longest pass of the event loop, during renewals");
    figures.add("longest_pass_ms_without", static_cast<double>(longest_without.count()) / 1000);
  }
  std::fclose(null_file);
  std::filesystem::remove_all(folder);
}

// ---- One year of renewals of a fleet

// A model of a certificate authority with rate limits like those that a large public authority publishes: per
// account, per set of names (duplicate certificates) and for all accounts together. It is down during one
// outage.
class ModelAuthority {
 public:
  enum class Result { issued, limited, down };
  struct Answer {
    Result result = Result::down;
    std::optional<Seconds> retry_after{};
  };
  ModelAuthority(std::size_t accounts, Instant outage, Seconds outage_length)
      : outage_(outage), outage_ends_(outage + outage_length), accounts_(accounts, Budget(300, 3 * kHour)) {}

  Answer order(Instant now, std::size_t account, std::size_t certificate) {
    const auto hour = static_cast<std::size_t>(now.time_since_epoch().count() / 3600);
    if (requests_.size() <= hour) requests_.resize(hour + 1);
    ++requests_[hour];
    if (now >= outage_ && now < outage_ends_) return {Result::down, {}};
    auto& duplicates = duplicates_.try_emplace(certificate, 5, 7 * kDay).first->second;
    if (accounts_[account].free_at(now) > now)
      return {Result::limited, accounts_[account].free_at(now) - now};
    if (duplicates.free_at(now) > now) return {Result::limited, duplicates.free_at(now) - now};
    if (issued_.size() <= hour) issued_.resize(hour + 1);
    if (issued_[hour] >= kOrdersPerHour) return {Result::limited, kHour};
    accounts_[account].spend(now);
    duplicates.spend(now);
    ++issued_[hour];
    return {Result::issued, {}};
  }
  // The largest number of requests in an hour, rejected ones included.
  std::size_t peak() const { return *std::max_element(requests_.begin(), requests_.end()); }

 private:
  static constexpr std::size_t kOrdersPerHour = 1500;  // for all accounts together

  Instant outage_, outage_ends_;
  std::vector<Budget> accounts_;
  std::map<std::size_t, Budget> duplicates_{};
  std::vector<std::size_t> issued_{}, requests_{};
};

// Results of one simulated year. least_left_days: the shortest remaining lifetime of a certificate when it
// was replaced.
struct Year {
  std::size_t peak = 0, expired = 0, alarms_late = 0, issued = 0;
  double least_left_days = 1e9;
};

constexpr Seconds kLifetime = 90 * kDay;

// Simulates one year. `naive`: each certificate is renewed exactly when a third of its lifetime is left, and
// again every hour after a failure; otherwise RenewalSchedule decides.
Year simulate_year(std::size_t instances, std::size_t certificates_per_instance, bool naive) {
  const Instant begin{Seconds(0)}, end = begin + 365 * kDay;
  // The outage begins when most certificates are due for renewal.
  ModelAuthority authority(instances, begin + 58 * kDay, 2 * kDay);
  struct Certificate {
    RenewalSchedule renewal;
    Validity validity;
    bool late = false, expired = false;
  };
  std::vector<Certificate> fleet;
  std::vector<std::vector<Budget>> accounts(instances, {Budget(50, 3 * kHour)});
  using Event = std::pair<Instant, std::size_t>;
  std::priority_queue<Event, std::vector<Event>, std::greater<>> events;
  for (std::size_t i = 0; i < instances * certificates_per_instance; ++i) {
    // All certificates are issued within the same hour: the worst case for spreading renewals.
    const Instant issued =
        begin + Seconds(static_cast<std::int64_t>(i * 3600 / (instances * certificates_per_instance)));
    fleet.push_back({RenewalSchedule({}, i * 7919 + 13, 1), {issued, issued + kLifetime}});
    events.emplace(issued, i);
  }
  Year year;
  while (!events.empty() && events.top().first < end) {
    const auto [now, index] = events.top();
    events.pop();
    Certificate& certificate = fleet[index];
    const std::size_t account = index / certificates_per_instance;
    const auto alarm = certificate.renewal.alarm(now, certificate.validity);
    certificate.late = certificate.late || alarm >= acme::Alarm::late;
    certificate.expired = certificate.expired || alarm == acme::Alarm::expired;
    Decision decision;
    if (naive) {
      const Instant due = certificate.validity.ends - kLifetime / 3;
      if (now < due) {
        events.emplace(due, index);
        continue;
      }
      decision.action = Decision::Action::renew;
    } else {
      decision = certificate.renewal.decide(now, certificate.validity, {}, accounts[account]);
      if (decision.action == Decision::Action::wait) {
        events.emplace(std::max(decision.at, now + Seconds(1)), index);
        continue;
      }
    }
    accounts[account][0].spend(now);
    const auto answer = authority.order(now, account, index);
    if (answer.result == ModelAuthority::Result::issued) {
      year.least_left_days = std::min(year.least_left_days,
                                      static_cast<double>((certificate.validity.ends - now).count()) / 86400);
      certificate.validity = {now, now + kLifetime};
      certificate.renewal.succeeded(now, 0);
      ++year.issued;
      events.emplace(now + Seconds(1), index);
      continue;
    }
    if (naive) {
      events.emplace(now + kHour, index);
      continue;
    }
    const bool limited = answer.result == ModelAuthority::Result::limited;
    certificate.renewal.failed(now, 0, limited ? Failure::rate_limited : Failure::unreachable,
                               answer.retry_after, certificate.validity);
    events.emplace(now + Seconds(1), index);
  }
  year.peak = authority.peak();
  for (const Certificate& certificate : fleet) {
    year.expired += certificate.expired;
    year.alarms_late += certificate.late;
  }
  return year;
}

void benchmark_fleet_year(Figures& figures, bool quick) {
  const std::size_t instances = quick ? 300 : 1000;
  const Year scheduled = simulate_year(instances, 3, false), naive = simulate_year(instances, 3, true);
  figures.add("instances", static_cast<double>(instances),
              "with 3 certificates of 90 days each, over 365 days with an outage of two days");
  figures.add("expired", static_cast<double>(scheduled.expired));
  figures.add("alarms_late", static_cast<double>(scheduled.alarms_late));
  figures.add("least_left_days", scheduled.least_left_days,
              "shortest remaining lifetime of a certificate when it was replaced");
  figures.add("peak_orders_per_hour", static_cast<double>(scheduled.peak),
              "requests for orders, rejected ones included");
  figures.add("naive_peak_orders_per_hour", static_cast<double>(naive.peak),
              "all renewed when a third of the lifetime is left, retried hourly");
  figures.add("naive_expired", static_cast<double>(naive.expired));
  figures.add("naive_alarms_late", static_cast<double>(naive.alarms_late));
  figures.add("peak_ratio", static_cast<double>(scheduled.peak) / static_cast<double>(naive.peak));
}

// ---- Handshakes by SNI

// Runs TLS handshakes in memory for `duration`, client and server on one thread, with server names spread
// over the first `names` certificates. Returns handshakes per second.
double handshakes_per_s(tls::Registry& registry, std::size_t names, milliseconds duration) {
  const std::unique_ptr<SSL_CTX, tls::OpenSslDeleter> context(SSL_CTX_new(TLS_client_method()));
  std::size_t done = 0;
  const auto start = std::chrono::steady_clock::now();
  auto now = start;
  while (now - start < duration) {
    for (int i = 0; i < 10; ++i, ++done) {
      const std::unique_ptr<SSL, tls::OpenSslDeleter> client(SSL_new(context.get())),
          server(SSL_new(registry.server()));
      BIO *client_end = nullptr, *server_end = nullptr;
      BIO_new_bio_pair(&client_end, 1 << 16, &server_end, 1 << 16);
      SSL_set_bio(client.get(), client_end, client_end);
      SSL_set_bio(server.get(), server_end, server_end);
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
  return static_cast<double>(done) / std::chrono::duration<double>(now - start).count();
}

void benchmark_handshakes(Figures& figures, bool quick) {
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
  benchmark_fleet_year(figures, quick);
  benchmark_handshakes(figures, quick);
  benchmark_calls_during_renewals(figures, quick);
  figures.print_json();
}
