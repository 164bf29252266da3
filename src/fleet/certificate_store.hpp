// A fleet's certificates, keys and orders in the register, sealed, with a copy in each controller's
// directory.
//
// Reads come from the copy, so that certificates are served whatever becomes of the voters. A change goes to
// the register first, under the token of the duty and the revision at which the value was known, then to the
// copy: one that was held up on the way does nothing, neither after the holding nor after a later change.
#pragma once

#include <map>
#include <memory>
#include <mutex>
#include <set>

#include "acme/keeper.hpp"
#include "acme/state.hpp"
#include "fleet/membership.hpp"
#include "fleet/seal.hpp"

namespace quartzarch::fleet {

inline constexpr const char* kCertificatesDuty = "certificates";

class CertificateStore : public acme::Store {
 public:
  // `stopped`: ends waiting for the register.
  CertificateStore(Logger& log, Membership& fleet, Seal seal, const std::string& directory,
                   std::function<bool()> stopped);

  // Waits until the register's were updates once; false: it is out of reach, the copy is what there is.
  bool wait_for_contents(Duration timeout);
  // Everything as the register has it, ahead of the first change under that token. False: out of reach.
  bool reload(duty::Token token);
  // Of the last reload(); 0: there was none.
  duty::Token token() const { return token_; }
  // No change since then may or may not have been done.
  bool consistent() const { return consistent_; }

  std::optional<std::string> read(const std::string& name) const override;
  void write(const std::string& name, std::string_view text) override;
  std::optional<acme::Secret> read_pem(const std::string& name) const override {
    return copy_.read_pem(name);
  }
  void write_pem(const std::string& name, const acme::Secret& pem) override;
  void remove(const std::string& name) override;
  void put_aside(const std::string& name, const std::string& why) override;
  std::vector<std::string> list(const std::string& prefix, const std::string& suffix) const override {
    return copy_.list(prefix, suffix);
  }
  std::string stamp(const std::string& name) const override { return copy_.stamp(name); }
  void look() override;

 private:
  struct WatchUpdate {
    reg::Revision at = 0;
    std::vector<reg::Change> changes{};
    bool complete = false;
  };
  struct Known {
    reg::Revision changed = 0;         // the last change that was updates or made
    reg::Revision value_revision = 0;  // what a write has to expect; 0: it is not there
  };
  // Filled on the fleet's thread, emptied on the keeper's.
  struct Inbox {
    std::mutex mutex;
    std::vector<WatchUpdate> updates;
  };

  void watch();
  // To the register. Throws StateError, TurnLost.
  void change(reg::Command command);
  void put(const std::string& name, std::string_view text);
  std::vector<std::string> copied_names() const;  // names
  std::optional<acme::Secret> copy_of(const std::string& name) const;
  // Into the copy, if it differs.
  void update_copy(const std::string& name, std::string_view text);
  void apply_update(const WatchUpdate& update);
  // What a controller had before it was of a fleet: the first holder's is everybody's.
  void import_copy();

  Logger& log_;
  Membership& fleet_;
  DutyHandle& duty_handle_;
  Seal seal_;
  acme::StateDirectory copy_;
  std::function<bool()> stopped_;
  std::shared_ptr<Inbox> inbox_ = std::make_shared<Inbox>();
  std::map<std::string, Known> known_;
  std::map<std::string, std::string> rejected_digests_;  // digests of what was put aside: not taken again
  bool initialized_ = false;                             // the register has a fleet's certificates
  bool received_all_ = false;                            // they were updates once
  bool logged_unsealed_ = false;
  duty::Token token_ = 0;
  bool consistent_ = false;
  mutable bool copy_incomplete_ = false;  // it is to be made anew from the register
  Time rewatched_at_{};
};

// Whose turn it is to change the certificates: the duty's holder's.
class DutyTurn : public acme::Turn {
 public:
  DutyTurn(DutyHandle& duty_handle, CertificateStore& store) : duty_handle_(duty_handle), store_(store) {}
  ~DutyTurn() override { duty_handle_.busy(false); }

  bool take(acme::Instant now) override;
  bool keep(acme::Instant now) override;
  void give_back() override { duty_handle_.busy(false); }
  std::optional<Holder> holder(acme::Instant now) const override;

 private:
  DutyHandle& duty_handle_;
  CertificateStore& store_;
};

// The seal of the file that the settings name. Throws ConfigError if there is none, or no such file.
Seal read_seal(const FleetSettings& settings);
acme::Kept open_fleet_store(const acme::Settings& settings, Logger& log, Membership& fleet, Seal seal,
                            Duration timeout, std::function<bool()> stopped);

}  // namespace quartzarch::fleet
