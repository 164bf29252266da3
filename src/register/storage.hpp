// A voter's persistent state: term, vote, log, snapshot and identity. Implemented on SQLite, and in memory
// with injected faults by the tests.
#pragma once

#include <cstdint>
#include <optional>
#include <stdexcept>
#include <string>
#include <vector>

namespace quartzarch::reg {

// A voter's identity, created with its disk: a voter that lost its disk is unknown to the others and never
// votes under its old identity.
using VoterId = std::uint64_t;

struct Voter {
  VoterId id = 0;
  std::string address{};  // the voter's name; each process resolves it to an address of its own
  bool votes = true;      // it still receives the log before it gets its vote
};
using Voters = std::vector<Voter>;

struct LogEntry {
  std::uint64_t term = 0;
  std::uint16_t type = 0;  // as in the consensus library: command, barrier, change of voters
  std::string bytes{};
};

// The state machine's state up to `index`, with the voters at that point.
struct Snapshot {
  std::uint64_t index = 0, term = 0;
  Voters voters{};
  std::uint64_t voters_index = 0;
  std::string bytes{};
};

// The disk is full, failing, corrupt or of another program. A voter that meets it stops voting; no state is
// guessed.
struct StorageError : std::runtime_error {
  explicit StorageError(const std::string& what, bool retryable = false)
      : std::runtime_error(what), is_retryable(retryable) {}
  // The disk is full: what it holds is intact, and writing may be retried. Not set after a failed sync, since
  // data read back then need not be on the disk.
  bool is_retryable;
};

class Storage {
 public:
  struct Loaded {
    std::uint64_t term = 0;
    VoterId vote = 0;
    std::optional<Snapshot> snapshot{};
    std::uint64_t first_index = 1;  // of the first entry
    std::vector<LogEntry> entries{};
  };
  virtual ~Storage() = default;

  virtual Loaded load() = 0;
  // Each change is durable when the call returns. A call that throws StorageError may or may not have stored
  // it.
  virtual void set_term(std::uint64_t term) = 0;  // also clears the vote
  virtual void set_vote(VoterId vote) = 0;
  // Appends after the last entry; `first_index` is checked against it.
  virtual void append(std::uint64_t first_index, const std::vector<LogEntry>& entries) = 0;
  virtual void truncate(std::uint64_t from_index) = 0;
  // Drops the entries up to snapshot.index - trailing; with trailing 0, all entries.
  virtual void put_snapshot(const Snapshot& snapshot, unsigned trailing) = 0;
  virtual std::optional<Snapshot> get_snapshot() = 0;
};

}  // namespace quartzarch::reg
