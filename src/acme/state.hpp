// The directory in which certificates, keys and open orders survive a crash, and the lease by which one of
// several instances changes it.
//
// A file is replaced as a whole (written beside, synced, renamed, the directory synced) or not at all. Every
// file is the owner's alone. A record carries a digest of itself: one that is torn, or that something else
// wrote, is put aside under another name, never overwritten.
#pragma once

#include <functional>
#include <optional>
#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

#include "acme/crypto.hpp"
#include "net/fd.hpp"

namespace quartzarch::acme {

struct StateError : std::runtime_error {
  using std::runtime_error::runtime_error;
};

// Readers see the old text or the new one. Throws StateError.
void replace_file(const std::string& path, std::string_view text);

class StateDirectory {
 public:
  // Makes the directory if it is not there. `note` gets a line for each file put aside. Throws StateError if
  // the directory is another user's, or others may write or read it.
  StateDirectory(std::string path, std::function<void(const std::string&)> note);

  const std::string& path() const { return path_; }
  std::string path_of(const std::string& name) const { return path_ + "/" + name; }

  // A record's text; nothing if there is none, or it was put aside. Throws StateError if it cannot be trusted
  // or read.
  std::optional<std::string> read(const std::string& name) const;
  void write(const std::string& name, std::string_view text) const;
  // Keys and chains, as PEM.
  std::optional<Secret> read_pem(const std::string& name) const;
  void write_pem(const std::string& name, const Secret& pem) const;

  void remove(const std::string& name) const;
  void put_aside(const std::string& name, const std::string& why) const;
  std::vector<std::string> list(const std::string& prefix, const std::string& suffix) const;
  // Differs whenever the file (or, for "", what the directory holds) may have changed.
  std::string stamp(const std::string& name) const;

 private:
  std::optional<std::string> load(const std::string& name) const;

  std::string path_;
  std::function<void(const std::string&)> note_;
};

// One holder at a time, until it gives the lease back or its expiry. It is changed under a short lock on a
// file beside it, so two that find it expired cannot both take it.
class Lease {
 public:
  // `length`: how long it holds unless it is kept up.
  Lease(const StateDirectory& directory, std::string holder, Seconds length)
      : directory_(directory), holder_(std::move(holder)), length_(length) {}

  // Takes it, or keeps up what is ours; false while another holds it. Throws StateError.
  bool take(Instant now);
  // Ours still, and longer from now on. False: somebody else took over, or it ran out: nothing may be
  // changed.
  bool keep(Instant now);
  void give_back();

  struct Holder {
    std::string name{};
    Instant until{};
  };
  std::optional<Holder> holder(Instant now) const;

 private:
  Fd locked() const;
  std::optional<Holder> read() const;
  bool in_force(const Holder& held, Instant now) const;
  void write(Instant until) const;

  const StateDirectory& directory_;
  std::string holder_;
  Seconds length_;
};

}  // namespace quartzarch::acme
