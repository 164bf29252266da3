// The server side: one connection to each setup server, JSON lines, and what is out on it.
#pragma once

#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

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
  Time until{};  // when this side stops waiting
};

class Servers : private Stream::Owner {
 public:
  class Owner {
   public:
    virtual ~Owner() = default;
    virtual void stood(const ServerId& server, ServerLine line) = 0;
    // A refusal of a set-up or the release of a call.
    virtual void released(const ServerId& server, const ServerLine& line) = 0;
    // A set-up was lost with its connection; without `arrived` it never left.
    virtual void broke(const ServerId& server, CallId call, bool arrived) = 0;
    virtual void told(const ServerId& server, const LoadReport& report) = 0;
    // Its process is gone, and with it every call there.
    virtual void died(const ServerId& server) = 0;
  };

  Servers(Loop& loop, Logger& log, Owner& owner, Duration connect_timeout)
      : loop_(loop), log_(log), owner_(owner), connect_timeout_(connect_timeout) {}
  ~Servers() override;

  // False for a set-up at which a setup server would close the connection, with all that is out on it: no id,
  // text that is no UTF-8, or a line longer than a message may be.
  static bool can_carry(const Offer& offer);

  // Keeps a connection open to the server, so that its news arrives.
  void keep(const ServerId& server);
  // Closes it: whatever runs there now, it is not what was known.
  void drop(const ServerId& server);

  void offer(const ServerId& server, Offer offer);
  // Gives a set-up up, or releases a call that stands.
  void end(const ServerId& server, CallId call, int cause);
  // Releases a call that may stand anywhere.
  void end_everywhere(CallId call, int cause);

 private:
  struct Waiting {
    bool is_offer = false;
    Offer offer{};
    int cause = 0;
  };
  struct Link {
    ServerId server{};
    std::shared_ptr<Stream> stream{};
    std::set<CallId> out{};          // set-ups written and not answered
    std::vector<Waiting> waiting{};  // until the connection is up
    bool kept = false;
    bool broken = false;  // the last connection was lost; the process may be gone
    Duration pause{};     // before the next try
    std::optional<Loop::TimerId> retry{};
  };

  void connected(Stream& stream) override;
  void arrived(Stream& stream) override;
  void lost(Stream& stream, Lost how) override;

  Link& link(const ServerId& server);
  Link* of(const Stream& stream);
  void connect(Link& link);
  void try_again(Link& link);
  void write(Link& link, const Waiting& what);
  void handle(Link& link, ServerLine line);
  void close_link(Link& link);

  Loop& loop_;
  Logger& log_;
  Owner& owner_;
  Duration connect_timeout_;
  std::map<ServerId, Link> links_;
};

std::string server_text(const ServerId& server);

}  // namespace quartzarch
