#include "cli/certs.hpp"

#include <cstdio>
#include <map>
#include <optional>

#include "acme/certificate_renewer.hpp"
#include "acme/json.hpp"
#include "certificates.hpp"
#include "config.hpp"
#include "fleet/certificate_store.hpp"

namespace quartzarch::cli {
namespace {

using acme::Alarm;

// Running instances look for challenges twice a second; they answer those of this command.
constexpr std::chrono::milliseconds kSettle{2500};
constexpr Duration kPatience = std::chrono::seconds(5);

// RFC 5280, 5.3.1.
const std::map<std::string, int> kReasons{{"unspecified", 0},          {"keyCompromise", 1},
                                          {"affiliationChanged", 3},   {"superseded", 4},
                                          {"cessationOfOperation", 5}, {"privilegeWithdrawn", 9}};

// A keeper for the commands. With a fleet it asks for the duty, does what it does under its token and sealed,
// and hands the duty on.
class Hand {
 public:
  Hand(const std::string& file, const std::optional<std::string>& fleet_file, Logger& log) {
    acme::Settings settings = Certificates::read(file);
    settings.publish_delay = std::max(settings.publish_delay, kSettle);
    acme::SharedState kept;
    if (fleet_file) {
      const fleet::FleetSettings fleet = fleet::parse_fleet(read_file(*fleet_file));
      const std::string name = "certs-by-hand-" + std::to_string(acme::random_bits());
      member_.emplace(log, fleet, name, acme::random_bits(),
                      std::vector<std::string>{fleet::kCertificatesDuty});
      kept = fleet::open_fleet_store(settings, log, *member_, fleet::read_seal(fleet), fleet.start_wait,
                                     [] { return false; });
      reg::Command move;
      move.op = reg::Op::move;
      move.name = fleet::kCertificatesDuty;
      move.value = name;
      if (!member_->ask_and_wait(move, kPatience)) throw std::runtime_error("no voter of the fleet answers");
    } else {
      kept = acme::open_state_on_disk(settings, log);
    }
    keeper_.emplace(std::move(settings), log, nullptr, acme::Environment::real({}), std::move(kept));
  }
  acme::CertificateRenewer* operator->() { return &*keeper_; }

