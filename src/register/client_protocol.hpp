// The client's side of the register's protocol: which voter to ask, which commands are in flight, and watches
// without gaps. No socket and no clock; used by the process over connections and by the tests in virtual
// time.
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
  // No reply: no answer came in time, or leadership was lost meanwhile; the command may or may not have been
  // applied.
  using Done = std::function<void(const std::optional<Reply>&)>;
  // Changes in order; an item without a value was erased. `revision`: the changes are complete up to it.
  // `complete`: these are all the items there are, and any other reported before is gone.
  using OnChanges = std::function<void(Revision revision, const std::vector<Change>& changes, bool complete)>;

  struct Settings {
    std::vector<std::string> voters{};                        // names of the voters
    Duration reply_timeout = std::chrono::milliseconds(600);  // after which a command counts as unanswered
    // Delay before the next voter is tried after one that does not answer or knows no leader.
    Duration retry_delay = std::chrono::milliseconds(60);
  };

  ClientProtocol(Settings settings, std::uint64_t seed);

  void ask(Time now, Command command, Done done);
  // Reports everything under `prefix`, then each change; replaces an earlier watch of that prefix. Lists the
  // prefix again by itself where changes were missed.
  void watch(const std::string& prefix, OnChanges on_changes);

  // Frames to be sent to voter() now. The caller keeps one connection, to that voter, and reports its loss
  // with disconnected(); frames that were not sent are lost with it.
  std::vector<std::string> due(Time now);
  const std::string& voter() const { return settings_.voters[current_]; }
  void disconnected(Time now);
  // Handles a frame from the voter. Returns false if it is malformed.
  bool received(Time now, const link::LinkMessage& message);
  // The latest time at which due() has to be called again.
  Time next(Time now) const;

 private:
  struct PendingCommand {
    Command command{};
    Done done{};
    Time until{};
    bool sent = false;
    // Set when it was refused without being applied: it may be sent to another voter from then on.
    Time resend_at{};
  };
  enum class Step { list, listing, watch, watching };
  struct Watch {
    OnChanges on_changes{};
    Step step = Step::list;
    Revision known = 0;
    std::string after{};  // last key received of a list that comes in parts
    std::vector<Change> listed{};
    Revision listed_at = 0;
  };

  void switch_voter(Time now, const std::string& to);
  // Removes the command and calls its callback.
  void complete_command(std::uint64_t id, const std::optional<Reply>& reply);
  void list(Time now, const std::string& prefix, Watch& watch);

  Settings settings_;
  std::mt19937_64 random_;
  std::size_t current_ = 0;
  std::uint64_t last_id_ = 0;
  std::map<std::uint64_t, PendingCommand> pending_;
  std::map<std::string, Watch> watches_;
  Time connect_not_before_{};
  bool connection_useful_ = false;  // a reply or a change arrived on the present connection
};

}  // namespace quartzarch::reg
