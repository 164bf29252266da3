// What fronts and the core tell each other, in plain values: no wire, no socket.
#pragma once

#include <optional>
#include <string>

#include "quartzarch/controller.hpp"

namespace quartzarch {

// Causes of a release (Q.850's numbers), as both wires use them.
namespace cause {
inline constexpr int kNormal = 16;
inline constexpr int kBusy = 17;
inline constexpr int kNoAnswer = 18;
inline constexpr int kNoCircuit = 34;
inline constexpr int kTemporary = 41;
inline constexpr int kCongestion = 42;
inline constexpr int kUnavailable = 47;
inline constexpr int kTimer = 102;
}  // namespace cause

// By which front a call came.
enum class FrontProtocol : std::uint8_t { binary, sip };

struct Request {
  CallId call = 0;
  FrontProtocol protocol = FrontProtocol::binary;
  std::uint32_t caller = 0;   // IPv4 address of the connection's other end, in host order; 0: unknown
  std::string call_class{};   // its name in the settings
  std::string number{};       // the number called, as the caller wrote it
  std::string description{};  // passed on unchanged
  std::optional<Duration> caller_timeout{};  // from when the caller sent it; absent: the class's deadline
  Time received_at{};
  int first_choice = -1;
  int advised = -1;
  bool retry = false;
  bool cut = false;  // it stood, was cut and comes again
};

enum class Failure { error, timed_out };

// What a front hears of its calls. Of answer, refuse and fail exactly one comes for each request, unless it
// was withdrawn; over comes once for a call that was answered and was not released by the front.
class Front {
 public:
  virtual ~Front() = default;
  virtual void answer(CallId call, std::string description) = 0;
  virtual void refuse(CallId call, std::optional<Duration> retry_after) = 0;
  virtual void fail(CallId call, Failure why) = 0;
  virtual void call_ended(CallId call, int cause) = 0;
};

// What stands before the decisions and may turn a call away: gaps that were announced, for one.
class AdmissionFilter {
 public:
  virtual ~AdmissionFilter() = default;
  // Nothing: it may go on. Else for how long the caller is to stay away.
  virtual std::optional<Duration> rejected_for(const Request& request, Time now) = 0;
  // What became of one that went on.
  virtual void answered(const Request& request, Time now) = 0;
  virtual void refused(const Request& request, Time now) = 0;
};

// What fronts ask for.
class CallService {
 public:
  virtual ~CallService() = default;
  // The front must outlive the call.
  virtual void request(Request request, Front& front) = 0;
  // The caller has stopped waiting; nothing is owed any more.
  virtual void cancel(CallId call) = 0;
  // The caller ends a call that stands.
  virtual void release(CallId call, int cause) = 0;
  // The list of servers is known.
  virtual bool ready() const = 0;
};

}  // namespace quartzarch
