// What clients did at the register and what they saw of it, and a judge that reads this alone: could one
// register, doing one thing at a time, have shown it (Herlihy and Wing, Linearizability, 1990)? The search is
// Wing and Gong's with Lowe's memory of what was tried (Testing for linearizability, 2016), key by key.
#pragma once

#include <functional>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "quartzarch/controller.hpp"
#include "register/client_protocol.hpp"

namespace quartzarch::faults {

enum class Did { read, put, swap };  // swap: a put that expects a value

struct Operation {
  unsigned client = 0;
  Did did{};
  std::string key{};
  std::string value{};                    // written; no value is written twice in a history
  std::optional<std::string> expected{};  // swap: nothing means that there must be none
  Time invoked{};
  // Nothing: no answer came. It may have happened, also later, or never will.
  std::optional<Time> returned{};
  bool refused = false;               // swap: it found another value
  std::optional<std::string> seen{};  // by a read or a refused swap; nothing: there was none
  reg::Revision revision = 0;         // of the value written or seen; 0: not told
};

class History {
 public:
  // The place of the operation, for end().
  std::size_t begin(Operation operation);
  Operation& at(std::size_t place) { return operations_[place]; }
  const std::vector<Operation>& operations() const { return operations_; }
  std::size_t answered() const;

  // What no register could have shown, in one line; empty: one could.
  std::string judge() const;

 private:
  std::vector<Operation> operations_;
};

// One client that reads, puts and swaps at a few keys, one thing after the other, and writes its history.
// Used in virtual time and over sockets: `ask` is the register's client there.
class Recorder {
 public:
  using Ask = std::function<void(reg::Command, reg::ClientProtocol::Done)>;
  static constexpr unsigned kKeys = 4;
  static std::string key(unsigned number) { return "history/" + std::to_string(number); }

  Recorder(History& history, unsigned client, Ask ask, std::uint64_t seed);

  // Begins the next operation, if none is under way. `now`: one clock for all clients of the history.
  void step(const std::function<Time()>& now);
  // A read of that key, for the end: nothing may be lost that was acknowledged.
  void read(const std::function<Time()>& now, unsigned key);
  bool busy() const { return busy_; }
  // The client died: what was under way stays without an answer.
  void forget();

 private:
  void ask(const std::function<Time()>& now, Operation operation);
  void answered(Time now, std::size_t place, const std::optional<reg::Reply>& reply);

  struct Seen {
    std::optional<std::string> value{};
    reg::Revision revision = 0;
  };

  History& history_;
  unsigned client_;
  Ask ask_;
  std::mt19937_64 random_;
  std::map<std::string, Seen> seen_;
  bool busy_ = false;
  unsigned life_ = 0;
  unsigned written_ = 0;
};

}  // namespace quartzarch::faults
