// A voter's storage and identity in a SQLite file.
//
// The file is written with synchronous=FULL in WAL mode, one transaction for each change: a change survives a
// kill and a power loss once the call of Storage has returned. A file that is corrupt, or not of this
// program, is reported when it is opened (StorageError) and never repaired by guessing: with a new file its
// voter joins as a new member.
#pragma once

#include <memory>

#include "register/storage.hpp"

struct sqlite3;

namespace quartzarch::reg {

class Disk : public Storage {
 public:
  // Opens `directory`/register.sqlite; the directory must exist. `vfs`: name of a SQLite VFS, for tests of
  // failing disks; null: the default. Throws StorageError.
  explicit Disk(const std::string& directory, const char* vfs = nullptr);
  ~Disk() override;
  // After a failure: closes and reopens the file and writes to it once. Throws StorageError if it still
  // fails.
  void reopen();
  Disk(const Disk&) = delete;
  Disk& operator=(const Disk&) = delete;

  // 0 until set; never changes afterwards.
  VoterId identity();
  void set_identity(VoterId id);
  // True if there is a log or a snapshot: this voter has been part of a register.
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
