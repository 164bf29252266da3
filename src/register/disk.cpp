#include "register/disk.hpp"

#include <sqlite3.h>

#include <algorithm>
#include <utility>

#include "register/wire.hpp"

namespace quartzarch::reg {
namespace {

constexpr int kFormatVersion = 1;

std::int64_t signed_of(std::uint64_t value) { return static_cast<std::int64_t>(value); }
std::uint64_t unsigned_of(std::int64_t value) { return static_cast<std::uint64_t>(value); }

}  // namespace

class Disk::Statement {
 public:
  Statement(Disk& disk, const char* sql) : disk_(disk) {
    if (sqlite3_prepare_v2(disk.db_, sql, -1, &statement_, nullptr) != SQLITE_OK) disk.fail(sql);
  }
  ~Statement() { sqlite3_finalize(statement_); }
  Statement(const Statement&) = delete;
  Statement& operator=(const Statement&) = delete;

  Statement& bind(std::uint64_t value) {
    sqlite3_bind_int64(statement_, ++bound_, signed_of(value));
    return *this;
  }
  Statement& bind(const std::string& bytes) {
    sqlite3_bind_blob64(statement_, ++bound_, bytes.data(), bytes.size(), SQLITE_TRANSIENT);
    return *this;
  }
  Statement& bind(const char* text) {
    sqlite3_bind_text(statement_, ++bound_, text, -1, SQLITE_STATIC);
    return *this;
  }
  // Returns true while there is a row.
  bool step() {
    const int result = sqlite3_step(statement_);
    if (result != SQLITE_ROW && result != SQLITE_DONE) disk_.fail("step");
    return result == SQLITE_ROW;
  }
  void reset() {
    sqlite3_reset(statement_);
    bound_ = 0;
  }
  std::uint64_t number(int column) const { return unsigned_of(sqlite3_column_int64(statement_, column)); }
  std::string bytes(int column) const {
    const auto* const data = static_cast<const char*>(sqlite3_column_blob(statement_, column));
    const auto size = static_cast<std::size_t>(sqlite3_column_bytes(statement_, column));
    return data ? std::string(data, size) : std::string{};
  }

 private:
  Disk& disk_;
  sqlite3_stmt* statement_ = nullptr;
  int bound_ = 0;
};

class Disk::Transaction {
 public:
  explicit Transaction(Disk& disk) : disk_(disk) { disk.run("BEGIN IMMEDIATE"); }
  ~Transaction() {
    if (!done_) sqlite3_exec(disk_.db_, "ROLLBACK", nullptr, nullptr, nullptr);
  }
  Transaction(const Transaction&) = delete;
  Transaction& operator=(const Transaction&) = delete;
  void commit() {
    disk_.run("COMMIT");
    done_ = true;
  }

