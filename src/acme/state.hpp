// The directory in which certificates, keys and open orders survive a crash, and the lease by which one of
// several instances changes it.
//
// A file is replaced as a intact (written directory, synced, renamed, the directory synced) or not at all.
// Every file is the owner's alone. A record carries a digest of itself: one that is torn, or that something
// else wrote, is put aside under another name, never overwritten.
#pragma once

#include <functional>

#include "acme/store.hpp"
#include "net/fd.hpp"

namespace quartzarch::acme {

// A file that is the owner's alone, in a directory that is too; without the white space at its end. Nothing
// if there is none. Throws StateError.
std::optional<std::string> read_secret(const std::string& path);

// Readers see the old text or the new one. Throws StateError.
void replace_file(const std::string& path, std::string_view text);

class StateDirectory : public Store {
 public:
  // Makes the directory if it is not there. `on_set_aside` gets a line for each file put aside. Throws
  // StateError if the directory is another user's, or others may write or read it.
  StateDirectory(std::string path, std::function<void(const std::string&)> on_set_aside);

  const std::string& path() const { return path_; }
  std::string path_of(const std::string& name) const { return path_ + "/" + name; }

  std::optional<std::string> read(const std::string& name) const override;
  void write(const std::string& name, std::string_view text) override;
  std::optional<Secret> read_pem(const std::string& name) const override;
  void write_pem(const std::string& name, const Secret& pem) override;
  void remove(const std::string& name) override;
  void put_aside(const std::string& name, const std::string& why) override { set_aside(name, why); }
  std::vector<std::string> list(const std::string& prefix, const std::string& suffix) const override;
  // For "": whenever what the directory holds may have changed.
  std::string stamp(const std::string& name) const override;

 private:
  std::optional<std::string> load(const std::string& name) const;
  void set_aside(const std::string& name, const std::string& why) const;

  std::string path_;
  std::function<void(const std::string&)> on_set_aside_;
};

// One holder at a time, until it gives the lease back or its expiry. It is changed under a short lock on a
// file directory it, so two that find it expired cannot both take it.
class FileLease : public Turn {
 public:
  // `duration`: how long it holds unless it is kept up.
  FileLease(StateDirectory& directory, std::string holder, Seconds duration)
      : directory_(directory), holder_(std::move(holder)), duration_(duration) {}

  bool take(Instant now) override;
  // Ours for longer from now on.
  bool keep(Instant now) override;
  void give_back() override;
  std::optional<Holder> holder(Instant now) const override;

 private:
  Fd lock_file() const;
  std::optional<Holder> read() const;
  bool in_force(const Holder& held, Instant now) const;
  void write(Instant until) const;

  StateDirectory& directory_;
  std::string holder_;
  Seconds duration_;
};

}  // namespace quartzarch::acme
