// A history of the operations of clients at the replicated register, with a checker for linearizability:
// whether a single register that executes one operation at a time could have returned the same results
// (Herlihy and Wing, Linearizability, 1990). The checker uses Wing and Gong's search with Lowe's cache of
// visited states (Testing for linearizability, 2016), for each key separately.
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

enum class OperationKind { read, put, swap };  // swap: compare-and-set

struct Operation {
  unsigned client = 0;
  OperationKind kind{};
  std::string key{};
  std::string value{};                    // written; unique within a history
  std::optional<std::string> expected{};  // by a swap; empty: the key must be absent
  Time invoked{};
  // Empty: there was no reply, so the operation may have taken effect at any time after `invoked`, or never.
  std::optional<Time> returned{};
  bool refused = false;               // a swap that found another value
  std::optional<std::string> seen{};  // by a read or a refused swap; empty: the key was absent
  reg::Revision revision = 0;         // of the value written or seen; 0: unknown
};

class History {
 public:
  // Adds an operation and returns its index, for at(), which is used to record the reply.
  std::size_t begin(Operation operation);
  Operation& at(std::size_t index) { return operations_[index]; }
  const std::vector<Operation>& operations() const { return operations_; }
  // Number of operations that got a reply.
  std::size_t answered() const;

  // Checks the history. Returns the first violation in one line; empty if the history is linearizable.
  std::string check() const;

 private:
  std::vector<Operation> operations_;
};

// A client that reads, puts and swaps a few keys at random, one operation at a time, and records the history.
// It works in virtual time and over sockets: `ask` sends a command by the client of the respective
// environment.
class Recorder {
 public:
  using Ask = std::function<void(reg::Command, reg::ClientProtocol::Done)>;
  static constexpr unsigned kKeys = 4;
  static std::string key(unsigned number) { return "history/" + std::to_string(number); }

  Recorder(History& history, unsigned client, Ask ask, std::uint64_t seed);

  // Starts the next operation unless one is in flight. `now` reads a clock that is common to all clients of
  // the history.
  void step(const std::function<Time()>& now);
  // Reads that key. Used at the end of a test, to detect the loss of acknowledged writes.
  void read(const std::function<Time()>& now, unsigned key);
  // Whether an operation is in flight.
  bool busy() const { return busy_; }
  // Simulates a crash of the client: the operation in flight stays without a reply.
  void abandon();

 private:
  void ask(const std::function<Time()>& now, Operation operation);
  void answered(Time now, std::size_t index, const std::optional<reg::Reply>& reply);

  struct KnownValue {
    std::optional<std::string> value{};
    reg::Revision revision = 0;
  };

  History& history_;
  unsigned client_;
  Ask ask_;
  std::mt19937_64 random_;
  std::map<std::string, KnownValue> known_;
  bool busy_ = false;
  unsigned incarnation_ = 0;
  unsigned written_ = 0;
};

}  // namespace quartzarch::faults
