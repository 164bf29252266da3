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

class Access {
 public:
  // No reply: nobody answered in time, or leadership was lost on the way; it may have been done or not.
  using Done = std::function<void(const std::optional<Reply>&)>;
  // Changes in order; an item without a value is gone. `revision`: up to which is told. `whole`: these are
  // all there are, and what else was told before is gone.
  using Told = std::function<void(Revision revision, const std::vector<Change>& changes, bool whole)>;

  struct Settings {
    std::vector<std::string> voters{};                   // their addresses
    Duration patience = std::chrono::milliseconds(600);  // for an answer
    // A voter that does not answer, or knows no leader, is left for the next after this.
    Duration pause = std::chrono::milliseconds(60);
  };

  Access(Settings settings, std::uint64_t seed);

  void ask(Time now, Command command, Done done);
  // Everything under `prefix` as it is, then each change, in the place of an earlier watch of that prefix;
  // begins anew by itself where a gap would be.
  void watch(const std::string& prefix, Told told);

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
  struct Asked {
    Command command{};
    Done done{};
    Time until{};
    bool sent = false;
    // Refused without having been done: it may be asked at another voter.
    Time again_at{};
  };
  enum class Step { list, listing, watch, watching };
  struct Watch {
    Told told{};
    Step step = Step::list;
    Revision known = 0;
    std::string after{};  // of a list in parts
    std::vector<Change> listed{};
    Revision listed_at = 0;
  };

  void move_on(Time now, const std::string& to);
  void finish(std::uint64_t id, const std::optional<Reply>& reply);
  void list(Time now, const std::string& prefix, Watch& watch);

  Settings settings_;
  std::mt19937_64 random_;
  std::size_t current_ = 0;
  std::uint64_t last_id_ = 0;
  std::map<std::uint64_t, Asked> asked_;
  std::map<std::string, Watch> watches_;
  Time quiet_until_{};
  bool of_use_ = false;  // the present connection: something was done or told on it
};

}  // namespace quartzarch::reg
