// The register: the fleet's replicated state (sessions, duties and values) as a deterministic state machine.
// Every voter applies the same commands in the same order and reaches the same state; no I/O, no clock, no
// random numbers.
//
// It has no notion of time. A session ends by an `expire` command that the leader proposes when it has
// applied no renewal for the session's time to live by its own steady clock; the holder counts from before it
// sent that renewal, and so stops first (docs/duties.md has the argument).
#pragma once

#include <chrono>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace quartzarch::reg {

// Grows by one with every change of the register; never decreases, also across snapshots and leader changes.
using Revision = std::uint64_t;
// The fencing token of a holding: the revision at which it began. Writes made for a duty carry it, and their
// receiver refuses a token older than one it has seen.
using Token = Revision;
// The revision at which the session was opened.
using SessionId = Revision;

// Limits beyond which the register refuses commands. Sizes in bytes.
struct Bounds {
  std::size_t sessions = 2048;
  std::size_t duties = 512;
  std::size_t values = 8192;
  std::size_t key = 256;          // name of a duty, session or value
  std::size_t value = 48 * 1024;  // fits a frame of src/link together with its key
  std::size_t total = 8u << 20;   // keys and values together
  std::size_t history = 4096;     // number of recent changes kept for watchers
};

// These numbers are sent and stored: each keeps its meaning for ever.
enum class Op : std::uint8_t {
  open = 1,     // opens a session: name, number = incarnation, ttl
  renew = 2,    // session
  close = 3,    // session; an orderly end, its duties are free at once
  expire = 4,   // session, number = renewals the leader has applied; no effect if there was another since
  acquire = 5,  // session, name = duty
  release = 6,  // session, name = duty, number = token, value = the successor's name or empty
  expire_reservation = 7,  // name = duty, number = token; the successor did not acquire it in time
  put = 8,                 // name = key, value, expected, fence
  erase = 9,               // name = key, expected, fence
  read = 10,               // name = key
  list = 11,               // name = prefix, value = list keys after this one, number = maximum of items
  pause = 12,              // name = duty, number = 1 to pause, 0 to end it
  move = 13,               // name = duty, value = the controller that should hold it; empty: no request
};

// Makes a write conditional on a duty's present holding.
struct Fence {
  std::string duty{};
  Token token = 0;
};

// What is proposed to the register. Which members are used depends on `op`: register/commands.hpp has a
// function for each operation.
struct Command {
  Op op{};
  SessionId session = 0;
  // Sequence number, counted by the session's client from 1: a command that is repeated with the same number
  // is not applied again and gets the stored reply. 0: the command is idempotent.
  std::uint64_t sequence = 0;
  std::string name{};
  std::string value{};
  std::uint64_t number = 0;
  std::uint32_t ttl_ms = 0;
  std::optional<Revision> expected{};  // revision the value must have; 0: it must not exist
  std::optional<Fence> fence{};
};

// Result of a command. The numbers are sent and stored, too.
enum class Code : std::uint8_t {
  ok = 0,
  held = 1,        // another session holds the duty
  not_holder = 2,  // the session does not hold the duty under that token
  no_session = 3,
  changed = 4,  // the value does not have the expected revision
  fenced = 5,   // the token is not that of the duty's present holding
  full = 6,
  too_large = 7,
  malformed = 8,
  paused = 9,
  absent = 10,
  reserved = 11,  // the duty is reserved for a successor
};
const char* code_text(Code code);

// A key and its value.
struct Item {
  std::string key{};
  std::string value{};
  Revision revision = 0;  // of its last change
};

// The answer to a command.
struct Reply {
  Code code = Code::ok;
  Revision revision = 0;      // of the register, after the command
  Token token = 0;            // acquire: of the holding; open: the session's id
  std::string holder{};       // acquire: the holder's name, or the successor's if reserved
  std::vector<Item> items{};  // read, list
  bool more = false;          // list: there are further keys
};

