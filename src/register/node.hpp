// One voter: libraft around the register's state machine. No socket, clock or thread: messages, time and the
// disk are passed in, so that the same code runs in a process and in virtual time.
//
// Errors: a StorageError anywhere ends the voter's part (`failed()`); it answers nothing more and the process
// goes on without it.
#pragma once

#include <functional>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "quartzarch/controller.hpp"
#include "register/state.hpp"
#include "register/storage.hpp"

namespace quartzarch::reg {

struct NodeSettings {
  VoterId id = 0;
  std::string address{};
  // All at once, on the first start of a new register only (`quartzarch fleet init`); empty: it has a disk
  // with a log, or waits to be added.
  Voters initial_voters{};
  Duration election = std::chrono::milliseconds(500);  // between this and twice it without a leader
  Duration heartbeat = std::chrono::milliseconds(100);
  unsigned snapshot_after = 4096;  // entries
  unsigned trailing = 1024;        // kept behind a snapshot, for voters that lag
  Bounds bounds{};
  Defects defects{};
  bool forgets_vote = false;  // a defect that only tests switch on
};

class Transport {
 public:
  virtual ~Transport() = default;
  // May be lost, late or out of order; never altered.
  virtual void send(VoterId to, const std::string& address, std::string bytes) = 0;
};

enum class Outcome {
  done,        // the reply is there
  not_leader,  // nothing was done: ask the leader
  unknown,     // leadership was lost meanwhile: it may have been done or not
  failed,      // this voter is out of order
};

class Node {
 public:
  using Done = std::function<void(Outcome, const Reply&)>;

  // Throws StorageError if the disk is bad, std::runtime_error if the library refuses.
  Node(NodeSettings settings, Storage& storage, Transport& transport, std::uint64_t seed, Time now);
  ~Node();
  Node(const Node&) = delete;
  Node& operator=(const Node&) = delete;

  // Time goes on: to be called every kTick at least.
  void tick(Time now);
  void receive(Time now, VoterId from, const std::string& address, std::string_view bytes);
  // `done` comes later, or at once if this is not the leader.
  void propose(Time now, const std::vector<Command>& commands, std::vector<Done> done);
  // Changes of the voters, one at a time; what is refused says why.
  using VoterChangeDone = std::function<void(const std::string& error)>;
  void add_voter(Time now, VoterId id, const std::string& address, VoterChangeDone changed);
  void remove_voter(Time now, VoterId id, VoterChangeDone changed);

  // Has another voter begin an election as soon as it has the whole log, and win it: `to`, or whichever is
  // nearest to it if that is 0. Until it leads, for an election time at most, nothing is proposed here, and
  // clients are sent there. False: this is not the leader, or nothing is heard of such a voter; asking again
  // is harmless.
  bool transfer_leadership(Time now, VoterId to = 0);

  struct Status {
    bool leader = false;
    std::uint64_t term = 0;
    VoterId leader_id = 0;  // 0: none known
    std::string leader_address{};
    std::uint64_t last_index = 0, commit_index = 0, applied_index = 0;
    Voters voters{};
    bool voters_committed = false;  // false: their last change may yet be undone
  };
  Status status() const;
  bool leads() const;
  // The library's loss of the disk: it does nothing from then on.
  bool failed() const;
  // It failed for want of room. Once the disk takes writes again, restart_from_disk() goes on with what is on
  // it, as after a start of the process. Throws StorageError.
  bool failure_is_retryable() const;
  void restart_from_disk();
  // As applied here; another voter may be further.
  const State& state() const;
  // Called after every command that was applied here.
  void on_applied(std::function<void()> step);

  static constexpr Duration kTick = std::chrono::milliseconds(20);

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

// What the leader does by itself: sessions that were not renewed for their time to live are ended, and a
// duty that its chosen successor does not take up is free to all. Counted on this voter's steady clock from
// when it applied the last renewal, or became the leader.
class Expiry {
 public:
  // Commands to be proposed now.
  std::vector<Command> due(Time now, bool leads, const State& state);

  static constexpr Duration kReservationTimeout = std::chrono::milliseconds(1000);

 private:
  struct Observation {
    std::optional<std::uint64_t> count{};  // none: not looked at yet
    Time at{};
    Time proposed{};
  };
  static bool elapsed(Observation& observed, Time now, std::uint64_t count, Duration after);
  std::map<SessionId, Observation> sessions_;
  std::map<std::string, Observation> reserved_;  // by duty; the count is its token
  bool was_leader_ = false;
};

}  // namespace quartzarch::reg
