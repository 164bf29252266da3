// A simulated setup server for tests and benchmarks. It listens on a loopback address, speaks the platform's
// protocol of one JSON object per line, and models a processor with a single first-in-first-out queue of
// set-ups and releases. It runs on its own thread.
#pragma once

#include <netinet/in.h>

#include <atomic>
#include <deque>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <thread>

#include "net/stream.hpp"

namespace quartzarch::standin {

class SetupServer : private IoHandler, private Stream::Owner {
 public:
  struct Options {
    sockaddr_in listen{};  // port 0: the system chooses a free port
    // Processing time of a set-up, and of a release or a rejection because of a full queue.
    Duration setup_work = std::chrono::milliseconds(2);
    Duration release_work = std::chrono::microseconds(200);
    // Time from the acceptance of a call until the server ends it; 0: the server never ends a call.
    Duration call_duration = std::chrono::seconds(3);
    // A set-up that would wait longer than this in the queue is rejected with cause 'full'.
    Duration max_queue_wait = std::chrono::seconds(2);
    double error_share = 0;  // share of well-formed set-ups that are rejected at once with cause 'error'
    std::uint64_t seed = 1;
  };
  // Totals since the start; read by other threads while the server runs.
  struct Counts {
    std::atomic<std::uint64_t> offers{}, accepted{}, errors{}, rejected_full{}, abandoned{}, ended{};
    // Offers of a call that this server already has: must stay 0.
    std::atomic<std::uint64_t> duplicate_offers{};
    std::atomic<std::int64_t> max_queue_wait_us{};
  };

  explicit SetupServer(const Options& options);
  ~SetupServer() override;

  sockaddr_in address() const { return bound_address(acceptor_.fd()); }
  const Counts& counts() const { return counts_; }

 private:
  struct Call {
    std::weak_ptr<Stream> stream{};
    bool established = false;
    Loop::TimerId timer = 0;  // of the next step: acceptance, then the end of the call
  };

  int descriptor() const override { return acceptor_.fd().get(); }
  short interest() const override { return POLLIN; }
  void on_ready(short) override;
  void on_data(Stream& stream) override;
  void on_disconnected(Stream& stream, DisconnectReason) override;

  void handle_message(Stream& stream, std::string_view line);
  void offer(Stream& stream, const std::string& call);
  void send_message(Stream& stream, const std::string& op, const std::string& call, const std::string& rest);
  std::string load_report() const;
  // Adds a job of this length to the processor's queue and returns the time at which it will be finished.
  Time enqueue_work(Duration duration);

  Options options_;
  Loop loop_;
  Acceptor acceptor_;
  std::map<Stream*, std::shared_ptr<Stream>> streams_{};
  std::map<std::string, Call> calls_{};
  Time busy_until_{};
  std::mt19937_64 random_;
  Counts counts_{};
  std::jthread thread_;  // declared last, so that it is joined before the members it uses are destroyed
};

}  // namespace quartzarch::standin
