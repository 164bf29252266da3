// A voter's storage on SQLite, and its identity there.
//
// The file is written with synchronous=FULL in WAL mode, one transaction for each change: what a call of
// Storage has returned from outlives a kill and a loss of power. A file that is corrupt, or not of this
// program, is told at the opening (StorageError) and is never repaired by guessing: its voter joins as a new
// member.
#pragma once

#include <memory>

#include "register/storage.hpp"

struct sqlite3;

namespace quartzarch::reg {

class Disk : public Storage {
 public:
  // Opens `directory`/register.sqlite; the directory must be there. `vfs`: the name of a SQLite file layer,
  // for tests of failing disks; null: the usual one. Throws StorageError.
  explicit Disk(const std::string& directory, const char* vfs = nullptr);
  ~Disk() override;
  // After a failure: closed and opened reset, and written to once. Throws StorageError if it fails still.
  void reopen();
  Disk(const Disk&) = delete;
  Disk& operator=(const Disk&) = delete;

  // 0 until it was given one. Never changes.
  VoterId identity();
  void set_identity(VoterId id);
  // There is a log or a snapshot: this voter has been part of a register.
  bool used();

  Loaded load() override;
  void set_term(std::uint64_t term) override;
  void set_vote(VoterId vote) override;
  void append(std::uint64_t first_index, const std::vector<LogEntry>& entries) override;
  void truncate(std::uint64_t from_index) override;
  void put_snapshot(const Snapshot& snapshot, unsigned trailing) override;
  std::optional<Snapshot> get_snapshot() override;

 private:
  class Statement;
  class Transaction;

  void open();
  void run(const char* sql);
  Statement prepare(const char* sql);
  [[noreturn]] void fail(const char* what);
  std::uint64_t read_number(const char* name);
  void write_number(const char* name, std::uint64_t value);
  std::uint64_t last_index();

  std::string path_;
  const char* vfs_;
  sqlite3* db_ = nullptr;
};

}  // namespace quartzarch::reg
