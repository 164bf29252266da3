// A stand-in setup server on loopback: the platform's JSON lines, and a processor with one line that works
// set-ups, answers and releases off in turn. It has a thread of its own.
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
    sockaddr_in listen{};  // port 0: any
    Duration set_up_work = std::chrono::milliseconds(2);
    Duration release_work = std::chrono::microseconds(200);
    Duration holding = std::chrono::seconds(3);        // after which a call ends by itself; 0: never
    Duration longest_queue = std::chrono::seconds(2);  // a set-up that would wait longer is turned away: full
    double error_share = 0;                            // of sound set-ups that get 'error' at once
    std::uint64_t seed = 1;
  };
  struct Counts {
    std::atomic<std::uint64_t> offers{}, stood{}, errors{}, full{}, given_up{}, ended{};
    std::atomic<std::uint64_t> doubled{};  // offers of a call that is here already: must stay 0
    std::atomic<std::int64_t> longest_wait_us{};
  };

  explicit SetupServer(const Options& options);
  ~SetupServer() override;

  sockaddr_in address() const { return bound_address(acceptor_.fd()); }
  const Counts& counts() const { return counts_; }

 private:
  struct Call {
    std::weak_ptr<Stream> stream{};
    bool stands = false;
    Loop::TimerId next = 0;
  };

  int descriptor() const override { return acceptor_.fd().get(); }
  short interest() const override { return POLLIN; }
  void on_ready(short) override;
  void on_data(Stream& stream) override;
  void on_disconnected(Stream& stream, DisconnectReason) override;

  void take(Stream& stream, std::string_view line);
  void offer(Stream& stream, const std::string& call);
  void say(Stream& stream, const std::string& op, const std::string& call, const std::string& rest);
  std::string load() const;
  // When a piece of work that is queued now will be done.
  Time work(Duration how_long);

  Options options_;
  Loop loop_;
  Acceptor acceptor_;
  std::map<Stream*, std::shared_ptr<Stream>> streams_{};
  std::map<std::string, Call> calls_{};
  Time free_at_{};
  std::mt19937_64 random_;
  Counts counts_{};
  std::jthread thread_;  // last: ends before what it uses
};

}  // namespace quartzarch::standin
