// A fleet's certificates, keys and orders: encrypted in the register, with a copy in each controller's
// directory.
//
// Reads use the copy, so that certificates are served even if the voters are unreachable. A change goes to
// the register first, with the fencing token of the duty and the revision that the value is expected to have,
// and then to the copy: a delayed change has no effect if it arrives after this controller has lost the duty
// or after a later change.
#pragma once

#include <map>
#include <memory>
#include <mutex>
#include <set>

#include "acme/certificate_renewer.hpp"
#include "acme/state.hpp"
#include "fleet/membership.hpp"
#include "fleet/seal.hpp"

namespace quartzarch::fleet {

inline constexpr const char* kCertificatesDuty = "certificates";

// The store of the ACME client of a fleet's controller.
class CertificateStore : public acme::Store {
 public:
  // `stopped`: returns true to end waiting for the register.
  CertificateStore(Logger& log, Membership& fleet, Seal seal, const std::string& directory,
                   std::function<bool()> stopped);

  // Waits until the register's contents were received once. False: it is out of reach, and only the copy is
  // available.
  bool wait_for_contents(Duration timeout);
  // Reads everything from the register, before the first change under that token. False: it is out of reach.
  bool reload(duty::Token token);
  // The token of the last reload(); 0: there was none.
  duty::Token token() const { return token_; }
  // False after a change whose outcome is unknown: reload() has to be called before the next one.
  bool consistent() const { return consistent_; }

  std::optional<std::string> read(const std::string& name) const override;
  void write(const std::string& name, std::string_view text) override;
  std::optional<acme::Secret> read_pem(const std::string& name) const override {
    return copy_.read_pem(name);
  }
  void write_pem(const std::string& name, const acme::Secret& pem) override;
  void remove(const std::string& name) override;
  void quarantine(const std::string& name, const std::string& why) override;
  std::vector<std::string> list(const std::string& prefix, const std::string& suffix) const override {
    return copy_.list(prefix, suffix);
  }
  std::string stamp(const std::string& name) const override { return copy_.stamp(name); }
  void apply_updates() override;

 private:
  // What a watch reported: changes up to revision `at`; `complete`: they are all there is.
  struct WatchUpdate {
    reg::Revision at = 0;
    std::vector<reg::Change> changes{};
    bool complete = false;
  };
  struct Known {
    reg::Revision changed = 0;         // revision of the last change received or made
    reg::Revision value_revision = 0;  // revision that a write has to expect; 0: the value does not exist
  };
  // Filled on the fleet's thread, emptied on the thread of the ACME client.
  struct Inbox {
    std::mutex mutex;
    std::vector<WatchUpdate> updates;
  };

  void watch();
  // Applies a change to the register. Throws StateError, LeaseLost.
  void change(reg::Command command);
  void put(const std::string& name, std::string_view text);
  std::vector<std::string> copied_names() const;
  std::optional<acme::Secret> copy_of(const std::string& name) const;
  // Writes to the copy, if it differs.
  void update_copy(const std::string& name, std::string_view text);
  void apply_update(const WatchUpdate& update);
  // Imports the records that this controller stored before it joined the fleet: those of the first holder of
  // the duty become the fleet's.
  void import_copy();

  Logger& log_;
  Membership& fleet_;
  DutyHandle& duty_handle_;
  Seal seal_;
  acme::StateDirectory copy_;
  std::function<bool()> stopped_;
  std::shared_ptr<Inbox> inbox_ = std::make_shared<Inbox>();
  std::map<std::string, Known> known_;
  // Digests of quarantined records, by name, which are not copied again.
  std::map<std::string, std::string> rejected_digests_;
  bool initialized_ = false;   // the register holds the fleet's certificates
  bool received_all_ = false;  // the complete contents were received once
  bool logged_unsealed_ = false;
  duty::Token token_ = 0;
  bool consistent_ = false;
  mutable bool copy_incomplete_ = false;  // the copy has to be completed from the register
  Time rewatched_at_{};
};

// The lease that permits changes to the certificates: held by the holder of the certificates duty.
class DutyLease : public acme::Lease {
 public:
  DutyLease(DutyHandle& duty_handle, CertificateStore& store) : duty_handle_(duty_handle), store_(store) {}
  ~DutyLease() override { duty_handle_.busy(false); }

  bool acquire(acme::Instant now) override;
  bool renew(acme::Instant now) override;
  void release() override { duty_handle_.busy(false); }
  std::optional<Holder> holder(acme::Instant now) const override;

 private:
  DutyHandle& duty_handle_;
  CertificateStore& store_;
};

// Reads the encryption key from the file that the settings name. Throws ConfigError if none is named, or the
// file does not hold one.
Seal read_seal(const FleetSettings& settings);
// The store and the lease for a controller of a fleet; waits `timeout` for the register's contents.
acme::SharedState open_fleet_store(const acme::Settings& settings, Logger& log, Membership& fleet, Seal seal,
                                   Duration timeout, std::function<bool()> stopped);

}  // namespace quartzarch::fleet