// A change as reported to watchers. An item without a value was erased.
struct Change {
  Revision revision = 0;
  std::string key{};
  std::optional<std::string> value{};
};

// A duty: a task that at most one session holds at a time.
struct Duty {
  Token token = 0;            // of the present or the last holding; kept for ever, so that tokens only grow
  SessionId holder = 0;       // 0: free
  std::string holder_name{};  // of the present or the last holder
  std::string reserved{};     // the successor that it was handed over to and that has not acquired it yet
  std::string requested_holder{};  // the controller that an operator requested; empty: none
  bool paused = false;
};

// A client's session, which ends unless it is renewed within its time to live.
struct Session {
  std::string name{};
  std::uint64_t incarnation = 0;  // of the process; a later start has a higher one
  std::uint32_t ttl_ms = 0;
  std::uint64_t renewals = 0;
  std::uint64_t sequence = 0;  // of the last command with a sequence number
  Reply last{};                // the reply to that command
};

// Defects that only tests switch on, to show that their checkers detect them.
struct Defects {
  bool no_fence = false;           // a write is accepted whatever its token
  bool drops_free_duties = false;  // snapshots omit duties without a holder, and with them their tokens
  bool repeated_open_not_renewed = false;  // opening a session that exists does not count as a renewal
  bool reads_locally = false;  // a read is answered from the local state of any voter, without consensus
};

// The state machine itself.
class State {
 public:
  explicit State(Bounds bounds = {}, Defects defects = {}) : bounds_(bounds), defects_(defects) {}

  Reply apply(const Command& command);

  Revision revision() const { return revision_; }
  const std::map<SessionId, Session>& sessions() const { return sessions_; }
  const std::map<std::string, Duty>& duties() const { return duties_; }

  // Changes after `since` of keys that begin with `prefix`, oldest first; nothing if some of them are no
  // longer kept. The watcher then lists the prefix again and continues from the list's revision.
  std::optional<std::vector<Change>> changes(Revision since, std::string_view prefix) const;

  // Serializes and restores the whole state. restore() throws std::runtime_error if the bytes are not a valid
  // snapshot.
  std::string snapshot() const;
  void restore(std::string_view bytes);

 private:
  Reply open(const Command& c);
  Reply acquire(const Command& c);
  Reply release(const Command& c);
  Reply write(const Command& c);
  Reply read(const Command& c) const;
  Reply list(const Command& c) const;
  Reply change_duty(const Command& c);
  Reply apply_in_session(const Command& c);
  void end_session(SessionId id);
  bool fence_valid(const Fence& fence) const;
  Reply answer(Code code) const { return {code, revision_, 0, {}, {}, false}; }
  std::optional<std::string> duty_value(std::string_view key) const;
  void record_change(std::string key, std::optional<std::string> value);
  void record_duty_change(const std::string& name, const Duty& duty);

  Bounds bounds_;
  Defects defects_;
  Revision revision_ = 0;
  std::map<SessionId, Session> sessions_;
  std::map<std::string, Duty> duties_;
  std::map<std::string, Item, std::less<>> values_;
  std::size_t bytes_ = 0;  // total size of keys and values
  std::deque<Change> history_;
  Revision last_dropped_ = 0;  // revision of the last change removed from history_
};

// Prefixes of the keys under which watches and lists show duties and sessions.
inline constexpr std::string_view kDutyPrefix = "duty/";  // duty/NAME: see duty_text()
inline constexpr std::string_view kSessionPrefix =
    "session/";  // session/NAME/INCARNATION; lists show the session's id

// A duty as the value that watches and lists show, and back.
std::string duty_text(const Duty& duty);
Duty parse_duty(std::string_view text);

// Encoding of commands (in the log and on the wire) and replies as frames of src/link. Decoding returns
// nothing if the bytes are not a valid frame.
std::string encode(const Command& command);
std::optional<Command> decode_command(std::string_view bytes);
std::string encode(const Reply& reply);
std::optional<Reply> decode_reply(std::string_view bytes);

}  // namespace quartzarch::reg
