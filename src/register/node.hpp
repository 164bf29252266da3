// One voter: libraft running the register's state machine. No socket, clock or thread: messages, time and the
// disk are passed in, so that the same code runs in a process and in virtual time.
//
// Errors: any StorageError ends this voter's participation (failed()); it answers nothing more, and the
// process goes on without it.
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
  // The voters of a new register, given on its first start only (`quartzarch fleet init`); empty: the disk
  // holds a log, or this voter waits to be added.
  Voters initial_voters{};
  Duration election =
      std::chrono::milliseconds(500);  // election timeout: between this and twice this without a leader
  Duration heartbeat = std::chrono::milliseconds(100);
  unsigned snapshot_after = 4096;  // entries between two snapshots
  unsigned trailing = 1024;        // entries kept after a snapshot, for voters that lag
  Bounds bounds{};
  Defects defects{};
  bool forgets_vote = false;  // a defect that only tests switch on: votes are not stored
};

// Sends messages to other voters.
class Transport {
 public:
  virtual ~Transport() = default;
  // Messages may be lost, delayed or reordered, but never altered.
  virtual void send(VoterId to, const std::string& address, std::string bytes) = 0;
};

// Outcome of a proposed command.
enum class Outcome {
  done,        // applied; the reply is valid
  not_leader,  // not applied: ask the leader
  unknown,     // leadership was lost meanwhile: it may or may not have been applied
  failed,      // this voter has failed
};

class Node {
 public:
  using Done = std::function<void(Outcome, const Reply&)>;

  // Throws StorageError if the disk cannot be used, std::runtime_error if the library refuses.
  Node(NodeSettings settings, Storage& storage, Transport& transport, std::uint64_t seed, Time now);
  ~Node();
  Node(const Node&) = delete;
  Node& operator=(const Node&) = delete;

  // Advances time; to be called at least every kTick.
  void tick(Time now);
  void receive(Time now, VoterId from, const std::string& address, std::string_view bytes);
  // Calls each `done` once the command is applied, or at once if this is not the leader.
  void propose(Time now, const std::vector<Command>& commands, std::vector<Done> done);
  // Membership changes, one at a time; `error` is empty, or why the change was refused.
  using VoterChangeDone = std::function<void(const std::string& error)>;
  void add_voter(Time now, VoterId id, const std::string& address, VoterChangeDone changed);
  void remove_voter(Time now, VoterId id, VoterChangeDone changed);

  // Transfers leadership: has another voter start an election, and win it, as soon as it has the whole log:
  // `to`, or the most up-to-date one if that is 0. Until that voter leads, for an election timeout at most,
  // nothing is proposed here and clients are referred to it. Returns false if this is not the leader or has
  // no contact with such a voter; repeated calls are harmless.
  bool transfer_leadership(Time now, VoterId to = 0);

  struct Status {
    bool leader = false;
    std::uint64_t term = 0;
    VoterId leader_id = 0;  // 0: unknown
    std::string leader_address{};
    std::uint64_t last_index = 0, commit_index = 0, applied_index = 0;
    Voters voters{};
    bool voters_committed = false;  // false: their last change may still be undone
  };
  Status status() const;
  bool leads() const;
  // The disk failed: this voter does nothing from then on.
  bool failed() const;
  // True if it failed because the disk was full. Once the disk takes writes again, restart_from_disk()
  // continues from what is stored, as after a restart of the process. Throws StorageError.
  bool failure_is_retryable() const;
  void restart_from_disk();
  // The state as applied by this voter; another voter may be ahead.
  const State& state() const;
  // Sets a function that is called after every command applied here.
  void on_applied(std::function<void()> step);

  static constexpr Duration kTick = std::chrono::milliseconds(20);

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

// Proposals that the leader makes by itself: sessions that were not renewed for their time to live end, and a
// duty that its designated successor does not acquire becomes free to all. Measured on this voter's steady
// clock from when it applied the last renewal, or became the leader.
class Expiry {
 public:
  // Commands to be proposed now.
  std::vector<Command> due(Time now, bool leads, const State& state);

  static constexpr Duration kReservationTimeout = std::chrono::milliseconds(1000);

 private:
  // A counter, when its present value was first observed, and when its expiry was last proposed.
  struct Observation {
    std::optional<std::uint64_t> count{};  // none: not observed yet
    Time at{};
    Time proposed{};
  };
  static bool elapsed(Observation& observed, Time now, std::uint64_t count, Duration after);
  std::map<SessionId, Observation> sessions_;
  std::map<std::string, Observation> reserved_;  // by duty; the count is its token
  bool was_leader_ = false;
};

}  // namespace quartzarch::reg
