// The server side: a few connections to each setup server, JSON lines, and what is out on each.
#pragma once

#include <array>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "core/attempt.hpp"
#include "core/calls.hpp"
#include "log.hpp"
#include "net/server_lines.hpp"
#include "net/stream.hpp"

namespace quartzarch {

// A set-up as a setup server gets it.
struct Offer {
  CallId call = 0;
  std::string call_class{};
  std::string number{};
  std::string description{};
  Time until{};          // when this side stops waiting
  unsigned attempt = 0;  // its number among the attempts of the call
};

// Whether a set-up of the call that a message names is out at the server, and on which connection.
struct MessageOrigin {
  bool set_up_is_out = false;
  Connection connection = Connection::other;
};

// What a server's message meant for the set-up that is out.
enum class SetUpOutcome {
  open,         // nothing: it is still out
  settled,      // it is not waited for any more
  established,  // settled, and the call stands
};

// How a set-up was lost: with a connection that broke before it left whole, or after (it may have run), or
// for want of any connection.
enum class Break { unsent, sent, unreachable };

class Servers : private Stream::Owner {
 public:
  class Owner {
   public:
    virtual ~Owner() = default;
    // An answer, refusal or release.
    virtual SetUpOutcome told_of_call(const ServerId& server, ServerLine line, MessageOrigin origin) = 0;
    // The set-up of an attempt was lost on the way.
    virtual void broke(const ServerId& server, CallId call, unsigned attempt, Break how) = 0;
    virtual void told(const ServerId& server, const LoadReport& report) = 0;
    // Its process is gone, and with it every call there.
    virtual void died(const ServerId& server) = 0;
    // Calls that stand there and whose end could not be heard any more: the connections that would bring it
    // are silent and no new one comes up.
    virtual void cut_off(const ServerId& server, const std::vector<CallId>& calls) = 0;
  };

  Servers(Loop& loop, Logger& log, Owner& owner, Duration connect_timeout)
      : loop_(loop), log_(log), owner_(owner), connect_timeout_(connect_timeout) {
    watch();
  }
  ~Servers() override;

  // False for a set-up at which a setup server would close the connection, with all that is out on it: no id,
  // text that is no UTF-8, or a line longer than a message may be.
  static bool can_carry(const Offer& offer);

  // Keeps connections open to the server, so that its news arrives.
  void keep(const ServerId& server);
  // Closes them: whatever runs there now, it is not what was known.
  void drop(const ServerId& server);

  void offer(const ServerId& server, Offer offer);
  // Gives a set-up up, or releases a call that stands. Of a set-up that has not begun to leave nothing does.
  void end(const ServerId& server, CallId call, int cause);
  // Whether a set-up had not begun to leave; it does not any more.
  bool take_back(const ServerId& server, CallId call);
  // A call that stood there is over: its end is not awaited any more.
  void call_over(const ServerId& server, CallId call);
  // No release waits to be written.
  bool idle() const;
  // Releases a call that may stand anywhere.
  void end_everywhere(CallId call, int cause);
  // A connection was lost and none is up since: the process there may be gone.
  bool unreachable(const ServerId& server) const {
    const auto found = links_.find(server);
    return found != links_.end() && found->second.broken;
  }

 private:
  static constexpr std::size_t kLanes = 4;  // a server tells its state on at most so many

  struct Waiting {
    bool is_offer = false;
    Offer offer{};
    int cause = 0;
  };
  // A set-up that was written and is not settled.
  struct SetUp {
    unsigned attempt = 0;
    Time sent{};
  };
  // One connection. What breaks it takes only the set-ups on it along, so a server has a few.
  struct Lane {
    std::shared_ptr<Stream> stream{};
    std::map<CallId, SetUp> out{};
    std::set<CallId> standing{};                   // calls that were answered on it and are not over
    std::deque<std::pair<Time, Waiting>> ended{};  // releases written a short while ago
    Time heard{};                                  // the last whole line
    std::optional<Time> given_up{};   // since then: when a set-up was sent that was overtaken and given up
    std::optional<Time> cut_short{};  // since when a line has been waiting for its rest
    Duration backoff{};               // before the next try
    std::optional<Loop::TimerId> retry{};

    bool up() const { return stream && stream->up(); }
    // When the first set-up was sent on it that it has brought nothing since.
    std::optional<Time> owes() const;
  };
  struct Link {
    ServerId server{};
    Time answered_to{};           // when the latest of the set-ups that were answered had been sent
    std::set<CallId> standing{};  // calls that stand there and whose connection is gone
    Time opened{};         // the last connection that came up: on it what was over by then is said again
    Time tested{};         // the last connection made because another was silent
    bool doubted = false;  // since the last one came up one did not
    std::array<Lane, kLanes> lanes{};
    std::vector<Waiting> waiting{};  // until a connection is up
    bool kept = false;
    bool broken = false;  // a connection was lost and none is up since; the process may be gone
    std::optional<Loop::TimerId> refresh{};  // a new connection is due: see lose()
  };
  struct Place {
    Link* link = nullptr;
    Lane* lane = nullptr;
  };

  void on_connected(Stream& stream) override;
  void on_data(Stream& stream) override;
  void on_disconnected(Stream& stream, DisconnectReason how) override;

  Link& link(const ServerId& server);
  Place place_of(const Stream& stream);
  Lane* best_lane(Link& link);
  Lane* lane_after_release(Link& link, CallId call);
  bool doubtful(const Lane& lane) const;
  void settle(const ServerId& server, CallId call);
  void connect(Link& link);
  void connect(Link& link, Lane& lane);
  void reconnect_after_backoff(Link& link, Lane& lane);
  void connect_after(Link& link, Lane& lane, Duration backoff);
  void write(Link& link, Lane& lane, const Waiting& what);
  void handle(const Place& at, ServerLine line);
  void lose(Stream& stream, const char* why);
  void refresh_soon(Link& link);
  void close_lane(Link& link, Lane& lane);
  void watch();
  bool test_is_due(const Link& link) const;
  std::vector<CallId> silent_for(const Link& link, Duration silence) const;
  Time latest_sign_for_all(const Link& link) const;
  void look_for_life(Link& link);
  Lane* lane_for_test(Link& link);

  Loop& loop_;
  Logger& log_;
  Owner& owner_;
  Duration connect_timeout_;
  std::map<ServerId, Link> links_;
  std::optional<Loop::TimerId> watch_timer_{};
};

std::string server_text(const ServerId& server);

}  // namespace quartzarch
