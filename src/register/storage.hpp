// What a voter keeps over its process: term, vote, log and snapshot, and who it is. Implemented on SQLite,
// and in memory with faults by the tests.
#pragma once

#include <cstdint>
#include <optional>
#include <stdexcept>
#include <string>
#include <vector>

namespace quartzarch::reg {

// A voter's identity: made anew with its disk, so that one that lost its disk is a stranger to the others and
// never votes again as who it was.
using VoterId = std::uint64_t;

struct Voter {
  VoterId id = 0;
  std::string address{};  // "10.0.0.1:7301"
  bool votes = true;      // false: it is being brought up to date first
};
using Voters = std::vector<Voter>;

struct LogEntry {
  std::uint64_t term = 0;
  std::uint16_t type = 0;  // the consensus library's: command, barrier, change of voters
  std::string bytes{};
};

struct Snapshot {
  std::uint64_t index = 0, term = 0;
  Voters voters{};
  std::uint64_t voters_index = 0;
  std::string bytes{};
};

// The disk is full, failing, torn or another's. A voter that meets it stops voting; nothing is guessed.
struct StorageError : std::runtime_error {
  explicit StorageError(const std::string& what, bool retryable = false)
      : std::runtime_error(what), is_retryable(retryable) {}
  // There is no room: what is on the disk is sound, and it may be tried again. Not after a sync that failed:
  // what is read back then need not be on the disk.
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
  // Each is on the disk when it returns; throws StorageError, and then it may or may not be there.
  virtual void set_term(std::uint64_t term) = 0;  // the vote is nobody's then
  virtual void set_vote(VoterId vote) = 0;
  // Follows the last entry; first_index tells where, for a check.
  virtual void append(std::uint64_t first_index, const std::vector<LogEntry>& entries) = 0;
  virtual void truncate(std::uint64_t from_index) = 0;
  // Entries up to snapshot.index - trailing are dropped; trailing 0: all of them.
  virtual void put_snapshot(const Snapshot& snapshot, unsigned trailing) = 0;
  virtual std::optional<Snapshot> get_snapshot() = 0;
};

}  // namespace quartzarch::reg
