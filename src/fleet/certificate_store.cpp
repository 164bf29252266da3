#include "fleet/certificate_store.hpp"

#include <algorithm>
#include <thread>

#include "config.hpp"
#include "register/commands.hpp"

namespace quartzarch::fleet {
namespace {

constexpr std::string_view kPrefix = "certificate/";
// Exists once the fleet's certificates are in the register; other local records of a controller are from
// before.
constexpr const char* kInitialized = "begun";
constexpr Duration kRequestTimeout = std::chrono::seconds(5);
constexpr std::chrono::milliseconds kPollInterval{20};
constexpr Duration kRewatchInterval = std::chrono::seconds(10);

std::string key_of(const std::string& name) { return std::string(kPrefix) + name; }
std::string name_of(const std::string& key) { return key.substr(kPrefix.size()); }
bool is_pem(const std::string& name) { return name.ends_with(".pem"); }

}  // namespace

CertificateStore::CertificateStore(Logger& log, Membership& fleet, Seal seal, const std::string& directory,
                                   std::function<bool()> stopped)
    : log_(log),
      fleet_(fleet),
      duty_handle_(fleet.duty_handle(kCertificatesDuty)),
      seal_(std::move(seal)),
      copy_(directory, [&log](const std::string& line) { log.line("certificates: %s", line.c_str()); }),
      stopped_(std::move(stopped)) {
  watch();
}

void CertificateStore::watch() {
  fleet_.watch(std::string(kPrefix),
               [inbox = inbox_](reg::Revision at, const std::vector<reg::Change>& changes, bool complete) {
                 const std::lock_guard lock(inbox->mutex);
                 if (complete) inbox->updates.clear();
                 inbox->updates.push_back({at, changes, complete});
               });
}

bool CertificateStore::wait_for_contents(Duration timeout) {
  for (const Time until = steady_time() + timeout; !received_all_ && steady_time() < until && !stopped_();) {
    std::this_thread::sleep_for(kPollInterval);
    apply_updates();
  }
  return received_all_;
}

// ---- Changes by other controllers

void CertificateStore::apply_updates() {
  duty_handle_.report_progress();
  std::vector<WatchUpdate> updates;
  {
    const std::lock_guard lock(inbox_->mutex);
    updates.swap(inbox_->updates);
  }
  for (const WatchUpdate& each : updates) apply_update(each);
  if (copy_incomplete_ && steady_time() - rewatched_at_ >= kRewatchInterval) {
    copy_incomplete_ = false;
    rewatched_at_ = steady_time();
    watch();
  }
}

std::optional<std::string> CertificateStore::read(const std::string& name) const {
  auto text = copy_.read(name);
  const auto known = known_.find(name);
  // The local copy is corrupt or missing, but the register has the record.
  if (!text && known != known_.end() && known->second.value_revision != 0 &&
      rejected_digests_.count(name) == 0) {
    copy_incomplete_ = true;
  }
  return text;
}

void CertificateStore::apply_update(const WatchUpdate& update) {
  received_all_ = received_all_ || update.complete;
  std::set<std::string> listed;
  for (const reg::Change& each : update.changes) {
    const std::string name = name_of(each.key);
    listed.insert(name);
    Known& known = known_[name];
    if (each.revision < known.changed) continue;  // an outdated change that arrived late
    known = {each.revision, each.value ? each.revision : 0};
    if (!each.value) {
      copy_.remove(name);
      continue;
    }
    const auto text = seal_.decrypt(each.key, *each.value);
    if (!text) {
      if (!std::exchange(logged_unsealed_, true)) {
        log_.line("certificates: %s in the fleet's register is not sealed with this controller's secret",
                  name.c_str());
      }
    } else if (name == kInitialized) {
      initialized_ = true;
    } else if (rejected_digests_.count(name) == 0 ||
               rejected_digests_.at(name) != acme::sha256(text->view())) {
      update_copy(name, text->view());
    }
  }
  if (!update.complete || !initialized_) return;
  for (auto& [name, known] : known_) {
    if (listed.count(name) == 0 && known.changed <= update.at) known = {update.at, 0};
  }
  for (const std::string& name : copied_names()) {
    // A certificate in use is served until it is replaced.
    if (listed.count(name) > 0 || known_[name].value_revision != 0 || name.ends_with(".current.pem"))
      continue;
    const bool transient = name.starts_with("challenge-") || name.find(".key-") != std::string::npos ||
                           name.ends_with(".order.json");
    if (transient) {
      copy_.remove(name);
    } else {
      copy_.quarantine(name, "is not in the fleet's register");
    }
  }
}

std::vector<std::string> CertificateStore::copied_names() const {
  auto names = copy_.list("", ".pem");
  for (std::string& each : copy_.list("", ".json")) names.push_back(std::move(each));
  return names;
}

std::optional<acme::Secret> CertificateStore::copy_of(const std::string& name) const {
  if (is_pem(name)) return copy_.read_pem(name);
  auto text = copy_.read(name);
  return text ? std::optional<acme::Secret>(std::in_place, std::move(*text)) : std::nullopt;
}

void CertificateStore::update_copy(const std::string& name, std::string_view text) {
  const auto present = copy_of(name);
  if (present && present->view() == text) return;
  if (is_pem(name)) {
    copy_.write_pem(name, acme::Secret(std::string(text)));
  } else {
    copy_.write(name, text);
  }
}

bool CertificateStore::reload(duty::Token token) {
  token_ = token;
  consistent_ = false;
  std::string after;
  WatchUpdate all;
  all.complete = true;
  for (bool more = true; more;) {
    const auto reply = fleet_.ask_and_wait(reg::list_values(std::string(kPrefix), after), kRequestTimeout,
                                           [&] { return stopped_() || !duty_handle_.holds(); });
    if (!reply || reply->code != reg::Code::ok) return false;
    for (const reg::Item& item : reply->items) {
      if (!seal_.decrypt(item.key, item.value)) {
        throw acme::StateError(
            "the fleet's certificates are encrypted with another secret: nothing is changed");
      }
      all.changes.push_back({item.revision, item.key, item.value});
    }
    all.at = reply->revision;
    more = reply->more;
    if (more) after = reply->items.back().key;
  }
  known_.clear();  // the list includes what others did under their tokens
  apply_update(all);
  consistent_ = true;
  if (!initialized_) import_copy();
  return true;
}

void CertificateStore::import_copy() {
  std::size_t imported = 0;
  for (const std::string& name : copied_names()) {
    const auto text = name.starts_with("challenge-") ? std::nullopt : copy_of(name);
    if (!text) continue;
    put(name, text->view());
    ++imported;
  }
  put(kInitialized, "1");
  initialized_ = true;
  log_.line("certificates: the fleet's register begins with %zu records of this controller", imported);
}

// ---- Changes

void CertificateStore::change(reg::Command command) {
  const auto token = duty_handle_.holds();
  if (!token || *token != token_) throw acme::LeaseLost{};
  if (!consistent_) throw acme::StateError("the fleet's register has to be reloaded first");
  Known& known = known_[name_of(command.name)];
  command.expected = known.value_revision;
  command.fence = reg::Fence{kCertificatesDuty, *token};
  const bool put = command.op == reg::Op::put;
  const auto reply = fleet_.ask_and_wait(command, kRequestTimeout,
                                         [&] { return stopped_() || duty_handle_.holds() != token; });
  const auto inconsistent = [&](const std::string& what) {
    consistent_ = false;
    throw acme::StateError("the fleet's register " + what);
  };
  if (!reply) {
    if (duty_handle_.holds() != token) throw acme::LeaseLost{};
    return inconsistent("does not answer");  // it may or may not have been applied
  }
  switch (reply->code) {
    case reg::Code::ok:
    case reg::Code::absent:
      known = {reply->revision, put ? reply->revision : 0};
      return;
    case reg::Code::fenced:
      throw acme::LeaseLost{};
    case reg::Code::changed:
      // The change may have been applied by an earlier attempt whose reply was lost; otherwise the record is
      // not as expected.
      if (put && !reply->items.empty() && reply->items.front().value == command.value) {
        known = {reply->items.front().revision, reply->items.front().revision};
        return;
      }
      if (!put && reply->items.empty()) {
        known = {reply->revision, 0};
        return;
      }
      return inconsistent("has an unexpected " + command.name);
    default:
      throw acme::StateError("the fleet's register: " + command.name + ": " + reg::code_text(reply->code));
  }
}

void CertificateStore::put(const std::string& name, std::string_view text) {
  const std::string key = key_of(name);
  change(reg::put_value(key, seal_.encrypt(key, text)));
}

void CertificateStore::write(const std::string& name, std::string_view text) {
  put(name, text);
  copy_.write(name, text);
}

void CertificateStore::write_pem(const std::string& name, const acme::Secret& pem) {
  put(name, pem.view());
  copy_.write_pem(name, pem);
}

void CertificateStore::remove(const std::string& name) {
  change(reg::erase_value(key_of(name)));
  copy_.remove(name);
}

// Affects this controller's copy only. The register's record is copied again unless it is the same.
void CertificateStore::quarantine(const std::string& name, const std::string& why) {
  const auto content = copy_of(name);
  copy_.quarantine(name, why);
  rejected_digests_[name] = acme::sha256(content ? content->view() : std::string_view{});
  copy_incomplete_ = true;
  consistent_ = false;
}

// ---- Lease

bool DutyLease::acquire(acme::Instant) {
  const auto token = duty_handle_.holds();
  if (!token) return false;
  duty_handle_.busy(true);
  if ((store_.token() == *token && store_.consistent()) || store_.reload(*token)) return true;
  duty_handle_.busy(false);
  return false;
}

bool DutyLease::renew(acme::Instant) {
  duty_handle_.report_progress();
  const auto token = duty_handle_.holds();
  return token && *token == store_.token();
}

std::optional<acme::Lease::Holder> DutyLease::holder(acme::Instant now) const {
  return Holder{"whoever holds the fleet's duty \"" + duty_handle_.name() + "\"", now};
}

Seal read_seal(const FleetSettings& settings) {
  if (settings.secret_file.empty()) throw ConfigError("\"secret_file\" is missing: --certs needs it");
  try {
    const auto text = acme::read_secret(settings.secret_file);
    auto seal = text ? Seal::from_hex(*text) : std::nullopt;
    if (!seal) throw ConfigError("\"secret_file\" names no file of 64 hexadecimal digits");
    return std::move(*seal);
  } catch (const acme::StateError& error) {
    throw ConfigError(std::string("\"secret_file\": ") + error.what());
  }
}

acme::SharedState open_fleet_store(const acme::Settings& settings, Logger& log, Membership& fleet, Seal seal,
                                   Duration timeout, std::function<bool()> stopped) {
  auto store =
      std::make_unique<CertificateStore>(log, fleet, std::move(seal), settings.directory, std::move(stopped));
  if (!store->wait_for_contents(timeout)) {
    log.line("certificates: the fleet's register is out of reach: what is in %s is served",
             settings.directory.c_str());
  }
  auto lease = std::make_unique<DutyLease>(fleet.duty_handle(kCertificatesDuty), *store);
  return {std::move(store), std::move(lease)};
}

}  // namespace quartzarch::fleet
