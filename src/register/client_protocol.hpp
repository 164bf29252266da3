// A client's side of the register: which voter to ask, what is on its way, and watches without a gap. No
// socket and no clock; used by the process over connections and by the tests in virtual time.
#pragma once

#include <functional>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "quartzarch/controller.hpp"
#include "register/frames.hpp"
#include "register/state.hpp"

namespace quartzarch::reg {

class ClientProtocol {
 public:
  // No reply: nobody answered in time, or leadership was lost on the way; it may have been done or not.
  using Done = std::function<void(const std::optional<Reply>&)>;
  // Changes in order; an item without a value is gone. `revision`: up to which is on_changes. `complete`:
  // these are all there are, and what else was on_changes before is gone.
  using OnChanges = std::function<void(Revision revision, const std::vector<Change>& changes, bool complete)>;

  struct Settings {
    std::vector<std::string> voters{};                        // their addresses
    Duration reply_timeout = std::chrono::milliseconds(600);  // for an answer
    // A voter that does not answer, or knows no leader, is left for the next after this.
    Duration retry_delay = std::chrono::milliseconds(60);
  };

  ClientProtocol(Settings settings, std::uint64_t seed);

  void ask(Time now, Command command, Done done);
  // Everything under `prefix` as it is, then each change, in the place of an earlier watch of that prefix;
  // begins anew by itself where a gap would be.
  void watch(const std::string& prefix, OnChanges on_changes);

  // Frames to be sent to `voter()` now. Whoever sends them keeps one connection, to that voter, and says when
  // it is lost; frames that were not sent are lost with it.
  std::vector<std::string> due(Time now);
  const std::string& voter() const { return settings_.voters[current_]; }
  void disconnected(Time now);
  // False if it is nothing that a voter may say.
  bool received(Time now, const link::LinkMessage& message);
  // When due() has something to do, at the latest.
  Time next(Time now) const;

 private:
  struct PendingCommand {
    Command command{};
    Done done{};
    Time until{};
    bool sent = false;
    // Refused without having been done: it may be pending at another voter.
    Time resend_at{};
  };
  enum class Step { list, listing, watch, watching };
  struct Watch {
    OnChanges on_changes{};
    Step step = Step::list;
    Revision known = 0;
    std::string after{};  // of a list in parts
    std::vector<Change> listed{};
    Revision listed_at = 0;
  };

  void switch_voter(Time now, const std::string& to);
  void complete_command(std::uint64_t id, const std::optional<Reply>& reply);
  void list(Time now, const std::string& prefix, Watch& watch);

  Settings settings_;
  std::mt19937_64 random_;
  std::size_t current_ = 0;
  std::uint64_t last_id_ = 0;
  std::map<std::uint64_t, PendingCommand> pending_;
  std::map<std::string, Watch> watches_;
  Time connect_not_before_{};
  bool connection_useful_ = false;  // the present connection: something was done or on_changes on it
};

}  // namespace quartzarch::reg
