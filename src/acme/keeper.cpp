#include "acme/keeper.hpp"

#include <unistd.h>

#include <algorithm>
#include <condition_variable>
#include <mutex>
#include <utility>

#include "acme/json.hpp"

namespace quartzarch::acme {
namespace {

using std::chrono::milliseconds;

constexpr Seconds kLongestSleep = std::chrono::hours(1);
constexpr milliseconds kLook{500};  // how soon what another instance did is seen
constexpr Seconds kWrongClock = std::chrono::hours(1);
constexpr Seconds kRepeatAlarm = std::chrono::hours(6);
constexpr Seconds kAfterStateError{60};
constexpr Seconds kLongestPause{60};
constexpr std::size_t kOrdersLookedAt = 20;
constexpr int kFetches = 2;  // of a chain that came cut short
constexpr int kLeaseTries = 60;

std::string date(Instant at) { return timestamp(at); }

std::string span(Seconds seconds) {
  const auto count = seconds.count();
  if (count >= 2 * 86400) return std::to_string(count / 86400) + " d";
  if (count >= 2 * 3600) return std::to_string(count / 3600) + " h";
  if (count >= 2 * 60) return std::to_string(count / 60) + " min";
  return std::to_string(count) + " s";
}

std::string when(const std::optional<Instant>& at) {
  return at ? std::to_string(at->time_since_epoch().count()) : "null";
}

std::string list_of(const std::vector<Instant>& times) {
  std::string out;
  for (const Instant each : times) out += (out.empty() ? "" : ",") + when(each);
  return "[" + out + "]";
}

std::optional<Instant> when_in(simdjson::dom::element from, std::string_view name) {
  std::int64_t value = 0;
  if (from[name].get(value) != simdjson::SUCCESS) return std::nullopt;
  return Instant(Seconds(value));
}

std::vector<Instant> times_in(simdjson::dom::element from, std::string_view name) {
  std::vector<Instant> times;
  simdjson::dom::array list;
  if (from[name].get(list) != simdjson::SUCCESS) return times;
  for (const auto each : list) {
    std::int64_t value = 0;
    if (each.get(value) == simdjson::SUCCESS) times.push_back(Instant(Seconds(value)));
  }
  return times;
}

std::string schedule_text(const Memory& memory, std::uint64_t seed, const std::string& last_failure) {
  std::string authorities;
  for (const auto& each : memory.authorities) {
    authorities += (authorities.empty() ? "" : ",") + std::string("{\"blocked_until\":") +
                   when(each.blocked_until) + ",\"rejections\":" + list_of(each.rejections) +
                   ",\"issued\":" + list_of(each.issued) + "}";
  }
  const std::string window = memory.window
                                 ? "[" + when(memory.window->start) + "," + when(memory.window->end) + "]"
                                 : std::string("[]");
  return "{\"seed\":" + std::to_string(seed >> 1) + ",\"failures\":" + std::to_string(memory.failures) +
         ",\"failing_since\":" + when(memory.failing_since) + ",\"next\":" + when(memory.next) +
         ",\"window\":" + window + ",\"ask_window_at\":" + when(memory.ask_window_at) +
         ",\"last_failure\":" + in_quotes(last_failure) + ",\"authorities\":[" + authorities + "]}";
}

struct Schedule {
  Memory memory{};
  std::uint64_t seed = 0;
  std::string last_failure{};
};

std::optional<Schedule> parse_schedule(const std::string& text) {
  simdjson::dom::parser parser;
  simdjson::dom::element root;
  if (parser.parse(text).get(root) != simdjson::SUCCESS || !root.is_object()) return std::nullopt;
  Schedule schedule;
  schedule.seed = static_cast<std::uint64_t>(number_in(root, "seed", 0)) << 1;
  schedule.last_failure = text_in(root, "last_failure");
  Memory& memory = schedule.memory;
  memory.failures =
      static_cast<unsigned>(std::clamp<std::int64_t>(number_in(root, "failures", 0), 0, 1000000));
  memory.failing_since = when_in(root, "failing_since");
  memory.next = when_in(root, "next");
  memory.ask_window_at = when_in(root, "ask_window_at");
  if (const auto ends = times_in(root, "window"); ends.size() == 2) memory.window = Window{ends[0], ends[1]};
  simdjson::dom::array authorities;
  if (root["authorities"].get(authorities) == simdjson::SUCCESS) {
    for (const auto each : authorities) {
      if (!each.is_object()) continue;
      memory.authorities.push_back(
          {when_in(each, "blocked_until"), times_in(each, "rejections"), times_in(each, "issued")});
    }
  }
  return schedule;
}

bool ends_the_order(const AcmeError& error) {
  for (const char* const each : {"badCSR", "badPublicKey", "unauthorized", "malformed"}) {
    if (error.type == each) return true;
  }
  return error.status == 404;
}

}  // namespace

Environment Environment::real(std::stop_token stop) {
  Environment environment;
  environment.now = [] { return std::chrono::floor<Seconds>(std::chrono::system_clock::now()); };
  environment.stopped = [stop] { return stop.stop_requested(); };
  environment.pause = [stop](milliseconds how_long) {
    std::mutex mutex;
    std::condition_variable_any woken;
    std::unique_lock lock(mutex);
    woken.wait_for(lock, stop, how_long, [] { return false; });
    return !stop.stop_requested();
  };
  return environment;
}

Keeper::Keeper(Settings settings, Logger& log, std::shared_ptr<tls::Registry> registry,
               Environment environment)
    : settings_(std::move(settings)),
      log_(log),
      registry_(std::move(registry)),
      environment_(std::move(environment)),
      state_(settings_.directory,
             [&log](const std::string& line) { log.line("certificates: %s", line.c_str()); }),
      holder_(std::to_string(::getpid()) + "-" + std::to_string(random_bits())),
      lease_(state_, holder_, settings_.lease) {
  for (AuthoritySettings& authority : settings_.authorities) {
    if (!authority.access.external) continue;
    const auto slash = authority.eab_key_file.rfind('/');
    const StateDirectory beside(slash == std::string::npos ? "." : authority.eab_key_file.substr(0, slash),
                                {});
    const auto text = beside.read_pem(slash == std::string::npos ? authority.eab_key_file
                                                                 : authority.eab_key_file.substr(slash + 1));
    std::string trimmed = text ? text->text() : std::string();
    while (!trimmed.empty() && std::isspace(static_cast<unsigned char>(trimmed.back()))) trimmed.pop_back();
    const auto key = from_base64url(trimmed);
    if (!key || key->empty()) throw SettingsError(authority.eab_key_file + " holds no key in base64url");
    authority.access.external->mac_key = *key;
  }
  for (const CertificateSettings& each : settings_.certificates) {
    Managed managed;
    managed.settings = each;
    managed.seed = (environment_.seed ? *environment_.seed : random_bits()) & ~std::uint64_t{1};
    managed.renewal = std::make_unique<Renewal>(settings_.policy, managed.seed, settings_.authorities.size());
    managed_.push_back(std::move(managed));
  }
  // Served from the first connection on, before the thread has begun.
  for (Managed& managed : managed_) refresh(managed);
}

Keeper::~Keeper() {
  for (const auto& [file, answered] : answered_) {
    if (registry_ && answered.type == "tls-alpn-01") registry_->end_challenge(answered.name);
  }
}

// ---- The pass

void Keeper::step(const char* what) {
  if (environment_.step) environment_.step(what);
  if (environment_.stopped && environment_.stopped()) throw Stopped{};
  if (!lease_.keep(environment_.now())) throw Lost{};
}

void Keeper::wait(milliseconds how_long) {
  while (how_long.count() > 0) {
    // In pieces, so that the lease is kept up.
    const milliseconds piece = std::min<milliseconds>(how_long, settings_.lease / 4);
    if (!environment_.pause(piece)) throw Stopped{};
    if (!lease_.keep(environment_.now())) throw Lost{};
    how_long -= piece;
  }
}

// The certificate at hand, if it is what the settings want.
std::optional<Validity> Keeper::wanted(const Managed& managed) const {
  if (!managed.leaf || !names_all(managed.leaf, managed.settings.names)) return std::nullopt;
  return managed.held;
}

Instant Keeper::work() {
  const Instant begun = environment_.now();
  Instant next = begun + kLongestSleep;
  bool ours = false;
  try {
    look();
    std::vector<Budget> budgets;
    for (Managed& managed : managed_) {
      Instant now = environment_.now();
      const auto advise = [&] {
        const auto record = load_order(managed);
        return managed.renewal->advise(now, wanted(managed),
                                       record ? std::optional(record->authority) : std::nullopt, budgets);
      };
      if (budgets.empty()) budgets = account_budgets();
      Advice advice = advise();
      const bool asks = managed.held && managed.renewal->wants_window(now) &&
                        managed.renewal->memory().failures == 0 && now < managed.held->ends;
      if (advice.action == Advice::Do::renew || asks) {
        if (!ours) ours = lease_.take(now);
        if (!ours) {
          next = std::min(next, now + std::min(settings_.lease / 4 + Seconds(1), Seconds(30)));
          continue;
        }
        // Another may have done it since.
        refresh(managed);
        if (asks && managed.renewal->wants_window(now)) ask_window(managed, now);
        budgets = account_budgets();
        advice = advise();
        if (advice.action == Advice::Do::renew) {
          attempt(managed, advice.authority);
          now = environment_.now();
          budgets = account_budgets();
          advice = advise();
        }
        tell_alarm(managed, now);
      }
      next = std::min(next, advice.action == Advice::Do::renew ? now + Seconds(1) : advice.at);
      if (managed.held && managed.renewal->memory().failures == 0) {
        next = std::min(next, managed.renewal->memory().ask_window_at.value_or(now));
      }
    }
  } catch (const StateError& error) {
    log_.line("certificates: %s", error.what());
    next = begun + kAfterStateError;
  } catch (const Stopped&) {
    next = begun;
  } catch (const Lost&) {
    log_.line("certificates: the lease went to another instance");
    next = begun + settings_.lease / 4;
    ours = false;
  } catch (const std::exception& error) {
    log_.line("certificates: %s", error.what());
    next = begun + kAfterStateError;
  }
  try {
    if (ours) lease_.give_back();
  } catch (const StateError& error) {
    log_.line("certificates: %s", error.what());
  }
  return std::max(next, environment_.now() + Seconds(1));
}

void Keeper::run(const std::stop_token& stop) {
  while (!stop.stop_requested()) {
    const Instant next = work();
    // Counted besides, for a clock that is set back meanwhile.
    for (auto left = kLongestSleep / kLook; left > 0 && environment_.now() < next; --left) {
      if (!environment_.pause(kLook)) return;
      try {
        look();
      } catch (const std::exception& error) {
        log_.line("certificates: %s", error.what());
        break;
      }
    }
  }
}

void Keeper::look() {
  answer_shared();
  const Instant now = environment_.now();
  for (Managed& managed : managed_) {
    refresh(managed);
    tell_alarm(managed, now);
  }
}

void Keeper::refresh(Managed& managed) {
  const std::string name = file(managed, ".current.pem");
  if (std::string stamp = state_.stamp(name); stamp != managed.current_stamp) {
    managed.current_stamp = std::move(stamp);
    if (const auto pem = state_.read_pem(name)) {
      try {
        Certificate leaf = first_certificate(pem->view());
        const Validity validity = validity_of(leaf);
        if (!belongs_to(leaf, key_from_pem(pem->view())))
          throw CryptoError("the key is not the certificate's");
        if (registry_) registry_->put(managed.settings.id, pem->view());
        managed.leaf = std::move(leaf);
        managed.held = validity;
      } catch (const std::runtime_error& error) {
        // What is served goes on; the file is kept for whoever wants to know.
        state_.put_aside(name, error.what());
        managed.current_stamp.clear();
      }
    }
  }
  const std::string schedule = file(managed, ".schedule.json");
  if (std::string stamp = state_.stamp(schedule); stamp != managed.schedule_stamp) {
    managed.schedule_stamp = std::move(stamp);
    if (const auto text = state_.read(schedule)) {
      if (const auto kept = parse_schedule(*text)) {
        managed.seed = kept->seed;
        managed.last_failure = kept->last_failure;
        managed.renewal =
            std::make_unique<Renewal>(settings_.policy, kept->seed, settings_.authorities.size());
        managed.renewal->restore(kept->memory);
      }
    }
  }
}

void Keeper::tell_alarm(Managed& managed, Instant now) {
  const Alarm alarm = managed.renewal->alarm(now, managed.held);
  const bool grave = alarm >= Alarm::late;
  const bool again = grave && (now - managed.told_at >= kRepeatAlarm || now < managed.told_at);
  if (managed.told == alarm && !again) return;
  const bool worth_saying = managed.told ? true : alarm != Alarm::good;
  managed.told = alarm;
  managed.told_at = now;
  if (!worth_saying) return;
  const char* const id = managed.settings.id.c_str();
  const std::string because = managed.renewal->memory().failures == 0
                                  ? ""
                                  : "; " + std::to_string(managed.renewal->memory().failures) +
                                        " attempts failed, last: " + managed.last_failure;
  if (!managed.held) {
    log_.line("%scertificate %s: expired: there is none yet%s", grave ? "ALARM " : "", id, because.c_str());
  } else if (alarm == Alarm::expired) {
    log_.line("ALARM certificate %s: expired since %s%s", id, date(managed.held->ends).c_str(),
              because.c_str());
  } else {
    log_.line("%scertificate %s: %s, ends %s, in %s%s", grave ? "ALARM " : "", id, name_of(alarm),
              date(managed.held->ends).c_str(), span(managed.held->ends - now).c_str(), because.c_str());
  }
}

Keeper::Managed& Keeper::find(const std::string& id) {
  for (Managed& each : managed_) {
    if (each.settings.id == id) return each;
  }
  std::string known;
  for (const Managed& each : managed_) known += (known.empty() ? "" : ", ") + each.settings.id;
  throw SettingsError("there is no certificate \"" + id + "\"; there is: " + known);
}

std::vector<Standing> Keeper::standings() {
  const Instant now = environment_.now();
  std::vector<Standing> all;
  for (Managed& managed : managed_) {
    refresh(managed);
    Standing standing;
    standing.id = managed.settings.id;
    standing.names = managed.settings.names;
    standing.alarm = managed.renewal->alarm(now, managed.held);
    standing.validity = managed.held;
    if (managed.leaf) {
      standing.issuer = issuer_of(managed.leaf);
      standing.fingerprint = fingerprint(managed.leaf);
    }
    if (managed.held) standing.due = managed.renewal->due_at(*managed.held);
    standing.next = managed.renewal->memory().next;
    standing.failures = managed.renewal->memory().failures;
    standing.last_failure = managed.last_failure;
    standing.order_open = load_order(managed).has_value();
    all.push_back(std::move(standing));
  }
  return all;
}

// ---- Files

std::string Keeper::account_file(std::size_t authority, const char* suffix) const {
  const std::string& url = settings_.authorities[authority].access.directory;
  return "account-" + hex(sha256(url)).substr(0, 16) + suffix;
}

Keeper::Account Keeper::load_account(std::size_t authority) {
  Account account;
  account.orders = Budget(settings_.policy.orders.most, settings_.policy.orders.span);
  const std::string key_file = account_file(authority, ".key.pem");
  if (const auto pem = state_.read_pem(key_file)) {
    try {
      account.key = key_from_pem(pem->view());
    } catch (const CryptoError& error) {
      state_.put_aside(key_file, error.what());
    }
  }
  if (const auto text = state_.read(account_file(authority, ".json"))) {
    simdjson::dom::parser parser;
    simdjson::dom::element root;
    if (parser.parse(*text).get(root) == simdjson::SUCCESS && root.is_object()) {
      if (account.key) account.url = text_in(root, "url");
      account.contact = texts_in(root, "contact");
      account.orders.restore(times_in(root, "orders"));
    }
  }
  return account;
}

void Keeper::save_account(std::size_t authority, const Account& account) {
  state_.write(account_file(authority, ".json"),
               "{\"directory\":" + in_quotes(settings_.authorities[authority].access.directory) +
                   ",\"url\":" + in_quotes(account.url) + ",\"contact\":" + in_brackets(account.contact) +
                   ",\"orders\":" + list_of(account.orders.events()) + "}");
}

std::vector<Budget> Keeper::account_budgets() {
  std::vector<Budget> budgets;
  for (std::size_t i = 0; i < settings_.authorities.size(); ++i) budgets.push_back(load_account(i).orders);
  return budgets;
}

std::optional<OrderRecord> Keeper::load_order(const Managed& managed) {
  const std::string name = file(managed, ".order.json");
  const auto text = state_.read(name);
  if (!text) return std::nullopt;
  simdjson::dom::parser parser;
  simdjson::dom::element root;
  if (parser.parse(*text).get(root) != simdjson::SUCCESS || !root.is_object()) {
    state_.put_aside(name, "no order");
    return std::nullopt;
  }
  OrderRecord record;
  record.authority = static_cast<std::size_t>(std::max<std::int64_t>(number_in(root, "authority", 0), 0));
  record.directory = text_in(root, "directory");
  record.names = texts_in(root, "names");
  record.key_type = text_in(root, "key_type");
  record.key_file = text_in(root, "key_file");
  record.replaces = text_in(root, "replaces");
  record.url = text_in(root, "url");
  record.finalized = number_in(root, "finalized", 0) != 0;
  record.fetches = static_cast<int>(number_in(root, "fetches", 0));
  record.made = when_in(root, "made").value_or(Instant{});
  return record;
}

void Keeper::save_order(const Managed& managed, const OrderRecord& record) {
  state_.write(
      file(managed, ".order.json"),
      "{\"authority\":" + std::to_string(record.authority) + ",\"directory\":" + in_quotes(record.directory) +
          ",\"names\":" + in_brackets(record.names) + ",\"key_type\":" + in_quotes(record.key_type) +
          ",\"key_file\":" + in_quotes(record.key_file) + ",\"replaces\":" + in_quotes(record.replaces) +
          ",\"url\":" + in_quotes(record.url) + ",\"finalized\":" + (record.finalized ? "1" : "0") +
          ",\"fetches\":" + std::to_string(record.fetches) + ",\"made\":" + when(record.made) + "}");
}

void Keeper::drop_order(const Managed& managed, const OrderRecord& record) {
  state_.remove(file(managed, ".order.json"));
  if (!record.key_file.empty()) state_.remove(record.key_file);
}

// Keys that a crash left behind after their order had gone.
void Keeper::drop_stray_keys(const Managed& managed, const std::optional<OrderRecord>& record) {
  for (const std::string& each : state_.list(file(managed, ".key-"), ".pem")) {
    if (!record || each != record->key_file) state_.remove(each);
  }
}

void Keeper::save_schedule(Managed& managed) {
  const std::string name = file(managed, ".schedule.json");
  try {
    state_.write(name, schedule_text(managed.renewal->memory(), managed.seed, managed.last_failure));
    managed.schedule_stamp = state_.stamp(name);
  } catch (const StateError& error) {
    // It is in memory, and holds while the process lives.
    log_.line("certificates: the schedule could not be kept: %s", error.what());
  }
}

// ---- Accounts

std::unique_ptr<Keeper::Session> Keeper::open(std::size_t authority) {
  const AuthoritySettings& settings = settings_.authorities[authority];
  auto session = std::make_unique<Session>();
  Account& account = session->account = load_account(authority);
  session->client = std::make_unique<Client>(settings.access, environment_.now, environment_.stopped);
  Client& client = *session->client;
  client.has_renewal_info();  // reads the directory
  if (const Seconds ahead = client.clock_ahead(); std::chrono::abs(ahead) > kWrongClock) {
    throw AcmeError(Failure::local, "our clock and the authority's differ by " +
                                        span(std::chrono::abs(ahead)) +
                                        ": nothing is ordered by a wrong clock");
  }
  if (!account.key) {
    // On disk before the authority hears of it: the account is found again by it.
    account.key = new_key();
    step("account key");
    state_.write_pem(account_file(authority, ".key.pem"), pem_of(account.key));
    account.url.clear();
  }
  client.use(account.key, account.url);
  finish_roll_over(authority, *session);
  if (account.url.empty()) {
    step("new account");
    client.open_account();
    account.url = client.account_url();
    account.contact = settings.access.contact;
    step("account open");
    save_account(authority, account);
  } else if (account.contact != settings.access.contact) {
    client.change_contact();
    account.contact = settings.access.contact;
    save_account(authority, account);
  }
  return session;
}

// A rollover that was broken off: the fresh key is on disk, and the authority knows which of the two holds.
void Keeper::finish_roll_over(std::size_t authority, Session& session) {
  const std::string fresh_file = account_file(authority, ".next.pem");
  const auto pem = state_.read_pem(fresh_file);
  if (!pem) return;
  Key fresh;
  try {
    fresh = key_from_pem(pem->view());
  } catch (const CryptoError& error) {
    return state_.put_aside(fresh_file, error.what());
  }
  session.client->use(fresh, {});
  if (const auto url = session.client->open_account(true)) {
    state_.write_pem(account_file(authority, ".key.pem"), *pem);
    session.account.key = std::move(fresh);
    session.account.url = *url;
    save_account(authority, session.account);
  }
  session.client->use(session.account.key, session.account.url);
  state_.remove(fresh_file);
}

// ---- Issuing

std::string Keeper::attempt(Managed& managed, std::size_t authority) {
  Failure why = Failure::local;
  std::optional<Seconds> retry;
  std::string what;
  try {
    issue(managed, authority);
    return {};
  } catch (const AcmeError& error) {
    why = error.why, retry = error.retry_after, what = error.what();
    if (error.type == "accountDoesNotExist") {  // it is opened anew by its key
      Account account = load_account(authority);
      account.url.clear();
      save_account(authority, account);
    }
  } catch (const HttpError& error) {
    why = Failure::unreachable, what = error.what();
  } catch (const CryptoError& error) {
    what = error.what();
  } catch (const StateError& error) {
    what = error.what();
  }
  if (environment_.stopped && environment_.stopped()) throw Stopped{};
  const Instant now = environment_.now();
  managed.renewal->failed(now, authority, why, retry, managed.held);
  managed.last_failure = what;
  const Instant next = managed.renewal->memory().next.value_or(now);
  log_.line("certificate %s: not renewed by %s (%s): %s; again in %s", managed.settings.id.c_str(),
            settings_.authorities[authority].name.c_str(), name_of(why), what.c_str(),
            span(next - now).c_str());
  save_schedule(managed);
  return what;
}

void Keeper::issue(Managed& managed, std::size_t authority) {
  const AuthoritySettings& settings = settings_.authorities[authority];
  std::vector<std::string> directories;
  for (const auto& each : settings_.authorities) directories.push_back(each.access.directory);
  auto record = load_order(managed);
  if (record && managed.leaf && !record->key_file.empty()) {
    // It died between the swap and the tidying up: the certificate in use has the order's key.
    const auto pem = state_.read_pem(record->key_file);
    if (pem && pem->view().find("PRIVATE KEY") != std::string_view::npos &&
        belongs_to(managed.leaf, key_from_pem(pem->view()))) {
      managed.renewal->succeeded(environment_.now(), record->authority);
      managed.last_failure.clear();
      save_schedule(managed);
      return drop_order(managed, *record);
    }
  }
  if (record && (!fits(*record, managed.settings.names, managed.settings.key_type, directories) ||
                 record->authority != authority)) {
    drop_order(managed, *record);
    record.reset();
  }
  drop_stray_keys(managed, record);
  const auto session = open(authority);
  const bool taken_up = record.has_value();
  if (!record) {
    record.emplace();
    record->authority = authority;
    record->directory = settings.access.directory;
    record->names = managed.settings.names;
    record->key_type = managed.settings.key_type;
    record->key_file = file(managed, ".key-") + std::to_string(random_bits()) + ".pem";
    if (managed.leaf && session->client->has_renewal_info()) record->replaces = renewal_id(managed.leaf);
    record->made = environment_.now();
    step("intent");
    save_order(managed, *record);
  }
  const Key key = key_of(managed, *record);
  OrderReply reply = place(managed, *record, *session, taken_up);
  Client& client = *session->client;
  Seconds waited{0};
  const auto look_again = [&](const char* what) {
    const Seconds pause = std::clamp(reply.retry_after.value_or(Seconds(0)), Seconds(0), kLongestPause);
    const auto longer = std::max<milliseconds>(pause, settings_.poll);
    waited += std::chrono::ceil<Seconds>(longer);
    if (waited > settings_.patience) throw AcmeError(Failure::unreachable, what, reply.retry_after);
    wait(longer);
    reply = client.order(record->url);
  };
  bool authorized = false;
  for (;;) {
    switch (next_step(*record, reply.view, environment_.now(), settings_.order_patience)) {
      case Step::authorize:
        if (std::exchange(authorized, true)) {
          look_again("the order stays pending though every authorization is valid");
          break;
        }
        try {
          for (const std::string& url : reply.view.authorizations) prove(managed, *session, url);
        } catch (const AcmeError& error) {
          if (error.why == Failure::rejected) drop_order(managed, *record);  // it is invalid with it
          throw;
        }
        reply = client.order(record->url);
        break;
      case Step::finalize:
        record->finalized = true;
        step("finalize");
        save_order(managed, *record);
        step("finalize sent");
        try {
          reply = client.finalize(record->url, reply.view.finalize, certificate_request(key, record->names));
        } catch (const AcmeError& error) {
          if (ends_the_order(error)) drop_order(managed, *record);
          throw;
        }
        step("finalized");
        break;
      case Step::look_again:
        look_again("the order is still in processing");
        break;
      case Step::fetch:
        return fetch(managed, *record, *session, key, reply.view);
      case Step::abandon:
        drop_order(managed, *record);
        // What was left of an earlier attempt has come to nothing meanwhile: this one has not begun yet.
        if (taken_up && !authorized && !record->finalized) return issue(managed, authority);
        throw AcmeError(
            reply.error ? reply.error->failure() : Failure::rejected,
            "the order came to nothing" + (reply.error ? ": " + reply.error->plain() : std::string()));
    }
  }
}

// A new key for each order. The record that names its file is on disk before it.
Key Keeper::key_of(Managed& managed, OrderRecord& record) {
  if (const auto pem = state_.read_pem(record.key_file)) {
    try {
      return key_from_pem(pem->view());
    } catch (const CryptoError& error) {
      state_.put_aside(record.key_file, error.what());
    }
  }
  if (record.finalized) {
    drop_order(managed, record);
    throw AcmeError(Failure::local, "the key of the open order is gone; a new order is needed");
  }
  Key key = new_key(record.key_type);
  step("key");
  state_.write_pem(record.key_file, pem_of(key));
  step("key written");
  return key;
}

OrderReply Keeper::place(Managed& managed, OrderRecord& record, Session& session, bool taken_up) {
  Client& client = *session.client;
  if (!record.url.empty()) {
    try {
      return client.order(record.url);
    } catch (const AcmeError& error) {
      if (ends_the_order(error)) drop_order(managed, record);
      throw;
    }
  }
  if (taken_up) {
    // The request may have been taken and its answer lost.
    client.open_account(true);
    std::vector<std::string> urls = client.orders();
    if (urls.size() > kOrdersLookedAt) urls.erase(urls.begin(), urls.end() - kOrdersLookedAt);
    std::vector<OrderReply> replies;
    std::vector<OrderView> views;
    for (const std::string& url : urls) {
      replies.push_back(client.order(url));
      views.push_back(replies.back().view);
    }
    if (const auto found = match(record, views)) {
      record.url = urls[*found];
      save_order(managed, record);
      return replies[*found];
    }
  }
  const Instant now = environment_.now();
  if (const Instant free = session.account.orders.free_at(now); free > now) {
    throw AcmeError(Failure::local, "the account has placed as many orders as it may for now", free - now);
  }
  session.account.orders.spend(now);
  save_account(record.authority, session.account);
  step("new order");
  OrderReply reply = client.new_order(record.names, record.replaces);
  step("order placed");
  record.url = reply.url;
  save_order(managed, record);
  step("order kept");
  return reply;
}

void Keeper::prove(const Managed& managed, Session& session, const std::string& url) {
  Client& client = *session.client;
  Authorization authorization = client.authorization(url);
  const auto rejected = [&] {
    std::string why;
    for (const Challenge& each : authorization.challenges) {
      if (each.error) why += ": " + each.type + ": " + each.error->plain();
    }
    return AcmeError(Failure::rejected,
                     "the authorization of " + authorization.name + " is " + authorization.status + why);
  };
  if (authorization.status == "valid") return;  // of an earlier order
  if (authorization.status != "pending") throw rejected();
  // After failures the other ways are tried in turn.
  const Challenge* chosen = nullptr;
  const std::size_t ways = settings_.challenges.size();
  for (std::size_t i = 0; i < ways && !chosen; ++i) {
    const std::string& type = settings_.challenges[(managed.renewal->memory().failures + i) % ways];
    for (const Challenge& each : authorization.challenges) {
      if (each.type == type) chosen = &each;
    }
  }
  if (!chosen) throw AcmeError(Failure::refused, "the authority offers no challenge that is allowed here");
  struct TakeDown {
    Keeper& keeper;
    const std::string& name;
    ~TakeDown() {
      try {
        keeper.take_down(name);
      } catch (const StateError& error) {
        keeper.log_.line("certificates: %s", error.what());
      }
    }
  };
  const std::string name = authorization.name;
  step("challenge");
  put_up(name, chosen->type, chosen->token, chosen->token + "." + thumbprint(session.account.key));
  const TakeDown at_the_end{*this, name};
  wait(settings_.settle);
  step("challenge put up");
  if (chosen->status != "processing") client.answer(chosen->url);
  step("challenge asked for");
  for (milliseconds waited{0};;) {
    authorization = client.authorization(url);
    if (authorization.status == "valid") return;
    if (authorization.status != "pending") throw rejected();
    waited += settings_.poll;
    if (waited > settings_.patience) {
      throw AcmeError(Failure::unreachable, "the authority does not decide on the challenge for " + name);
    }
    wait(settings_.poll);
  }
}

void Keeper::fetch(Managed& managed, OrderRecord& record, Session& session, const Key& key,
                   const OrderView& view) {
  const std::string chain =
      session.client->chain(view.certificate, settings_.authorities[record.authority].preferred_issuer);
  step("fetched");
  const std::string wrong = unsound(chain, key, record.names, environment_.now(), wanted(managed));
  if (!wrong.empty()) {
    // It may have come cut short on the way; if not, the order is of no use.
    if (++record.fetches >= kFetches) {
      drop_order(managed, record);
    } else {
      save_order(managed, record);
    }
    throw AcmeError(Failure::unsound, "the certificate is not used: " + wrong);
  }
  swap(managed, record, key, chain);
}

void Keeper::swap(Managed& managed, const OrderRecord& record, const Key& key, const std::string& chain) {
  step("swap");  // the lease is looked at here for the last time
  const Secret pem(std::string(pem_of(key).view()) + chain);
  state_.write_pem(file(managed, ".current.pem"), pem);
  step("swapped");
  managed.renewal->succeeded(environment_.now(), record.authority);
  managed.last_failure.clear();
  save_schedule(managed);
  step("schedule kept");
  refresh(managed);
  drop_order(managed, record);
  log_.line("certificate %s: renewed by %s, ends %s", managed.settings.id.c_str(),
            settings_.authorities[record.authority].name.c_str(), date(managed.held->ends).c_str());
}

void Keeper::ask_window(Managed& managed, Instant now) {
  const std::size_t authority = 0;
  try {
    Client client(settings_.authorities[authority].access, environment_.now, environment_.stopped);
    const auto info = client.renewal_info(renewal_id(managed.leaf));
    managed.renewal->window(now, info ? info->window : std::nullopt, info ? info->retry_after : std::nullopt);
    if (info && !info->explanation.empty()) {
      log_.line("certificate %s: the authority's word on renewal: %s", managed.settings.id.c_str(),
                info->explanation.c_str());
    }
  } catch (const std::runtime_error&) {
    // It is of no consequence: without a window the share of the lifetime decides.
    managed.renewal->window(now, std::nullopt, std::nullopt);
  }
  save_schedule(managed);
}

// ---- Challenges

void Keeper::put_up(const std::string& name, const std::string& type, const std::string& token,
                    const std::string& authorization) {
  const Instant until =
      environment_.now() + settings_.patience * 2 + std::chrono::ceil<Seconds>(settings_.settle);
  state_.write("challenge-" + hex(sha256(name)).substr(0, 16) + ".json",
               "{\"name\":" + in_quotes(name) + ",\"type\":" + in_quotes(type) +
                   ",\"token\":" + in_quotes(token) + ",\"authorization\":" + in_quotes(authorization) +
                   ",\"until\":" + when(until) + "}");
  answer_shared();
}

void Keeper::take_down(const std::string& name) {
  state_.remove("challenge-" + hex(sha256(name)).substr(0, 16) + ".json");
  answer_shared();
}

void Keeper::answer_shared() {
  const std::vector<std::string> files = state_.list("challenge-", ".json");
  for (auto at = answered_.begin(); at != answered_.end();) {
    if (std::find(files.begin(), files.end(), at->first) != files.end()) {
      ++at;
      continue;
    }
    if (registry_ && at->second.type == "tls-alpn-01") registry_->end_challenge(at->second.name);
    at = answered_.erase(at);
  }
  if (answered_.empty()) responder_.reset();
  for (const std::string& each : files) {
    const std::string stamp = state_.stamp(each);
    if (const auto known = answered_.find(each); known != answered_.end() && known->second.stamp == stamp)
      continue;
    const auto text = state_.read(each);
    simdjson::dom::parser parser;
    simdjson::dom::element root;
    if (!text || parser.parse(*text).get(root) != simdjson::SUCCESS || !root.is_object()) continue;
    const std::string name = text_in(root, "name"), type = text_in(root, "type");
    const std::string token = text_in(root, "token"), authorization = text_in(root, "authorization");
    answered_[each] = {stamp, name, type};
    if (when_in(root, "until").value_or(Instant{}) < environment_.now()) {
      state_.remove(each);  // left by one that died
      continue;
    }
    if (type == "tls-alpn-01") {
      if (registry_) registry_->answer_challenge(name, challenge_identity(name, authorization).view());
    } else if (settings_.http01) {
      try {
        if (!responder_) responder_ = std::make_unique<Responder>(*settings_.http01);
        responder_->serve(token, authorization);
      } catch (const std::system_error& error) {
        // Another instance on this machine may have the port, and answers too.
        if (!std::exchange(told_of_responder_, true)) log_.line("certificates: http-01: %s", error.what());
      }
    }
  }
}

// ---- By hand

std::string Keeper::with_lease(const std::function<void()>& work) {
  try {
    for (int tries = 0; !lease_.take(environment_.now()); ++tries) {
      const auto holder = lease_.holder(environment_.now());
      if (tries >= kLeaseTries || !environment_.pause(milliseconds(1000))) {
        return "another instance is at work (" + (holder ? holder->name : std::string("unknown")) + ")";
      }
    }
    std::string failure;
    try {
      work();
    } catch (const Stopped&) {
      failure = "stopped";
    } catch (const Lost&) {
      failure = "the lease went to another instance";
    } catch (const std::runtime_error& error) {
      failure = error.what();
    }
    lease_.give_back();
    return failure;
  } catch (const StateError& error) {
    return error.what();
  }
}

std::string Keeper::renew_now(const std::string& id) {
  std::string failure;
  const std::string other = with_lease([&] {
    Managed& managed = find(id);
    refresh(managed);
    managed.renewal->hurry();
    const auto record = load_order(managed);
    const Instant now = environment_.now();
    const Advice advice = managed.renewal->advise(
        now, std::nullopt, record ? std::optional(record->authority) : std::nullopt, account_budgets());
    if (advice.action != Advice::Do::renew) {
      failure = std::string(advice.why) + " until " + date(advice.at);
      return;
    }
    failure = attempt(managed, advice.authority);
  });
  return other.empty() ? failure : other;
}

std::string Keeper::revoke(const std::string& id, int reason) {
  return with_lease([&] {
    Managed& managed = find(id);
    refresh(managed);
    if (!managed.leaf) throw SettingsError("there is no certificate to revoke");
    std::string failures;
    // Of whichever authority issued it: the others do not know it.
    for (std::size_t i = 0; i < settings_.authorities.size(); ++i) {
      try {
        open(i)->client->revoke(managed.leaf, reason);
        log_.line("certificate %s: revoked, reason %d", id.c_str(), reason);
        return;
      } catch (const std::runtime_error& error) {
        failures += (failures.empty() ? "" : "; ") + settings_.authorities[i].name + ": " + error.what();
      }
    }
    throw SettingsError(failures);
  });
}

std::string Keeper::roll_over(std::size_t authority) {
  return with_lease([&] {
    const auto session = open(authority);
    Key fresh = new_key();
    const Secret pem = pem_of(fresh);
    step("next key");
    state_.write_pem(account_file(authority, ".next.pem"), pem);
    step("roll over");
    session->client->roll_over(fresh);
    step("rolled over");
    state_.write_pem(account_file(authority, ".key.pem"), pem);
    state_.remove(account_file(authority, ".next.pem"));
  });
}

std::string Keeper::deactivate(std::size_t authority) {
  return with_lease([&] {
    open(authority)->client->deactivate();
    // The key is of no more use: the next order opens a new account.
    state_.put_aside(account_file(authority, ".key.pem"), "the account is deactivated");
    state_.remove(account_file(authority, ".json"));
  });
}

std::string Keeper::change_contact(std::size_t authority) {
  return with_lease([&] {
    const auto session = open(authority);  // changes it if the settings have another
    if (session->account.contact != settings_.authorities[authority].access.contact) {
      throw SettingsError("the contact was not changed");
    }
  });
}

}  // namespace quartzarch::acme
