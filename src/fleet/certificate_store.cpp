#include "fleet/certificate_store.hpp"

#include <algorithm>
#include <thread>

#include "config.hpp"

namespace quartzarch::fleet {
namespace {

constexpr std::string_view kPrefix = "certificate/";
// Kept once a fleet's certificates are in the register: what a controller has besides is of before.
constexpr const char* kBegun = "begun";
constexpr Duration kPatience = std::chrono::seconds(5);
constexpr std::chrono::milliseconds kLook{20};
constexpr Duration kMakeAnew = std::chrono::seconds(10);

std::string key_of(const std::string& name) { return std::string(kPrefix) + name; }
std::string name_of(const std::string& key) { return key.substr(kPrefix.size()); }
bool is_pem(const std::string& name) { return name.ends_with(".pem"); }

}  // namespace

CertificateStore::CertificateStore(Logger& log, Membership& fleet, Seal seal, const std::string& directory,
                                   std::function<bool()> stopped)
    : log_(log),
      fleet_(fleet),
      office_(fleet.office(kCertificatesDuty)),
      seal_(std::move(seal)),
      copy_(directory, [&log](const std::string& line) { log.line("certificates: %s", line.c_str()); }),
      stopped_(std::move(stopped)) {
  watch();
}

void CertificateStore::watch() {
  fleet_.watch(std::string(kPrefix),
               [inbox = inbox_](reg::Revision at, const std::vector<reg::Change>& changes, bool whole) {
                 const std::lock_guard lock(inbox->mutex);
                 if (whole) inbox->told.clear();
                 inbox->told.push_back({at, changes, whole});
               });
}

bool CertificateStore::wait_first(Duration patience) {
  for (const Time until = steady_time() + patience; !first_ && steady_time() < until && !stopped_();) {
    std::this_thread::sleep_for(kLook);
    look();
  }
  return first_;
}

// ---- What others have changed

void CertificateStore::look() {
  office_.report_progress();
  std::vector<Told> told;
  {
    const std::lock_guard lock(inbox_->mutex);
    told.swap(inbox_->told);
  }
  for (const Told& each : told) take_all(each);
  if (copy_lacks_ && steady_time() - made_anew_ >= kMakeAnew) {
    copy_lacks_ = false;
    made_anew_ = steady_time();
    watch();
  }
}

std::optional<std::string> CertificateStore::read(const std::string& name) const {
  auto text = copy_.read(name);
  const auto known = known_.find(name);
  // Torn on this controller's disk: the register has it.
  if (!text && known != known_.end() && known->second.stands != 0 && unusable_.count(name) == 0) {
    copy_lacks_ = true;
  }
  return text;
}

void CertificateStore::take_all(const Told& told) {
  first_ = first_ || told.whole;
  std::set<std::string> there;
  for (const reg::Change& each : told.changes) {
    const std::string name = name_of(each.key);
    there.insert(name);
    Known& known = known_[name];
    if (each.revision < known.changed) continue;  // told late
    known = {each.revision, each.value ? each.revision : 0};
    if (!each.value) {
      copy_.remove(name);
      continue;
    }
    const auto text = seal_.open(each.key, *each.value);
    if (!text) {
      if (!std::exchange(told_unsealed_, true)) {
        log_.line("certificates: %s in the fleet's register is not sealed with this controller's secret",
                  name.c_str());
      }
    } else if (name == kBegun) {
      begun_ = true;
    } else if (unusable_.count(name) == 0 || unusable_.at(name) != acme::sha256(text->view())) {
      take(name, text->view());
    }
  }
  if (!told.whole || !begun_) return;
  for (auto& [name, known] : known_) {
    if (there.count(name) == 0 && known.changed <= told.at) known = {told.at, 0};
  }
  for (const std::string& name : copied()) {
    // A certificate in use is served until there is another.
    if (there.count(name) > 0 || known_[name].stands != 0 || name.ends_with(".current.pem")) continue;
    const bool passing = name.starts_with("challenge-") || name.find(".key-") != std::string::npos ||
                         name.ends_with(".order.json");
    if (passing) {
      copy_.remove(name);
    } else {
      copy_.put_aside(name, "is not in the fleet's register");
    }
  }
}

std::vector<std::string> CertificateStore::copied() const {
  auto names = copy_.list("", ".pem");
  for (std::string& each : copy_.list("", ".json")) names.push_back(std::move(each));
  return names;
}

std::optional<acme::Secret> CertificateStore::copy_of(const std::string& name) const {
  if (is_pem(name)) return copy_.read_pem(name);
  auto text = copy_.read(name);
  return text ? std::optional<acme::Secret>(std::in_place, std::move(*text)) : std::nullopt;
}

void CertificateStore::take(const std::string& name, std::string_view text) {
  const auto present = copy_of(name);
  if (present && present->view() == text) return;
  if (is_pem(name)) {
    copy_.write_pem(name, acme::Secret(std::string(text)));
  } else {
    copy_.write(name, text);
  }
}

bool CertificateStore::catch_up(duty::Token token) {
  token_ = token;
  sure_ = false;
  reg::Command command;
  command.op = reg::Op::list;
  command.name = std::string(kPrefix);
  Told all;
  all.whole = true;
  for (bool more = true; more;) {
    const auto reply =
        fleet_.ask_and_wait(command, kPatience, [&] { return stopped_() || !office_.holds(); });
    if (!reply || reply->code != reg::Code::ok) return false;
    for (const reg::Item& item : reply->items) {
      if (!seal_.open(item.key, item.value)) {
        throw acme::StateError("the fleet's certificates are sealed with another secret: nothing is changed");
      }
      all.changes.push_back({item.revision, item.key, item.value});
    }
    all.at = reply->revision;
    more = reply->more;
    if (more) command.value = reply->items.back().key;
  }
  known_.clear();  // what others may have done under their tokens is in the list
  take_all(all);
  sure_ = true;
  if (!begun_) bring_in();
  return true;
}

void CertificateStore::bring_in() {
  std::size_t brought = 0;
  for (const std::string& name : copied()) {
    const auto text = name.starts_with("challenge-") ? std::nullopt : copy_of(name);
    if (!text) continue;
    put(name, text->view());
    ++brought;
  }
  put(kBegun, "1");
  begun_ = true;
  log_.line("certificates: the fleet's register begins with %zu records of this controller", brought);
}

// ---- Changes

void CertificateStore::change(reg::Command command) {
  const auto token = office_.holds();
  if (!token || *token != token_) throw acme::TurnLost{};
  if (!sure_) throw acme::StateError("the fleet's register has to be read again first");
  Known& known = known_[name_of(command.name)];
  command.expected = known.stands;
  command.fence = reg::Fence{kCertificatesDuty, *token};
  const bool put = command.op == reg::Op::put;
  const auto reply =
      fleet_.ask_and_wait(command, kPatience, [&] { return stopped_() || office_.holds() != token; });
  const auto unsure = [&](const std::string& what) {
    sure_ = false;
    throw acme::StateError("the fleet's register " + what);
  };
  if (!reply) {
    if (office_.holds() != token) throw acme::TurnLost{};
    return unsure("does not answer");  // it may have been done or not
  }
  switch (reply->code) {
    case reg::Code::ok:
    case reg::Code::absent:
      known = {reply->revision, put ? reply->revision : 0};
      return;
    case reg::Code::fenced:
      throw acme::TurnLost{};
    case reg::Code::changed:
      // By an earlier asking, whose answer was lost; or it is not what was known here.
      if (put && !reply->items.empty() && reply->items.front().value == command.value) {
        known = {reply->items.front().revision, reply->items.front().revision};
        return;
      }
      if (!put && reply->items.empty()) {
        known = {reply->revision, 0};
        return;
      }
      return unsure("has another " + command.name);
    default:
      throw acme::StateError("the fleet's register: " + command.name + ": " + reg::code_text(reply->code));
  }
}

void CertificateStore::put(const std::string& name, std::string_view text) {
  reg::Command command;
  command.op = reg::Op::put;
  command.name = key_of(name);
  command.value = seal_.close(command.name, text);
  change(std::move(command));
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
  reg::Command command;
  command.op = reg::Op::erase;
  command.name = key_of(name);
  change(std::move(command));
  copy_.remove(name);
}

// Here only. What the register has comes into the copy again, unless it is the same.
void CertificateStore::put_aside(const std::string& name, const std::string& why) {
  const auto content = copy_of(name);
  copy_.put_aside(name, why);
  unusable_[name] = acme::sha256(content ? content->view() : std::string_view{});
  copy_lacks_ = true;
  sure_ = false;
}

// ---- Whose turn

bool DutyTurn::take(acme::Instant) {
  const auto token = office_.holds();
  if (!token) return false;
  office_.busy(true);
  if ((store_.token() == *token && store_.sure()) || store_.catch_up(*token)) return true;
  office_.busy(false);
  return false;
}

bool DutyTurn::keep(acme::Instant) {
  office_.report_progress();
  const auto token = office_.holds();
  return token && *token == store_.token();
}

std::optional<acme::Turn::Holder> DutyTurn::holder(acme::Instant now) const {
  return Holder{"whoever holds the fleet's duty \"" + office_.name() + "\"", now};
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

acme::Kept kept_by_fleet(const acme::Settings& settings, Logger& log, Membership& fleet, Seal seal,
                         Duration patience, std::function<bool()> stopped) {
  auto store =
      std::make_unique<CertificateStore>(log, fleet, std::move(seal), settings.directory, std::move(stopped));
  if (!store->wait_first(patience)) {
    log.line("certificates: the fleet's register is out of reach: what is in %s is served",
             settings.directory.c_str());
  }
  auto turn = std::make_unique<DutyTurn>(fleet.office(kCertificatesDuty), *store);
  return {std::move(store), std::move(turn)};
}

}  // namespace quartzarch::fleet
