#include "acme/certificate_renewer.hpp"

#include <unistd.h>

#include <algorithm>
#include <utility>

#include "acme/records.hpp"
#include "acme/state.hpp"

namespace quartzarch::acme {
namespace {

using std::chrono::milliseconds;

constexpr Seconds kMaxSleep = std::chrono::hours(1);
constexpr milliseconds kSyncInterval{500};  // delay until the changes of another instance are seen
constexpr Seconds kAlarmRepeatInterval = std::chrono::hours(6);
constexpr Seconds kRetryAfterError{60};
constexpr int kMaxLeaseAttempts = 60;  // one per second

std::string date(Instant at) { return timestamp(at); }

}  // namespace

SharedState open_state_on_disk(const Settings& settings, Logger& log) {
  auto directory = std::make_unique<StateDirectory>(
      settings.directory, [&log](const std::string& line) { log.line("certificates: %s", line.c_str()); });
  auto lease = std::make_unique<FileLease>(
      *directory, std::to_string(::getpid()) + "-" + std::to_string(random_bits()), settings.lease);
  return {std::move(directory), std::move(lease)};
}

CertificateRenewer::CertificateRenewer(Settings settings, Logger& log,
                                       std::shared_ptr<tls::Registry> registry, Environment environment,
                                       SharedState shared)
    : settings_(std::move(settings)),
      log_(log),
      registry_(std::move(registry)),
      environment_(std::move(environment)),
      store_(std::move(shared.store)),
      lease_(std::move(shared.lease)),
      steps_(environment_, *lease_, settings_.lease / 4),
      accounts_(*store_, settings_, environment_, steps_),
      challenges_(*store_, settings_, log_, registry_),
      issuing_(*store_, settings_, log_, steps_, accounts_, challenges_) {
  for (AuthoritySettings& authority : settings_.authorities) {
    if (!authority.access.external) continue;
    const auto key = from_base64url(read_secret(authority.eab_key_file).value_or(""));
    if (!key || key->empty())
      throw SettingsError(authority.eab_key_file + " does not contain a base64url key");
    authority.access.external->mac_key = *key;
  }
  for (const CertificateSettings& each : settings_.certificates) {
    Managed managed;
    managed.settings = each;
    managed.seed = (environment_.seed ? *environment_.seed : random_bits()) & ~std::uint64_t{1};
    managed.renewal =
        std::make_unique<RenewalSchedule>(settings_.policy, managed.seed, settings_.authorities.size());
    managed_.push_back(std::move(managed));
  }
  // Loads the certificates before run() starts, so that the first connection is already served.
  for (Managed& managed : managed_) refresh(managed);
}

// ---- The pass

std::optional<Validity> CertificateRenewer::usable_validity(const Managed& managed) const {
  if (!managed.leaf || !covers_names(managed.leaf, managed.settings.names)) return std::nullopt;
  return managed.held;
}

Instant CertificateRenewer::run_pass() {
  const Instant begun = environment_.now();
  Instant next = begun + kMaxSleep;
  bool have_lease = false;
  try {
    sync();
    std::vector<Budget> budgets;
    for (Managed& managed : managed_) {
      Instant now = environment_.now();
      const auto decide = [&] {
        const auto record = issuing_.load(managed.settings.id);
        return managed.renewal->decide(now, usable_validity(managed),
                                       record ? std::optional(record->authority) : std::nullopt, budgets);
      };
      if (budgets.empty()) budgets = accounts_.budgets();
      Decision decision = decide();
      const bool query_due = managed.held && managed.renewal->window_query_due(now) &&
                             managed.renewal->state().failures == 0 && now < managed.held->ends;
      if (decision.action == Decision::Action::renew || query_due) {
        if (!have_lease) have_lease = lease_->acquire(now);
        if (!have_lease) {
          next = std::min(next, now + std::min(settings_.lease / 4 + Seconds(1), Seconds(30)));
          continue;
        }
        // Another instance may have renewed it before this one got the lease.
        refresh(managed);
        if (query_due && managed.renewal->window_query_due(now)) query_window(managed, now);
        budgets = accounts_.budgets();
        decision = decide();
        if (decision.action == Decision::Action::renew) {
          attempt(managed, decision.authority);
          now = environment_.now();
          budgets = accounts_.budgets();
          decision = decide();
        }
        log_alarm(managed, now);
      }
      next = std::min(next, decision.action == Decision::Action::renew ? now + Seconds(1) : decision.at);
      if (managed.held && managed.renewal->state().failures == 0) {
        next = std::min(next, managed.renewal->state().ask_window_at.value_or(now));
      }
    }
  } catch (const StateError& error) {
    log_.line("certificates: %s", error.what());
    next = begun + kRetryAfterError;
  } catch (const Stopped&) {
    next = begun;
  } catch (const LeaseLost&) {
    log_.line("certificates: the lease went to another instance");
    next = begun + settings_.lease / 4;
    have_lease = false;
  } catch (const std::exception& error) {
    log_.line("certificates: %s", error.what());
    next = begun + kRetryAfterError;
  }
  try {
    if (have_lease) lease_->release();
  } catch (const StateError& error) {
    log_.line("certificates: %s", error.what());
  }
  return std::max(next, environment_.now() + Seconds(1));
}

void CertificateRenewer::run(const std::stop_token& stop) {
  while (!stop.stop_requested()) {
    const Instant next = run_pass();
    // The iterations are counted too, so that a clock set back meanwhile does not prolong the wait.
    for (auto left = kMaxSleep / kSyncInterval; left > 0 && environment_.now() < next; --left) {
      if (!environment_.pause(kSyncInterval)) return;
      try {
        sync();
      } catch (const std::exception& error) {
        log_.line("certificates: %s", error.what());
        break;
      }
    }
  }
}

void CertificateRenewer::sync() {
  store_->apply_updates();
  challenges_.sync(environment_.now());
  const Instant now = environment_.now();
  for (Managed& managed : managed_) {
    refresh(managed);
    log_alarm(managed, now);
  }
}

void CertificateRenewer::refresh(Managed& managed) {
  const std::string name = file(managed, ".current.pem");
  if (std::string stamp = store_->stamp(name); stamp != managed.current_stamp) {
    managed.current_stamp = std::move(stamp);
    if (const auto pem = store_->read_pem(name)) {
      try {
        Certificate leaf = first_certificate(pem->view());
        const Validity validity = validity_of(leaf);
        if (!matches_key(leaf, key_from_pem(pem->view())))
          throw CryptoError("the private key does not match the certificate");
        if (registry_) registry_->put(managed.settings.id, pem->view());
        managed.leaf = std::move(leaf);
        managed.held = validity;
      } catch (const std::runtime_error& error) {
        // The certificate loaded before stays in use; the bad file is kept aside for inspection.
        store_->quarantine(name, error.what());
        managed.current_stamp.clear();
      }
    }
  }
  const std::string schedule = file(managed, ".schedule.json");
  if (std::string stamp = store_->stamp(schedule); stamp != managed.schedule_stamp) {
    managed.schedule_stamp = std::move(stamp);
    if (const auto text = store_->read(schedule)) {
      if (const auto record = parse_schedule(*text)) {
        managed.seed = record->seed;
        managed.last_failure = record->last_failure;
        managed.renewal =
            std::make_unique<RenewalSchedule>(settings_.policy, record->seed, settings_.authorities.size());
        managed.renewal->restore(record->state);
      }
    }
  }
}

void CertificateRenewer::log_alarm(Managed& managed, Instant now) {
  const Alarm alarm = managed.renewal->alarm(now, managed.held);
  const bool serious = alarm >= Alarm::late;
  const bool repeat =
      serious && (now - managed.alarm_logged_at >= kAlarmRepeatInterval || now < managed.alarm_logged_at);
  if (managed.logged_alarm == alarm && !repeat) return;
  const bool log_it = managed.logged_alarm ? true : alarm != Alarm::good;
  managed.logged_alarm = alarm;
  managed.alarm_logged_at = now;
  if (!log_it) return;
  const char* const id = managed.settings.id.c_str();
  const std::string because = managed.renewal->state().failures == 0
                                  ? ""
                                  : "; " + std::to_string(managed.renewal->state().failures) +
                                        " attempts failed, last: " + managed.last_failure;
  if (!managed.held) {
    log_.line("%scertificate %s: expired: none issued yet%s", serious ? "ALARM " : "", id, because.c_str());
  } else if (alarm == Alarm::expired) {
    log_.line("ALARM certificate %s: expired since %s%s", id, date(managed.held->ends).c_str(),
              because.c_str());
  } else {
    log_.line("%scertificate %s: %s, ends %s, in %s%s", serious ? "ALARM " : "", id, name_of(alarm),
              date(managed.held->ends).c_str(), duration_text(managed.held->ends - now).c_str(),
              because.c_str());
  }
}

CertificateRenewer::Managed& CertificateRenewer::find(const std::string& id) {
  for (Managed& each : managed_) {
    if (each.settings.id == id) return each;
  }
  std::string known;
  for (const Managed& each : managed_) known += (known.empty() ? "" : ", ") + each.settings.id;
  throw SettingsError("there is no certificate \"" + id + "\"; there is: " + known);
}

std::vector<CertificateStatus> CertificateRenewer::statuses() {
  const Instant now = environment_.now();
  std::vector<CertificateStatus> all;
  for (Managed& managed : managed_) {
    refresh(managed);
    CertificateStatus status;
    status.id = managed.settings.id;
    status.names = managed.settings.names;
    status.alarm = managed.renewal->alarm(now, managed.held);
    status.validity = managed.held;
    if (managed.leaf) {
      status.issuer = issuer_of(managed.leaf);
      status.fingerprint = fingerprint(managed.leaf);
    }
    if (managed.held) status.due = managed.renewal->due_at(*managed.held);
    status.next = managed.renewal->state().next;
    status.failures = managed.renewal->state().failures;
    status.last_failure = managed.last_failure;
    status.order_open = issuing_.load(managed.settings.id).has_value();
    all.push_back(std::move(status));
  }
  return all;
}

void CertificateRenewer::save_schedule(Managed& managed) {
  const std::string name = file(managed, ".schedule.json");
  try {
    store_->write(name,
                  to_text(ScheduleRecord{managed.renewal->state(), managed.seed, managed.last_failure}));
    managed.schedule_stamp = store_->stamp(name);
  } catch (const StateError& error) {
    // The schedule in memory applies until the process ends.
    log_.line("certificates: cannot save the renewal schedule: %s", error.what());
  }
}

std::string CertificateRenewer::attempt(Managed& managed, std::size_t authority) {
  Failure why = Failure::local;
  std::optional<Seconds> retry;
  std::string what;
  try {
    const Issued issued = issuing_.issue(
        {managed.settings, managed.leaf, usable_validity(managed), managed.renewal->state().failures},
        authority);
    if (issued.chain.empty()) {
      record_in_use(managed, issued.record);
    } else {
      install(managed, issued);
    }
    return {};
  } catch (const AcmeError& error) {
    why = error.why, retry = error.retry_after, what = error.what();
    if (error.type == "accountDoesNotExist") accounts_.clear_url(authority);
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
  const Instant next = managed.renewal->state().next.value_or(now);
  log_.line("certificate %s: not renewed by %s (%s): %s; next attempt in %s", managed.settings.id.c_str(),
            settings_.authorities[authority].name.c_str(), name_of(why), what.c_str(),
            duration_text(next - now).c_str());
  save_schedule(managed);
  return what;
}

void CertificateRenewer::install(Managed& managed, const Issued& issued) {
  steps_.step("swap");  // last check of the lease before the certificate is replaced
  const Secret pem(std::string(pem_of(issued.key).view()) + issued.chain);
  store_->write_pem(file(managed, ".current.pem"), pem);
  steps_.step("swapped");
  record_in_use(managed, issued.record);
  log_.line("certificate %s: renewed by %s, ends %s", managed.settings.id.c_str(),
            settings_.authorities[issued.record.authority].name.c_str(), date(managed.held->ends).c_str());
}

void CertificateRenewer::record_in_use(Managed& managed, const OrderRecord& record) {
  managed.renewal->succeeded(environment_.now(), record.authority);
  managed.last_failure.clear();
  save_schedule(managed);
  steps_.step("schedule kept");
  refresh(managed);
  issuing_.drop(managed.settings.id, record);
}

void CertificateRenewer::query_window(Managed& managed, Instant now) {
  const std::size_t authority = 0;
  try {
    Client client(settings_.authorities[authority].access, environment_.now, environment_.stopped);
    const auto info = client.renewal_info(renewal_id(managed.leaf));
    managed.renewal->set_window(now, info ? info->window : std::nullopt,
                                info ? info->retry_after : std::nullopt);
    if (info && !info->explanation.empty()) {
      log_.line("certificate %s: renewal notice of the authority: %s", managed.settings.id.c_str(),
                info->explanation.c_str());
    }
  } catch (const std::runtime_error&) {
    // Not an error: without a window the renewal is due by the remaining share of the lifetime.
    managed.renewal->set_window(now, std::nullopt, std::nullopt);
  }
  save_schedule(managed);
}

// ---- Operator commands

std::string CertificateRenewer::with_lease(const std::function<void()>& action) {
  try {
    for (int tries = 0; !lease_->acquire(environment_.now()); ++tries) {
      const auto holder = lease_->holder(environment_.now());
      if (tries >= kMaxLeaseAttempts || !environment_.pause(milliseconds(1000))) {
        return "another instance holds the lease (" + (holder ? holder->name : std::string("unknown")) + ")";
      }
    }
    std::string failure;
    try {
      action();
    } catch (const Stopped&) {
      failure = "stopped";
    } catch (const LeaseLost&) {
      failure = "the lease went to another instance";
    } catch (const std::runtime_error& error) {
      failure = error.what();
    }
    lease_->release();
    return failure;
  } catch (const StateError& error) {
    return error.what();
  }
}

std::string CertificateRenewer::renew_now(const std::string& id) {
  std::string failure;
  const std::string other = with_lease([&] {
    Managed& managed = find(id);
    refresh(managed);
    managed.renewal->clear_backoff();
    const auto record = issuing_.load(managed.settings.id);
    const Instant now = environment_.now();
    const Decision decision = managed.renewal->decide(
        now, std::nullopt, record ? std::optional(record->authority) : std::nullopt, accounts_.budgets());
    if (decision.action != Decision::Action::renew) {
      failure = std::string(decision.reason) + " until " + date(decision.at);
      return;
    }
    failure = attempt(managed, decision.authority);
  });
  return other.empty() ? failure : other;
}

std::string CertificateRenewer::revoke(const std::string& id, int reason) {
  return with_lease([&] {
    Managed& managed = find(id);
    refresh(managed);
    if (!managed.leaf) throw SettingsError("no certificate to revoke");
    std::string failures;
    // The issuing authority is not recorded, so each is tried; those that did not issue it refuse.
    for (std::size_t i = 0; i < settings_.authorities.size(); ++i) {
      try {
        accounts_.open(i)->client->revoke(managed.leaf, reason);
        log_.line("certificate %s: revoked, reason %d", id.c_str(), reason);
        return;
      } catch (const std::runtime_error& error) {
        failures += (failures.empty() ? "" : "; ") + settings_.authorities[i].name + ": " + error.what();
      }
    }
    throw SettingsError(failures);
  });
}

std::string CertificateRenewer::roll_over(std::size_t authority) {
  return with_lease([&] { accounts_.roll_over(authority); });
}

std::string CertificateRenewer::deactivate(std::size_t authority) {
  return with_lease([&] { accounts_.deactivate(authority); });
}

std::string CertificateRenewer::change_contact(std::size_t authority) {
  return with_lease([&] {
    const auto session = accounts_.open(authority);  // updates the contact if the settings differ
    if (session->account.contact != settings_.authorities[authority].access.contact) {
      throw SettingsError("the authority did not change the contact");
    }
  });
}

}  // namespace quartzarch::acme
