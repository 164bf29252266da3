#include "cli/certs.hpp"

#include <cstdio>
#include <map>
#include <optional>

#include "acme/certificate_renewer.hpp"
#include "acme/json.hpp"
#include "certificates.hpp"
#include "config.hpp"
#include "fleet/certificate_store.hpp"
#include "register/commands.hpp"

namespace quartzarch::cli {
namespace {

using acme::Alarm;

// How long to wait before the authority is asked to validate a challenge. Running instances look for new
// challenges twice a second and answer those that this command has stored.
constexpr std::chrono::milliseconds kChallengeSettleTime{2500};
// How long the fleet's register may take to answer the request for the certificates duty.
constexpr Duration kDutyTimeout = std::chrono::seconds(5);

// The reason codes of RFC 5280, 5.3.1.
const std::map<std::string, int> kRevocationReasons{{"unspecified", 0},          {"keyCompromise", 1},
                                                    {"affiliationChanged", 3},   {"superseded", 4},
                                                    {"cessationOfOperation", 5}, {"privilegeWithdrawn", 9}};

// A certificate renewer for the duration of one command. With a fleet it first requests the certificates
// duty, writes to the register under that duty's fencing token with sealed (encrypted) values, and hands the
// duty on when it ends.
class CertificateAccess {
 public:
  CertificateAccess(const std::string& file, const std::optional<std::string>& fleet_file, Logger& log) {
    acme::Settings settings = Certificates::read(file);
    settings.publish_delay = std::max(settings.publish_delay, kChallengeSettleTime);
    acme::SharedState shared;
    if (fleet_file) {
      const fleet::FleetSettings fleet = fleet::parse_fleet(read_file(*fleet_file));
      const std::string name = "certs-by-hand-" + std::to_string(acme::random_bits());
      member_.emplace(log, fleet, name, acme::random_bits(),
                      std::vector<std::string>{fleet::kCertificatesDuty});
      shared = fleet::open_fleet_store(settings, log, *member_, fleet::read_seal(fleet), fleet.start_wait,
                                       [] { return false; });
      if (!member_->ask_and_wait(reg::move_duty(fleet::kCertificatesDuty, name), kDutyTimeout))
        throw std::runtime_error("the fleet's register did not answer the request for the certificates duty");
    } else {
      shared = acme::open_state_on_disk(settings, log);
    }
    renewer_.emplace(std::move(settings), log, nullptr, acme::Environment::real({}), std::move(shared));
  }
  acme::CertificateRenewer* operator->() { return &*renewer_; }

