// The directory that stores certificates, keys and open orders across crashes, and the lease that lets one of
// several instances at a time change it.
//
// A file is replaced atomically: a temporary file is written, synced and renamed, and the directory is
// synced. Files are accessible to their owner only. A record carries a digest of its text: one that is torn
// or was written by another program is quarantined: renamed to NAME.aside-N, never overwritten.
#pragma once

#include <functional>

#include "acme/store.hpp"
#include "net/fd.hpp"

namespace quartzarch::acme {

// Reads a secret without its trailing white space; nothing if the file does not exist. The file and its
// directory must be accessible to their owner only. Throws StateError.
std::optional<std::string> read_secret(const std::string& path);

// Replaces a file atomically: readers see the old text or the new one. Throws StateError.
void replace_file(const std::string& path, std::string_view text);

// The store of an installation without a fleet: one file per record, key or chain.
class StateDirectory : public Store {
 public:
  // Creates the directory if it does not exist. `on_quarantine` gets a log line for each quarantined file.
  // Throws StateError if the directory belongs to another user or gives access to group or others.
  StateDirectory(std::string path, std::function<void(const std::string&)> on_quarantine);

  const std::string& path() const { return path_; }
  std::string path_of(const std::string& name) const { return path_ + "/" + name; }

  std::optional<std::string> read(const std::string& name) const override;
  void write(const std::string& name, std::string_view text) override;
  std::optional<Secret> read_pem(const std::string& name) const override;
  void write_pem(const std::string& name, const Secret& pem) override;
  void remove(const std::string& name) override;
  void quarantine(const std::string& name, const std::string& why) override { quarantine_file(name, why); }
  std::vector<std::string> list(const std::string& prefix, const std::string& suffix) const override;
  // For "": the stamp of the directory, which changes when files are added, replaced or removed.
  std::string stamp(const std::string& name) const override;

 private:
  // Reads a file after checking its owner and mode; nothing if it does not exist.
  std::optional<std::string> load(const std::string& name) const;
  // Quarantines a file: renames it to NAME.aside-N and logs why.
  void quarantine_file(const std::string& name, const std::string& why) const;

  std::string path_;
  std::function<void(const std::string&)> on_quarantine_;
};

// A lease stored in a file: one holder at a time, until it gives the lease back or the lease expires. It is
// changed under a lock on a second file, so two instances that find it expired cannot both take it.
class FileLease : public Lease {
 public:
  // `duration`: time to expiry unless the lease is renewed.
  FileLease(StateDirectory& directory, std::string holder, Seconds duration)
      : directory_(directory), holder_(std::move(holder)), duration_(duration) {}

  bool acquire(Instant now) override;
  // Renews the lease. Returns false if this instance does not hold it any more.
  bool renew(Instant now) override;
  void release() override;
  std::optional<Holder> holder(Instant now) const override;

 private:
  // Locks the lock file; closing the descriptor unlocks it.
  Fd lock_file() const;
  std::optional<Holder> read() const;
  bool in_force(const Holder& held, Instant now) const;
  void write(Instant until) const;

  StateDirectory& directory_;
  std::string holder_;
  Seconds duration_;
};

}  // namespace quartzarch::acme
