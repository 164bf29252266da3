// The interface between the fronts (which talk to callers) and the service that sets up calls, in plain
// values: no wire format, no sockets.
#pragma once

#include <optional>
#include <string>

#include "quartzarch/controller.hpp"

namespace quartzarch {

// Release causes (Q.850 numbers), used in the protocols of callers and of setup servers alike.
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

// The protocol of the front that received a call.
enum class FrontProtocol : std::uint8_t { binary, sip };

// A request of a caller to set up a call.
struct Request {
  CallId call = 0;
  FrontProtocol protocol = FrontProtocol::binary;
  std::uint32_t caller = 0;   // IPv4 address of the remote end of the connection, in host order; 0: unknown
  std::string call_class{};   // name of the class in the settings
  std::string number{};       // the called number, as the caller wrote it
  std::string description{};  // the session description, passed on unchanged
  std::optional<Duration> caller_timeout{};  // counted from received_at; absent: the class's deadline
  Time received_at{};
  int first_choice = -1;  // number of the setup server that the request names first; -1: none
  int advised = -1;    // number of the server with most free capacity, as the request says ("via"); -1: none
  bool retry = false;  // marked by the caller as a retry
  bool cut = false;    // the call was established, was cut and is set up again
};

enum class Failure { error, timed_out };

// Receives the results of a front's calls. For each request exactly one of answer, refuse and fail is called,
// unless the front cancelled it; call_ended is called once for a call that was answered and that the front
// did not release.
class Front {
 public:
  virtual ~Front() = default;
  virtual void answer(CallId call, std::string description) = 0;
  virtual void refuse(CallId call, std::optional<Duration> retry_after) = 0;
  virtual void fail(CallId call, Failure why) = 0;
  virtual void call_ended(CallId call, int cause) = 0;
};

// Checks each call before it is dispatched and may reject it; implemented by the call gaps that operators
// announce.
class AdmissionFilter {
 public:
  virtual ~AdmissionFilter() = default;
  // Absent: the call is admitted. Else it is rejected, and the caller is to retry after this time.
  virtual std::optional<Duration> rejected_for(const Request& request, Time now) = 0;
  // The results of admitted calls.
  virtual void answered(const Request& request, Time now) = 0;
  virtual void refused(const Request& request, Time now) = 0;
};

// Sets up, cancels and releases calls for the fronts.
class CallService {
 public:
  virtual ~CallService() = default;
  // `front` receives the result and must outlive the call.
  virtual void request(Request request, Front& front) = 0;
  // The caller has stopped waiting; it gets no answer any more.
  virtual void cancel(CallId call) = 0;
  // The caller ends an established call.
  virtual void release(CallId call, int cause) = 0;
  // False for a call of which nothing is remembered here: its release goes to every setup server, since the
  // call may have been set up before this process started.
  virtual bool knows(CallId call) const = 0;
  // True once the list of setup servers is known.
  virtual bool ready() const = 0;
};

}  // namespace quartzarch
