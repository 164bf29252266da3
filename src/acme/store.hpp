// Where certificates, keys, orders and schedules are kept, and whose turn it is to change them.
#pragma once

#include <optional>
#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

#include "acme/crypto.hpp"

namespace quartzarch::acme {

struct StateError : std::runtime_error {
  using std::runtime_error::runtime_error;
};
// Somebody else may have the turn by now: nothing more may be changed. Not a StateError: whoever goes on
// after one of those must not go on after this.
struct TurnLost {};

// Everything by name: records (JSON) and PEM. Throws StateError if it cannot be read, written or trusted,
// TurnLost if a change is refused because the turn is over.
class Store {
 public:
  virtual ~Store() = default;

  // A record's text; nothing if there is none, or it was put aside.
  virtual std::optional<std::string> read(const std::string& name) const = 0;
  virtual void write(const std::string& name, std::string_view text) = 0;
  // Keys and chains, as PEM.
  virtual std::optional<Secret> read_pem(const std::string& name) const = 0;
  virtual void write_pem(const std::string& name, const Secret& pem) = 0;
  virtual void remove(const std::string& name) = 0;
  // What cannot be used is kept under another name.
  virtual void put_aside(const std::string& name, const std::string& why) = 0;
  virtual std::vector<std::string> list(const std::string& prefix, const std::string& suffix) const = 0;
  // Differs whenever the record may have changed.
  virtual std::string stamp(const std::string& name) const = 0;
  // Takes up what others have changed, as far as it is known.
  virtual void look() {}
};

// One instance's at a time.
class Turn {
 public:
  struct Holder {
    std::string name{};
    Instant until{};
  };

  virtual ~Turn() = default;
  // Takes it, or keeps up what is ours; false while another has it. Throws StateError.
  virtual bool take(Instant now) = 0;
  // Ours still. False: somebody else took over, or it ran out: nothing may be changed.
  virtual bool keep(Instant now) = 0;
  virtual void give_back() = 0;
  virtual std::optional<Holder> holder(Instant now) const = 0;
};

}  // namespace quartzarch::acme
