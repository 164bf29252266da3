// Interfaces of the store for certificates, keys, orders and schedules, and of the lease that allows one
// instance at a time to change it.
#pragma once

#include <optional>
#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

#include "acme/crypto.hpp"

namespace quartzarch::acme {

// The store or the lease cannot be read, written or trusted.
struct StateError : std::runtime_error {
  using std::runtime_error::runtime_error;
};
// Another instance may hold the lease by now: nothing more may be changed. Not a StateError, because callers
// that continue after a StateError must not continue after this.
struct LeaseLost {};

// A store of named records (JSON) and PEM texts. Throws StateError if an entry cannot be read, written or
// trusted, LeaseLost if a change is rejected because this instance does not hold the lease.
class Store {
 public:
  virtual ~Store() = default;

  // A record's text; nothing if it does not exist or is damaged, in which case it is quarantined.
  virtual std::optional<std::string> read(const std::string& name) const = 0;
  virtual void write(const std::string& name, std::string_view text) = 0;
  // Private keys and certificate chains in PEM.
  virtual std::optional<Secret> read_pem(const std::string& name) const = 0;
  virtual void write_pem(const std::string& name, const Secret& pem) = 0;
  virtual void remove(const std::string& name) = 0;
  // Moves an entry that cannot be used to another name, so that it is not overwritten. `why` is logged.
  virtual void quarantine(const std::string& name, const std::string& why) = 0;
  // The names with this prefix and suffix.
  virtual std::vector<std::string> list(const std::string& prefix, const std::string& suffix) const = 0;
  // A value that changes whenever the entry may have changed.
  virtual std::string stamp(const std::string& name) const = 0;
  // Applies the changes of other instances received so far.
  virtual void apply_updates() {}
};

// The lease on the store: held by one instance at a time, until it is released or expires.
class Lease {
 public:
  struct Holder {
    std::string name{};
    Instant until{};
  };

  virtual ~Lease() = default;
  // Acquires the lease, or renews it if this instance holds it already. Returns false while another instance
  // holds it. Throws StateError.
  virtual bool acquire(Instant now) = 0;
  // Renews the lease. Returns false if it expired or another instance acquired it: nothing may be changed.
  virtual bool renew(Instant now) = 0;
  virtual void release() = 0;
  // The current holder; nothing if the lease is free or expired.
  virtual std::optional<Holder> holder(Instant now) const = 0;
};

}  // namespace quartzarch::acme
