// Obtains, renews and installs the certificates of an installation, and logs an alarm before one expires.
//
// One pass, run_pass(), does everything that is due. Certificates, orders and schedules are written
// only by passes and operator commands that hold the lease. The decisions are taken by RenewalSchedule
// (renewal.hpp) and by the order steps of flow.hpp; this class carries them out. The serving process calls
// run() on a thread of its own, the command line runs single operations, and tests drive passes with their
// own clock.
#pragma once

#include <memory>
#include <stop_token>

#include "acme/issuing.hpp"
#include "log.hpp"
#include "tls/registry.hpp"

namespace quartzarch::acme {

// The state of one certificate as shown to operators and monitoring.
struct CertificateStatus {
  std::string id{};
  std::vector<std::string> names{};
  Alarm alarm = Alarm::expired;
  std::optional<Validity> validity{};
  std::string issuer{}, fingerprint{};
  std::optional<Instant> due{}, next{};  // when the renewal is due; end of the backoff after a failure
  unsigned failures = 0;
  std::string last_failure{};
  bool order_open = false;  // an order is in progress
};

// The store that the instances share and the lease that allows one of them to change it. `lease` is declared
// last because it must be destroyed before the store.
struct SharedState {
  std::unique_ptr<Store> store{};
  std::unique_ptr<Lease> lease{};
};
// Opens the state directory of the settings with a file lease in it. Throws StateError if the directory's
// owner or mode is unsafe.
SharedState open_state_on_disk(const Settings& settings, Logger& log);

class CertificateRenewer {
 public:
  // `registry` receives certificates and tls-alpn-01 challenge certificates; null on the command line, which
  // serves no TLS. Throws StateError if stored state cannot be read, SettingsError if a file named in the
  // settings cannot be used.
  CertificateRenewer(Settings settings, Logger& log, std::shared_ptr<tls::Registry> registry,
                     Environment environment, SharedState shared);
  CertificateRenewer(Settings settings, Logger& log, std::shared_ptr<tls::Registry> registry,
                     Environment environment)
      : CertificateRenewer(settings, log, std::move(registry), std::move(environment),
                           open_state_on_disk(settings, log)) {}

  // Does everything that is due and returns the latest time for the next pass. Never throws.
  Instant run_pass();
  // Runs passes until `stop` is requested, and sync() every half second between them.
  void run(const std::stop_token& stop);

  std::vector<CertificateStatus> statuses();
  // Loads what other instances have changed since: renewed certificates and published challenges. Logs
  // alarms.
  void sync();
  // Renews now, whether due or not. Like the operations below, returns an error message, or an empty string
  // on success.
  std::string renew_now(const std::string& id);
  std::string revoke(const std::string& id, int reason);
  std::string roll_over(std::size_t authority);
  std::string deactivate(std::size_t authority);
  std::string change_contact(std::size_t authority);
  const Settings& settings() const { return settings_; }

 private:
  // A configured certificate with its schedule and the chain in use.
  struct Managed {
    CertificateSettings settings{};
    std::unique_ptr<RenewalSchedule> renewal{};
    std::uint64_t seed = 0;
    std::string last_failure{};
    std::string current_stamp{}, schedule_stamp{};  // of the files last read, to detect changes
    Certificate leaf{};                             // the certificate in use; null: none yet
    std::optional<Validity> held{};                 // validity of `leaf`
    std::optional<Alarm> logged_alarm{};
    Instant alarm_logged_at{};
  };
  std::string file(const Managed& managed, const char* suffix) const { return managed.settings.id + suffix; }

  // Reloads the certificate and its schedule if their files have changed.
  void refresh(Managed& managed);
  // Logs the alarm level when it changes; `late` and worse again every six hours.
  void log_alarm(Managed& managed, Instant now);
  Managed& find(const std::string& id);

  void save_schedule(Managed& managed);
  // Makes one attempt at one authority and records its outcome in the schedule. Returns an error message, or
  // an empty string on success.
  std::string attempt(Managed& managed, std::size_t authority);
  // Replaces the certificate in use by the issued one.
  void install(Managed& managed, const Issued& issued);
  // Records the success in the schedule and removes the order, once its certificate is in use.
  void record_in_use(Managed& managed, const OrderRecord& record);
  // Asks the first authority for its suggested renewal window (ARI, RFC 9773).
  void query_window(Managed& managed, Instant now);

  // The validity of the certificate in use if it covers the configured names.
  std::optional<Validity> usable_validity(const Managed& managed) const;
  // Runs `action` holding the lease, for which it waits up to a minute. Returns an error message or an empty
  // string.
  std::string with_lease(const std::function<void()>& action);

  Settings settings_;
  Logger& log_;
  std::shared_ptr<tls::Registry> registry_;
  Environment environment_;
  std::unique_ptr<Store> store_;
  std::unique_ptr<Lease> lease_;
  Steps steps_;
  Accounts accounts_;
  Challenges challenges_;
  Issuing issuing_;
  std::vector<Managed> managed_;
};

}  // namespace quartzarch::acme
