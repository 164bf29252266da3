// Keeps the certificates of an installation: obtains, renews and swaps them, and says in time when it cannot.
//
// One pass, work(), does what is due; nothing but a pass reads or changes the state. What a pass decides is
// Renewal's and flow's; here is only what they decide about. A thread of the serving process calls it (run),
// the command line for one pass, tests with a clock of their own.
#pragma once

#include <map>
#include <memory>
#include <stop_token>

#include "acme/client.hpp"
#include "acme/responder.hpp"
#include "acme/settings.hpp"
#include "acme/state.hpp"
#include "log.hpp"
#include "tls/registry.hpp"

namespace quartzarch::acme {

// What is not the keeper's own: the time, and waiting.
struct Environment {
  std::function<Instant()> now{};
  // Waits; false if it was told to stop meanwhile.
  std::function<bool(std::chrono::milliseconds)> pause{};
  std::function<bool()> stopped{};
  // Called at every step that leaves a trace on disk or at the authority; for tests, which end the process
  // there.
  std::function<void(const char*)> step{};
  // What the random points of the schedules come from; a number of its own if there is none.
  std::optional<std::uint64_t> seed{};

  static Environment real(std::stop_token stop);
};

// How a certificate stands, for people and monitoring.
struct Standing {
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

class Keeper {
 public:
  // `registry`: whom to give certificates and challenge answers; may be null (the command line). Throws
  // StateError if the directory cannot be trusted, SettingsError if a file that the settings name cannot be
  // used.
  Keeper(Settings settings, Logger& log, std::shared_ptr<tls::Registry> registry, Environment environment);
  ~Keeper();

  // Does what is due; when to be called again at the latest. Never throws.
  Instant work();
  // work() again and again until it is told to stop.
  void run(const std::stop_token& stop);

  std::vector<Standing> standings();
  // What may change without a pass: certificates that another instance renewed, challenges that it put up.
  void look();
  // Renews now, due or not; what went wrong, or empty.
  std::string renew_now(const std::string& id);
  std::string revoke(const std::string& id, int reason);
  std::string roll_over(std::size_t authority);
  std::string deactivate(std::size_t authority);
  std::string change_contact(std::size_t authority);
  const Settings& settings() const { return settings_; }
  std::optional<Lease::Holder> lease_holder() { return lease_.holder(environment_.now()); }

 private:
  struct Managed {
    CertificateSettings settings{};
    std::unique_ptr<Renewal> renewal{};
    std::uint64_t seed = 0;
    std::string last_failure{};
    std::string current_stamp{}, schedule_stamp{};
    Certificate leaf{};  // null: none yet
    std::optional<Validity> held{};
    std::optional<Alarm> told{};
    Instant told_at{};
    bool reported_unusable = false;
  };
  struct Account {
    Key key{};
    std::string url{};
    Budget orders{};
    std::vector<std::string> contact{};
  };
  struct Stopped {};
  struct Lost {};  // the lease

  std::string file(const Managed& managed, const char* suffix) const { return managed.settings.id + suffix; }
  std::string account_file(std::size_t authority, const char* suffix) const;

  void refresh(Managed& managed);
  void tell_alarm(Managed& managed, Instant now);
  Managed& find(const std::string& id);

  Account load_account(std::size_t authority);
  void save_account(std::size_t authority, const Account& account);
  std::vector<Budget> account_budgets();
  // An account that is open, and a client that uses it.
  struct Session {
    Account account{};
    std::unique_ptr<Client> client{};
  };
  std::unique_ptr<Session> open(std::size_t authority);
  void finish_roll_over(std::size_t authority, Session& session);

  std::optional<OrderRecord> load_order(const Managed& managed);
  void save_order(const Managed& managed, const OrderRecord& record);
  void drop_order(const Managed& managed, const OrderRecord& record);
  void drop_stray_keys(const Managed& managed, const std::optional<OrderRecord>& record);
  void save_schedule(Managed& managed);

  // One attempt at one authority, its outcome taken down in the schedule; what went wrong, or empty.
  std::string attempt(Managed& managed, std::size_t authority);
  void issue(Managed& managed, std::size_t authority);
  Key key_of(Managed& managed, OrderRecord& record);
  // The order as the authority shows it: the one of the record, or one found again, or a new one.
  OrderReply place(Managed& managed, OrderRecord& record, Session& session, bool taken_up);
  void prove(const Managed& managed, Session& session, const std::string& authorization_url);
  void fetch(Managed& managed, OrderRecord& record, Session& session, const Key& key, const OrderView& view);
  void swap(Managed& managed, const OrderRecord& record, const Key& key, const std::string& chain);
  void ask_window(Managed& managed, Instant now);

  // Puts a challenge's answer up here and for the other instances.
  void put_up(const std::string& name, const std::string& type, const std::string& token,
              const std::string& authorization);
  void take_down(const std::string& name);
  // Answers what any instance has put up.
  void answer_shared();

  std::optional<Validity> wanted(const Managed& managed) const;
  std::string with_lease(const std::function<void()>& work);
  void step(const char* what);
  void wait(std::chrono::milliseconds how_long);

  Settings settings_;
  Logger& log_;
  std::shared_ptr<tls::Registry> registry_;
  Environment environment_;
  StateDirectory state_;
  std::string holder_;
  Lease lease_;
  std::vector<Managed> managed_;
  std::unique_ptr<Responder> responder_{};
  struct Answered {
    std::string stamp{}, name{}, type{};
  };
  std::map<std::string, Answered> answered_{};  // by the file of the challenge
  bool told_of_responder_ = false;
};

}  // namespace quartzarch::acme
