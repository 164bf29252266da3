// The register: what the controllers of a fleet agree on, as a state machine. Every voter applies the same
// commands in the same order and has the same state; no I/O, no clock, no random numbers.
//
// It knows no time. A session ends by an `expire` that the leader proposes when it has heard no renewal for
// the session's time to live by its own steady clock, counted from when it applied the last one; the holder
// counts from before it sent that renewal, and so ends first (docs/duties.md has the argument).
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

// Grows by one with every change of the register; never goes back, also over snapshots and new leaders.
using Revision = std::uint64_t;
// The fencing token of a holding: the revision at which it began. What is written for a duty carries it, and
// whoever receives the write refuses a token older than one it has seen.
using Token = Revision;
// The revision at which the session was opened.
using SessionId = Revision;

// Where a full register refuses. Sizes in bytes.
struct Bounds {
  std::size_t sessions = 2048;
  std::size_t duties = 512;
  std::size_t values = 8192;
  std::size_t key = 256;          // a duty's, a session's or a value's name
  std::size_t value = 48 * 1024;  // fits a frame of the link with its key
  std::size_t total = 8u << 20;   // keys and values together
  std::size_t history = 4096;     // changes kept for watchers
};

// Values of these names are sent and stored: a number keeps its meaning for ever.
enum class Op : std::uint8_t {
  open = 1,     // a session: name, number = incarnation, ttl
  renew = 2,    // session
  close = 3,    // session, in order: its duties are free at once
  expire = 4,   // session, number = the renewals the leader has seen: nothing if there was another since
  acquire = 5,  // session, name = duty
  release = 6,  // session, name = duty, number = token, value = the successor's name or empty
  expire_reservation = 7,  // name = duty, number = token: the successor did not come
  put = 8,                 // name = key, value, expected, fence
  erase = 9,               // name = key, expected, fence
  read = 10,               // name = key
  list = 11,               // name = prefix, value = after this key, number = at most
  pause = 12,              // name = duty, number = 1 to pause, 0 to end it
  move = 13,  // name = duty, value = the controller that should have it; empty: nobody in particular
};

struct Fence {
  std::string duty{};
  Token token = 0;
};

struct Command {
  Op op{};
  SessionId session = 0;
  // Counted by the session's client from 1: a command that comes again is not applied again, and gets the
  // answer that it got. 0: harmless if it comes twice.
  std::uint64_t sequence = 0;
  std::string name{};
  std::string value{};
  std::uint64_t number = 0;
  std::uint32_t ttl_ms = 0;
  std::optional<Revision> expected{};  // of the value: 0 means that there must be none
  std::optional<Fence> fence{};
};

enum class Code : std::uint8_t {
  ok = 0,
  held = 1,        // the duty is somebody else's
  not_holder = 2,  // that holding is over
  no_session = 3,
  changed = 4,  // the value is not at the expected revision
  fenced = 5,   // the token is not that of the duty's present holding
  full = 6,
  too_large = 7,
  malformed = 8,
  paused = 9,
  absent = 10,
  reserved = 11,  // the duty waits for a successor
};
const char* code_text(Code code);

struct Item {
  std::string key{};
  std::string value{};
  Revision revision = 0;  // of its last change
};

struct Reply {
  Code code = Code::ok;
  Revision revision = 0;      // of the register, after the command
  Token token = 0;            // acquire: of the holding; open: the session
  std::string holder{};       // acquire: who has it, by name
  std::vector<Item> items{};  // read, list
  bool more = false;          // list: there are further keys
};

// What watchers are told. An item without a value was erased.
struct Change {
  Revision revision = 0;
  std::string key{};
  std::optional<std::string> value{};
};

struct Duty {
  Token token = 0;                 // of the present or the last holding; kept for ever
  SessionId holder = 0;            // 0: free
  std::string holder_name{};       // also of the last one
  std::string reserved{};          // handed on to this controller, which has not taken it up yet
  std::string requested_holder{};  // an operator's wish where it should be
  bool paused = false;
};

struct Session {
  std::string name{};
  std::uint64_t incarnation = 0;  // of the process: a later start has a higher one
  std::uint32_t ttl_ms = 0;
  std::uint64_t renewals = 0;
  std::uint64_t sequence = 0;  // of the last command that was counted
  Reply last{};                // and what it was answered
};

// Defects that only tests switch on, to show that their checkers find them.
struct Defects {
  bool no_fence = false;                   // a write is taken whatever its token
  bool drops_free_duties = false;          // a snapshot leaves out duties that nobody holds
  bool repeated_open_not_renewed = false;  // a session asked for twice ends as if asked for once
  bool reads_locally = false;              // a read is answered by whichever voter is asked, as it knows it
};

class State {
 public:
  explicit State(Bounds bounds = {}, Defects defects = {}) : bounds_(bounds), defects_(defects) {}

  Reply apply(const Command& command);

  Revision revision() const { return revision_; }
  const std::map<SessionId, Session>& sessions() const { return sessions_; }
  const std::map<std::string, Duty>& duties() const { return duties_; }

  // Changes after `since` of keys that begin with `prefix`, oldest first, or nothing if some of them are not
  // kept any more: the watcher lists the prefix again and goes on from the list's revision.
  std::optional<std::vector<Change>> changes(Revision since, std::string_view prefix) const;

  // The whole state as bytes, and back. Restoring throws std::runtime_error if the bytes are no snapshot.
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
  std::size_t bytes_ = 0;  // of keys and values
  std::deque<Change> history_;
  Revision last_dropped_ = 0;  // the last change that is not kept
};

// Keys has_prefix which watchers and lists see what is no plain value.
inline constexpr std::string_view kDutyPrefix = "duty/";        // duty/NAME: token, holder's name, flags
inline constexpr std::string_view kSessionPrefix = "session/";  // session/NAME/INCARNATION

// A duty as watchers see it.
std::string duty_text(const Duty& duty);
Duty parse_duty(std::string_view text);

// The bytes of a command in the log and on the wire, and of a reply: frames of src/link. Nothing if they are
// none.
std::string encode(const Command& command);
std::optional<Command> decode_command(std::string_view bytes);
std::string encode(const Reply& reply);
std::optional<Reply> decode_reply(std::string_view bytes);

}  // namespace quartzarch::reg