 private:
  Disk& disk_;
  bool done_ = false;
};

Disk::Disk(const std::string& directory, const char* vfs) : path_(directory + "/register.sqlite"), vfs_(vfs) {
  open();
}

void Disk::open() {
  const int flags = SQLITE_OPEN_READWRITE | SQLITE_OPEN_CREATE | SQLITE_OPEN_NOMUTEX;
  try {
    if (sqlite3_open_v2(path_.c_str(), &db_, flags, vfs_) != SQLITE_OK) fail("open");
    run("PRAGMA locking_mode=EXCLUSIVE");  // two processes on one file would be one voter that votes twice
    run("PRAGMA journal_mode=WAL");
    run("PRAGMA synchronous=FULL");
    {
      Statement check(*this, "PRAGMA quick_check(1)");
      if (!check.step() || check.bytes(0) != "ok") throw StorageError(path_ + ": the file is corrupt");
    }
    Transaction all(*this);
    run("CREATE TABLE IF NOT EXISTS figures (name TEXT PRIMARY KEY, value INTEGER NOT NULL)");
    run("CREATE TABLE IF NOT EXISTS log (at INTEGER PRIMARY KEY, term INTEGER NOT NULL, type INTEGER NOT "
        "NULL, "
        "bytes BLOB NOT NULL)");
    run("CREATE TABLE IF NOT EXISTS snapshot (one INTEGER PRIMARY KEY CHECK (one = 1), at INTEGER NOT NULL, "
        "term INTEGER NOT NULL, voters_at INTEGER NOT NULL, voters BLOB NOT NULL, bytes BLOB NOT NULL)");
    if (read_number("format") == 0) write_number("format", kFormatVersion);
    if (read_number("format") != kFormatVersion) throw StorageError(path_ + ": unsupported format version");
    all.commit();
  } catch (...) {
    sqlite3_close(std::exchange(db_, nullptr));
    throw;
  }
}

void Disk::reopen() {
  sqlite3_close(std::exchange(db_, nullptr));
  open();
  Transaction all(*this);
  write_number("reopened", read_number("reopened") + 1);
  all.commit();
}

Disk::~Disk() { sqlite3_close(db_); }

void Disk::fail(const char* what) {
  const int code = db_ ? sqlite3_extended_errcode(db_) : SQLITE_NOMEM;
  throw StorageError(path_ + ": " + what + ": " + (db_ ? sqlite3_errmsg(db_) : "out of memory"),
                     code == SQLITE_FULL || code == SQLITE_IOERR_WRITE);
}

void Disk::run(const char* sql) {
  if (sqlite3_exec(db_, sql, nullptr, nullptr, nullptr) != SQLITE_OK) fail(sql);
}

std::uint64_t Disk::read_number(const char* name) {
  Statement get(*this, "SELECT value FROM figures WHERE name = ?");
  get.bind(name);
  return get.step() ? get.number(0) : 0;
}

void Disk::write_number(const char* name, std::uint64_t value) {
  Statement set(*this, "INSERT OR REPLACE INTO figures (name, value) VALUES (?, ?)");
  set.bind(name).bind(value).step();
}

VoterId Disk::identity() { return read_number("identity"); }

void Disk::set_identity(VoterId id) {
  if (identity() != 0) throw StorageError(path_ + ": already has an identity");
  write_number("identity", id);
}

bool Disk::used() { return last_index() > 0; }

std::uint64_t Disk::last_index() {
  Statement last(
      *this, "SELECT max(coalesce((SELECT max(at) FROM log), 0), coalesce((SELECT at FROM snapshot), 0))");
  return last.step() ? last.number(0) : 0;
}

Storage::Loaded Disk::load() {
  Loaded loaded;
  loaded.term = read_number("term");
  loaded.vote = read_number("vote");
  loaded.snapshot = get_snapshot();
  Statement entries(*this, "SELECT at, term, type, bytes FROM log ORDER BY at");
  loaded.first_index = loaded.snapshot ? loaded.snapshot->index + 1 : 1;
  for (std::uint64_t next = 0; entries.step(); ++next) {
    if (next == 0) loaded.first_index = next = entries.number(0);
    if (entries.number(0) != next) throw StorageError(path_ + ": the log has a gap");
    loaded.entries.push_back(
        {entries.number(1), static_cast<std::uint16_t>(entries.number(2)), entries.bytes(3)});
  }
  const std::uint64_t covered = loaded.snapshot ? loaded.snapshot->index : 0;
  if (loaded.first_index > covered + 1)
    throw StorageError(path_ + ": entries are missing between the snapshot and the log");
  return loaded;
}

// Term and vote change together: a vote of an earlier term must not count in a later one.
void Disk::set_term(std::uint64_t term) {
  Transaction both(*this);
  write_number("term", term);
  write_number("vote", 0);
  both.commit();
}

void Disk::set_vote(VoterId vote) { write_number("vote", vote); }

void Disk::append(std::uint64_t first_index, const std::vector<LogEntry>& entries) {
  Transaction all(*this);
  if (first_index != last_index() + 1) throw StorageError(path_ + ": an entry does not follow the last one");
  Statement add(*this, "INSERT INTO log (at, term, type, bytes) VALUES (?, ?, ?, ?)");
  for (const LogEntry& entry : entries) {
    add.bind(first_index++).bind(entry.term).bind(std::uint64_t{entry.type}).bind(entry.bytes).step();
    add.reset();
  }
  all.commit();
}

void Disk::truncate(std::uint64_t from_index) {
  Statement cut(*this, "DELETE FROM log WHERE at >= ?");
  cut.bind(from_index).step();
}

void Disk::put_snapshot(const Snapshot& snapshot, unsigned trailing) {
  wire::Message voters;
  voters.voters = snapshot.voters;
  Transaction all(*this);
  Statement put(*this,
                "INSERT OR REPLACE INTO snapshot (one, at, term, voters_at, voters, bytes) "
                "VALUES (1, ?, ?, ?, ?, ?)");
  put.bind(snapshot.index).bind(snapshot.term).bind(snapshot.voters_index);
  put.bind(wire::encode(voters)).bind(snapshot.bytes).step();
  const std::uint64_t kept_from =
      trailing == 0 ? UINT64_MAX >> 1
                    : snapshot.index - std::min<std::uint64_t>(snapshot.index, trailing) + 1;
  Statement drop(*this, "DELETE FROM log WHERE at < ?");
  drop.bind(kept_from).step();
  all.commit();
}

std::optional<Snapshot> Disk::get_snapshot() {
  Statement get(*this, "SELECT at, term, voters_at, voters, bytes FROM snapshot");
  if (!get.step()) return std::nullopt;
  const auto voters = wire::decode(get.bytes(3));
  if (!voters) throw StorageError(path_ + ": the snapshot's voters cannot be read");
  return Snapshot{get.number(0), get.number(1), voters->voters, get.number(2), get.bytes(4)};
}

}  // namespace quartzarch::reg
