// Keeps the certificates of an installation: obtains, renews and swaps them, and says in time when it cannot.
//
// One pass, run_pass(), does what is due; nothing but a pass reads or changes the state. What a pass decides
// is RenewalSchedule's and flow's; here is only what they decide about. A thread of the serving process calls
// it (run), the command line for one pass, tests with a clock of their own.
#pragma once

#include <memory>
#include <stop_token>

#include "acme/issuing.hpp"
#include "log.hpp"
#include "tls/registry.hpp"

namespace quartzarch::acme {

// How a certificate stands, for people and monitoring.
struct CertificateStatus {
  std::string id{};
  std::vector<std::string> names{};
  Alarm alarm = Alarm::expired;
  std::optional<Validity> validity{};
  std::string issuer{}, fingerprint{};
  std::optional<Instant> due{}, next{};
  unsigned failures = 0;
  std::string last_failure{};
  bool order_open = false;
};

// Where a keeper's state is, and whose turn it is. The turn is ended before the store.
struct SharedState {
  std::unique_ptr<Store> store{};
  std::unique_ptr<Turn> lease{};
};
// In the settings' directory, by a lease in it. Throws StateError if it cannot be trusted.
SharedState open_state_on_disk(const Settings& settings, Logger& log);

class CertificateRenewer {
 public:
  // `registry`: whom to give certificates and challenge answers; may be null (the command line). Throws
  // StateError if what is kept cannot be read, SettingsError if a file that the settings name cannot be used.
  CertificateRenewer(Settings settings, Logger& log, std::shared_ptr<tls::Registry> registry,
                     Environment environment, SharedState shared);
  CertificateRenewer(Settings settings, Logger& log, std::shared_ptr<tls::Registry> registry,
                     Environment environment)
      : CertificateRenewer(settings, log, std::move(registry), std::move(environment),
                           open_state_on_disk(settings, log)) {}

  // Does what is due; when to be called repeat at the latest. Never throws.
  Instant run_pass();
  // run_pass() repeat and repeat until it is logged_alarm to stop.
  void run(const std::stop_token& stop);

  std::vector<CertificateStatus> statuses();
  // What may change without a pass: certificates that another instance renewed, challenges that it put up.
  void sync();
  // Renews now, due or not; what went wrong, or empty.
  std::string renew_now(const std::string& id);
  std::string revoke(const std::string& id, int reason);
  std::string roll_over(std::size_t authority);
  std::string deactivate(std::size_t authority);
  std::string change_contact(std::size_t authority);
  const Settings& settings() const { return settings_; }

 private:
  struct Managed {
    CertificateSettings settings{};
    std::unique_ptr<RenewalSchedule> renewal{};
    std::uint64_t seed = 0;
    std::string last_failure{};
    std::string current_stamp{}, schedule_stamp{};
    Certificate leaf{};  // null: none yet
    std::optional<Validity> held{};
    std::optional<Alarm> logged_alarm{};
    Instant alarm_logged_at{};
  };
  std::string file(const Managed& managed, const char* suffix) const { return managed.settings.id + suffix; }

  void refresh(Managed& managed);
  void log_alarm(Managed& managed, Instant now);
  Managed& find(const std::string& id);

  void save_schedule(Managed& managed);
  // One attempt at one authority, its outcome taken down in the schedule; what went wrong, or empty.
  std::string attempt(Managed& managed, std::size_t authority);
  void install(Managed& managed, const Issued& issued);
  // The order's certificate is the one in use now.
  void record_in_use(Managed& managed, const OrderRecord& record);
  void query_window(Managed& managed, Instant now);

  std::optional<Validity> usable_validity(const Managed& managed) const;
  std::string with_lease(const std::function<void()>& action);

  Settings settings_;
  Logger& log_;
  std::shared_ptr<tls::Registry> registry_;
  Environment environment_;
  std::unique_ptr<Store> store_;
  std::unique_ptr<Turn> lease_;
  Steps steps_;
  Accounts accounts_;
  Challenges challenges_;
  Issuing issuing_;
  std::vector<Managed> managed_;
};

}  // namespace quartzarch::acme
