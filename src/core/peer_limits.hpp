// What one peer can make this process do for it: the bounds that the fronts and the link share. The table of
// all of them is in docs/capacity.md.
//
// Pure decision logic: no I/O, no clock.
#pragma once

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <utility>

#include "quartzarch/controller.hpp"

namespace quartzarch {

// Set-ups of one peer that may be open (without an answer) at once.
inline constexpr std::size_t kMaxOpenSetUps = 400;
// The same for a peer that goes on sending set-ups far beyond its limit.
inline constexpr std::size_t kMinOpenSetUps = 32;
// How long a peer is told to stay away whose set-up is refused for this limit.
inline constexpr Duration kRetryAfterAtMaxOpenSetUps = std::chrono::seconds(1);
// Releases of calls that are not known here, of one caller's connection: each goes to every setup server.
inline constexpr double kUnknownReleasesPerSecond = 500;
inline constexpr double kUnknownReleaseBurst = 500;
// A link carries the releases of many callers.
inline constexpr double kLinkReleaseFactor = 4;
// A peer with more of them is not read from for this long.
inline constexpr Duration kUnknownReleasePause = std::chrono::milliseconds(20);

// SIP datagrams of one peer over UDP that are handled; others are dropped.
inline constexpr double kDatagramsPerSecond = 4000;
inline constexpr double kDatagramBurst = 400;

// Limits the open set-ups of one peer. A peer that is refused for the limit and yet sends set-ups at a high
// rate gets a smaller one: its set-ups would delay those of all other peers for as long as it goes on.
class OpenSetUpLimit {
 public:
  // False if a further set-up is to be refused while `open` are open.
  bool admits(std::size_t open, Time now) {
    if (now - interval_begun_at_ >= kInterval) begin_interval(now);
    if (open < limit_) return true;
    ++refused_;
    return false;
  }
  std::size_t limit() const { return limit_; }

 private:
  static constexpr Duration kInterval = std::chrono::milliseconds(50);
  // In an interval. No gateway that heeds the time to stay away comes near it.
  static constexpr std::size_t kFloodRefusals = 50;
  // After this long without a flood the limit is doubled.
  static constexpr Duration kRecoveryTime = std::chrono::milliseconds(500);

  void begin_interval(Time now) {
    interval_begun_at_ = now;
    if (std::exchange(refused_, 0) >= kFloodRefusals) {
      limit_ = std::max(limit_ / 2, kMinOpenSetUps);
      changed_at_ = now;
    } else if (now - changed_at_ >= kRecoveryTime) {
      limit_ = std::min(limit_ * 2, kMaxOpenSetUps);
      changed_at_ = now;
    }
  }

  std::size_t limit_ = kMaxOpenSetUps;
  std::size_t refused_ = 0;  // in this interval
  Time interval_begun_at_{};
  Time changed_at_{};
};

// Admits `rate` events a second on average, and up to `burst` at once.
class TokenBucket {
 public:
  TokenBucket(double rate, double burst) : rate_(rate), burst_(burst), tokens_(burst) {}

  // False if there is no token left.
  bool take(Time now) {
    const double seconds = std::chrono::duration<double>(now - filled_at_).count();
    tokens_ = std::min(burst_, tokens_ + rate_ * std::max(seconds, 0.0));
    filled_at_ = now;
    if (tokens_ < 1) return false;
    tokens_ -= 1;
    return true;
  }

 private:
  double rate_, burst_, tokens_;
  Time filled_at_{};
};

// When a peer's release is handled: now, after a pause, or not at all.
enum class ReleaseTurn { now, later, never };

// Paces the releases of one peer for calls that are not known here.
class UnknownReleasePace {
 public:
  // `factor`: how many callers' connections the peer stands for.
  explicit UnknownReleasePace(double factor = 1)
      : bucket_(kUnknownReleasesPerSecond * factor, kUnknownReleaseBurst * factor) {}

  // `peer_ended`: the peer has closed its connection, so that nothing of it is read later.
  ReleaseTurn turn(bool call_known, bool peer_ended, Time now) {
    if (call_known || bucket_.take(now)) return ReleaseTurn::now;
    return peer_ended ? ReleaseTurn::never : ReleaseTurn::later;
  }

 private:
  TokenBucket bucket_;
};

}  // namespace quartzarch