 private:
  std::optional<fleet::Membership> member_;
  std::optional<acme::CertificateRenewer> keeper_;  // ends first
};

std::string or_null(const std::optional<acme::Instant>& at) {
  return at ? "\"" + acme::timestamp(*at) + "\"" : "null";
}

std::string as_json(const acme::CertificateStatus& each) {
  return "{\"id\":" + in_quotes(each.id) + ",\"names\":" + acme::in_brackets(each.names) + ",\"alarm\":\"" +
         acme::name_of(each.alarm) +
         "\",\"ends\":" + or_null(each.validity ? std::optional(each.validity->ends) : std::nullopt) +
         ",\"due\":" + or_null(each.due) + ",\"issuer\":" + in_quotes(each.issuer) +
         ",\"fingerprint\":" + in_quotes(each.fingerprint) +
         ",\"failures\":" + std::to_string(each.failures) + ",\"next_attempt\":" + or_null(each.next) +
         ",\"last_failure\":" + in_quotes(each.last_failure) +
         ",\"order_open\":" + (each.order_open ? "true" : "false") + "}";
}

void print(const acme::CertificateStatus& each) {
  std::printf("%-16s %-8s", each.id.c_str(), acme::name_of(each.alarm));
  if (each.validity) {
    std::printf(" ends %s, renewal due %s, issued by %s", acme::timestamp(each.validity->ends).c_str(),
                acme::timestamp(*each.due).c_str(), each.issuer.c_str());
  } else {
    std::printf(" there is none yet");
  }
  std::printf("\n");
  for (const std::string& name : each.names) std::printf("%16s %s\n", "", name.c_str());
  if (each.failures > 0) {
    std::printf("%16s %u attempts failed, the last: %s\n", "", each.failures, each.last_failure.c_str());
  }
  if (each.next) std::printf("%16s next attempt %s\n", "", acme::timestamp(*each.next).c_str());
  if (each.order_open) std::printf("%16s an order is open\n", "");
}

int code_of(Alarm alarm) { return alarm <= Alarm::due ? 0 : alarm == Alarm::late ? 1 : 2; }

// A certificate file by itself: the key, the chain, the times.
int check_certificate(const std::string& path, const std::string& text, bool json) {
  const acme::Certificate leaf = acme::first_certificate(text);
  const acme::Key key = acme::key_from_pem(text);
  const auto names = acme::names_of(leaf);
  const auto now = std::chrono::floor<acme::Seconds>(std::chrono::system_clock::now());
  const std::string wrong = acme::chain_defect(text, key, names, now, std::nullopt);
  if (json) {
    std::printf("{\"file\":%s,\"sound\":%s,\"wrong\":%s,\"names\":%s,\"ends\":\"%s\"}\n",
                in_quotes(path).c_str(), wrong.empty() ? "true" : "false", in_quotes(wrong).c_str(),
                acme::in_brackets(names).c_str(), acme::timestamp(acme::validity_of(leaf).ends).c_str());
  } else {
    std::printf("%s: %s, ends %s\n", path.c_str(), wrong.empty() ? "can be used" : wrong.c_str(),
                acme::timestamp(acme::validity_of(leaf).ends).c_str());
  }
  return wrong.empty() ? 0 : 1;
}

}  // namespace

Certs::Certs(CLI::App& app)
    : command_(app.add_subcommand("certs", "the certificates that the program keeps")) {
  command_->require_subcommand(1);
  command_->add_option("--file", file_, "the settings")->capture_default_str();
  const auto add = [&](const char* name, const char* what) {
    CLI::App* const command = command_->add_subcommand(name, what);
    command->add_flag("--json", json_, "print JSON");
    command->add_option("--file", file_, "the settings")->capture_default_str();
    return command;
  };
  status_ = add("status", "how they stand; exit code 0 good or due, 1 late, 2 critical or expired");
  status_->add_option("ID", id_, "one certificate; all if left out");
  renew_ = add("renew", "renew now, due or not");
  renew_->add_option("ID", id_, "the certificate");
  renew_->add_flag("--all", all_, "all of them");
  revoke_ = add("revoke", "revoke the certificate in use");
  revoke_->add_option("ID", id_, "the certificate")->required();
  revoke_->add_option("--reason", reason_, "why (RFC 5280)")->transform(CLI::IsMember([] {
    std::vector<std::string> names;
    for (const auto& each : kReasons) names.push_back(each.first);
    return names;
  }()));
  rollover_ = add("rollover", "give the account a new key");
  contact_ = add("contact", "tell the authority the contact of the settings");
  deactivate_ = add("deactivate", "end the account; the next order opens a new one");
  for (CLI::App* const each : {renew_, revoke_, rollover_, contact_, deactivate_}) {
    each->add_option("--fleet", fleet_, "the fleet whose certificates they are (deploy/fleet.toml)");
  }
  for (CLI::App* const each : {rollover_, contact_, deactivate_}) {
    each->add_option("--authority", authority_, "by its name in the settings; the first if left out");
  }
  check_ = add("check", "check a settings file, or a certificate file");
  check_->add_option("FILE", checked_, "the file")->required();
}

int Certs::run(Logger& log) const {
  const std::string& path = check_->parsed() ? checked_ : file_;
  try {
    if (check_->parsed()) return check();
    if (status_->parsed()) return status();
    if (renew_->parsed()) return renew(log);
    if (revoke_->parsed()) return revoke(log);
    return account(log);
  } catch (const ConfigError& error) {
    log.line("configuration: %s: %s", path.c_str(), error.what());
    return 2;
  } catch (const acme::SettingsError& error) {
    log.line("%s", error.what());
    return 2;
  } catch (const std::exception& error) {
    log.line("%s", error.what());
    return 2;
  }
}

int Certs::status() const {
  std::FILE* const nowhere = std::fopen("/dev/null", "w");
  Logger quiet(nowhere);
  acme::CertificateRenewer keeper(Certificates::read(file_), quiet, nullptr, acme::Environment::real({}));
  int code = 0;
  std::string out;
  bool found = false;
  for (const acme::CertificateStatus& each : keeper.statuses()) {
    if (!id_.empty() && each.id != id_) continue;
    found = true;
    code = std::max(code, code_of(each.alarm));
    if (json_) {
      out += (out.empty() ? "" : ",") + as_json(each);
    } else {
      print(each);
    }
  }
  std::fclose(nowhere);
  if (!found) throw acme::SettingsError("there is no certificate \"" + id_ + "\" in " + file_);
  if (json_) std::printf("[%s]\n", out.c_str());
  return code;
}

int Certs::renew(Logger& log) const {
  if (id_.empty() == !all_) throw acme::SettingsError("renew needs an ID or --all");
  Hand keeper(file_, fleet_, log);
  int code = 0;
  std::string out;
  for (const auto& each : keeper->settings().certificates) {
    if (!all_ && each.id != id_) continue;
    const std::string failure = keeper->renew_now(each.id);
    if (!failure.empty()) code = 1;
    if (json_) {
      out += (out.empty() ? "" : ",") + std::string("{\"id\":") + in_quotes(each.id) +
             ",\"renewed\":" + (failure.empty() ? "true" : "false") + ",\"failure\":" + in_quotes(failure) +
             "}";
    } else {
      std::printf("%s: %s\n", each.id.c_str(), failure.empty() ? "renewed" : failure.c_str());
    }
  }
  if (json_) std::printf("[%s]\n", out.c_str());
  return code;
}

int Certs::revoke(Logger& log) const {
  Hand keeper(file_, fleet_, log);
  const std::string failure = keeper->revoke(id_, kReasons.at(reason_));
  if (json_) {
    std::printf("{\"id\":%s,\"revoked\":%s,\"failure\":%s}\n", in_quotes(id_).c_str(),
                failure.empty() ? "true" : "false", in_quotes(failure).c_str());
  } else {
    std::printf("%s: %s\n", id_.c_str(), failure.empty() ? "revoked" : failure.c_str());
  }
  return failure.empty() ? 0 : 1;
}

int Certs::account(Logger& log) const {
  Hand keeper(file_, fleet_, log);
  const auto& authorities = keeper->settings().authorities;
  std::size_t index = 0;
  while (index < authorities.size() && !authority_.empty() && authorities[index].name != authority_) ++index;
  if (index == authorities.size()) throw acme::SettingsError("there is no authority \"" + authority_ + "\"");
  const std::string failure = rollover_->parsed()  ? keeper->roll_over(index)
                              : contact_->parsed() ? keeper->change_contact(index)
                                                   : keeper->deactivate(index);
  const std::string& name = authorities[index].name;
  if (json_) {
    std::printf("{\"authority\":%s,\"done\":%s,\"failure\":%s}\n", in_quotes(name).c_str(),
                failure.empty() ? "true" : "false", in_quotes(failure).c_str());
  } else {
    std::printf("%s: %s\n", name.c_str(), failure.empty() ? "done" : failure.c_str());
  }
  return failure.empty() ? 0 : 1;
}

int Certs::check() const {
  const std::string text = read_file(checked_);
  if (text.find("-----BEGIN") != std::string::npos) return check_certificate(checked_, text, json_);
  const acme::Settings settings = Certificates::read(checked_);
  if (json_) {
    std::printf("{\"file\":%s,\"sound\":true,\"certificates\":%zu,\"authorities\":%zu}\n",
                in_quotes(checked_).c_str(), settings.certificates.size(), settings.authorities.size());
  } else {
    std::printf("%s: good: %zu certificates, %zu authorities\n", checked_.c_str(),
                settings.certificates.size(), settings.authorities.size());
  }
  return 0;
}

}  // namespace quartzarch::cli