 private:
  std::optional<fleet::Membership> member_;
  std::optional<acme::CertificateRenewer>
      renewer_;  // declared last: it uses member_ and is destroyed before it
};

std::string json_timestamp(const std::optional<acme::Instant>& at) {
  return at ? "\"" + acme::timestamp(*at) + "\"" : "null";
}

std::string status_json(const acme::CertificateStatus& each) {
  return "{\"id\":" + json_quoted(each.id) + ",\"names\":" + acme::in_brackets(each.names) + ",\"alarm\":\"" +
         acme::name_of(each.alarm) +
         "\",\"ends\":" + json_timestamp(each.validity ? std::optional(each.validity->ends) : std::nullopt) +
         ",\"due\":" + json_timestamp(each.due) + ",\"issuer\":" + json_quoted(each.issuer) +
         ",\"fingerprint\":" + json_quoted(each.fingerprint) +
         ",\"failures\":" + std::to_string(each.failures) + ",\"next_attempt\":" + json_timestamp(each.next) +
         ",\"last_failure\":" + json_quoted(each.last_failure) +
         ",\"order_open\":" + (each.order_open ? "true" : "false") + "}";
}

void print(const acme::CertificateStatus& each) {
  std::printf("%-16s %-8s", each.id.c_str(), acme::name_of(each.alarm));
  if (each.validity) {
    std::printf(" ends %s, renewal due %s, issued by %s", acme::timestamp(each.validity->ends).c_str(),
                acme::timestamp(*each.due).c_str(), each.issuer.c_str());
  } else {
    std::printf(" not issued yet");
  }
  std::printf("\n");
  for (const std::string& name : each.names) std::printf("%16s %s\n", "", name.c_str());
  if (each.failures > 0) {
    std::printf("%16s %u failed attempts, the last: %s\n", "", each.failures, each.last_failure.c_str());
  }
  if (each.next) std::printf("%16s next attempt %s\n", "", acme::timestamp(*each.next).c_str());
  if (each.order_open) std::printf("%16s an order is open\n", "");
}

int exit_code_for(Alarm alarm) { return alarm <= Alarm::due ? 0 : alarm == Alarm::late ? 1 : 2; }

// Checks one certificate file without any settings: its key, its chain and its validity period.
int check_certificate_file(const std::string& path, const std::string& text, bool json) {
  const acme::Certificate leaf = acme::first_certificate(text);
  const acme::Key key = acme::key_from_pem(text);
  const auto names = acme::names_of(leaf);
  const auto now = std::chrono::floor<acme::Seconds>(std::chrono::system_clock::now());
  const std::string problem = acme::chain_defect(text, key, names, now, std::nullopt);
  if (json) {
    std::printf("{\"file\":%s,\"sound\":%s,\"wrong\":%s,\"names\":%s,\"ends\":\"%s\"}\n",
                json_quoted(path).c_str(), problem.empty() ? "true" : "false", json_quoted(problem).c_str(),
                acme::in_brackets(names).c_str(), acme::timestamp(acme::validity_of(leaf).ends).c_str());
  } else {
    std::printf("%s: %s, ends %s\n", path.c_str(), problem.empty() ? "can be used" : problem.c_str(),
                acme::timestamp(acme::validity_of(leaf).ends).c_str());
  }
  return problem.empty() ? 0 : 1;
}

}  // namespace

CertsCommand::CertsCommand(CLI::App& app)
    : command_(app.add_subcommand("certs", "show and manage the certificates of the program")) {
  command_->require_subcommand(1);
  command_->add_option("--file", file_, "the settings file")->capture_default_str();
  const auto add = [&](const char* name, const char* what) {
    CLI::App* const command = command_->add_subcommand(name, what);
    command->add_flag("--json", json_, "print JSON");
    command->add_option("--file", file_, "the settings file")->capture_default_str();
    return command;
  };
  status_ = add("status", "show their state; exit code 0 good or due, 1 late, 2 critical or expired");
  status_->add_option("ID", id_, "one certificate; default: all");
  renew_ = add("renew", "renew now, even if not due");
  renew_->add_option("ID", id_, "the certificate");
  renew_->add_flag("--all", all_, "all of them");
  revoke_ = add("revoke", "revoke the certificate in use");
  revoke_->add_option("ID", id_, "the certificate")->required();
  revoke_->add_option("--reason", reason_, "the revocation reason (RFC 5280)")->transform(CLI::IsMember([] {
    std::vector<std::string> names;
    for (const auto& each : kRevocationReasons) names.push_back(each.first);
    return names;
  }()));
  rollover_ = add("rollover", "replace the account's key");
  contact_ = add("contact", "send the contact of the settings to the authority");
  deactivate_ = add("deactivate", "deactivate the account; the next order opens a new one");
  for (CLI::App* const each : {renew_, revoke_, rollover_, contact_, deactivate_}) {
    each->add_option("--fleet", fleet_,
                     "settings file of the fleet that shares the certificates (deploy/fleet.toml)");
  }
  for (CLI::App* const each : {rollover_, contact_, deactivate_}) {
    each->add_option("--authority", authority_, "the authority's name in the settings; default: the first");
  }
  check_ = add("check", "check a settings file, or a certificate file");
  check_->add_option("FILE", checked_file_, "the file")->required();
}

int CertsCommand::run(Logger& log) const {
  const std::string& path = check_->parsed() ? checked_file_ : file_;
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

int CertsCommand::status() const {
  std::FILE* const null_stream = std::fopen("/dev/null", "w");
  Logger quiet(null_stream);
  acme::CertificateRenewer renewer(Certificates::read(file_), quiet, nullptr, acme::Environment::real({}));
  int code = 0;
  std::string out;
  bool found = false;
  for (const acme::CertificateStatus& each : renewer.statuses()) {
    if (!id_.empty() && each.id != id_) continue;
    found = true;
    code = std::max(code, exit_code_for(each.alarm));
    if (json_) {
      out += (out.empty() ? "" : ",") + status_json(each);
    } else {
      print(each);
    }
  }
  std::fclose(null_stream);
  if (!found) throw acme::SettingsError("no certificate has the ID \"" + id_ + "\" in " + file_);
  if (json_) std::printf("[%s]\n", out.c_str());
  return code;
}

int CertsCommand::renew(Logger& log) const {
  if (id_.empty() == !all_) throw acme::SettingsError("renew needs an ID or --all");
  CertificateAccess renewer(file_, fleet_, log);
  int code = 0;
  std::string out;
  for (const auto& each : renewer->settings().certificates) {
    if (!all_ && each.id != id_) continue;
    const std::string failure = renewer->renew_now(each.id);
    if (!failure.empty()) code = 1;
    if (json_) {
      out += (out.empty() ? "" : ",") + std::string("{\"id\":") + json_quoted(each.id) +
             ",\"renewed\":" + (failure.empty() ? "true" : "false") + ",\"failure\":" + json_quoted(failure) +
             "}";
    } else {
      std::printf("%s: %s\n", each.id.c_str(), failure.empty() ? "renewed" : failure.c_str());
    }
  }
  if (json_) std::printf("[%s]\n", out.c_str());
  return code;
}

int CertsCommand::revoke(Logger& log) const {
  CertificateAccess renewer(file_, fleet_, log);
  const std::string failure = renewer->revoke(id_, kRevocationReasons.at(reason_));
  if (json_) {
    std::printf("{\"id\":%s,\"revoked\":%s,\"failure\":%s}\n", json_quoted(id_).c_str(),
                failure.empty() ? "true" : "false", json_quoted(failure).c_str());
  } else {
    std::printf("%s: %s\n", id_.c_str(), failure.empty() ? "revoked" : failure.c_str());
  }
  return failure.empty() ? 0 : 1;
}

int CertsCommand::account(Logger& log) const {
  CertificateAccess renewer(file_, fleet_, log);
  const auto& authorities = renewer->settings().authorities;
  std::size_t index = 0;
  while (index < authorities.size() && !authority_.empty() && authorities[index].name != authority_) ++index;
  if (index == authorities.size())
    throw acme::SettingsError("no authority has the name \"" + authority_ + "\"");
  const std::string failure = rollover_->parsed()  ? renewer->roll_over(index)
                              : contact_->parsed() ? renewer->change_contact(index)
                                                   : renewer->deactivate(index);
  const std::string& name = authorities[index].name;
  if (json_) {
    std::printf("{\"authority\":%s,\"done\":%s,\"failure\":%s}\n", json_quoted(name).c_str(),
                failure.empty() ? "true" : "false", json_quoted(failure).c_str());
  } else {
    std::printf("%s: %s\n", name.c_str(), failure.empty() ? "done" : failure.c_str());
  }
  return failure.empty() ? 0 : 1;
}

int CertsCommand::check() const {
  const std::string text = read_file(checked_file_);
  if (text.find("-----BEGIN") != std::string::npos) return check_certificate_file(checked_file_, text, json_);
  const acme::Settings settings = Certificates::read(checked_file_);
  if (json_) {
    std::printf("{\"file\":%s,\"sound\":true,\"certificates\":%zu,\"authorities\":%zu}\n",
                json_quoted(checked_file_).c_str(), settings.certificates.size(),
                settings.authorities.size());
  } else {
    std::printf("%s: valid: %zu certificates, %zu authorities\n", checked_file_.c_str(),
                settings.certificates.size(), settings.authorities.size());
  }
  return 0;
}

}  // namespace quartzarch::cli
