// A TCP connection on the loop: bytes in, segments out by gathered writes.
#pragma once

#include <netinet/in.h>

#include <array>
#include <deque>
#include <optional>
#include <string>
#include <string_view>

#include "net/fd.hpp"
#include "net/loop.hpp"

namespace quartzarch {

// What is written as one: a head of ours and a body that passes on unchanged. `tag` is the owner's.
struct Segment {
  std::string head{};
  std::string body{};
  std::uint64_t tag = 0;
};

// `no_socket`: this process had no socket for it, which tells nothing of the peer.
enum class DisconnectReason { closed, reset, refused, timed_out, no_socket };

class Stream : public IoHandler {
 public:
  class Owner {
   public:
    virtual ~Owner() = default;
    virtual void on_connected(Stream&) {}
    // Takes whole messages off the input; what is left comes again with more.
    virtual void on_data(Stream&) = 0;
    // Comes once, never for a close of the owner's own. The stream is unusable afterwards.
    virtual void on_disconnected(Stream&, DisconnectReason how) = 0;
  };

  // Takes over an accepted connection.
  Stream(Loop& loop, Fd fd, Owner& owner, Priority priority);
  // Connects; one that is not up after `timeout` is lost.
  Stream(Loop& loop, const sockaddr_in& to, Duration timeout, Owner& owner, Priority priority);
  ~Stream() override;

  // What may wait for the peer to take it; half of it and no more is read from the peer until it does.
  void limit_output(std::size_t bytes) { longest_output_ = bytes; }

  std::string_view input() const { return std::string_view(input_).substr(taken_); }
  void consume(std::size_t count) { taken_ += count; }

  void send(Segment segment);
  // Takes a segment back of which no byte was written; false if there is none with that tag.
  bool cancel_unsent(std::uint64_t tag);
  // Reads what has arrived by now, outside its turn: whoever closes a connection for want of use looks first.
  void read_now() {
    if (state_ == State::up) read();
  }
  // Segments not written in full.
  const std::deque<Segment>& unsent() const { return output_; }
  bool up() const { return state_ == State::up; }
  // It was up once: what is lost then was more than an attempt to connect.
  bool was_connected() const { return was_connected_; }
  bool alive() const { return state_ != State::dead; }
  Time last_used() const { return last_used_; }
  // When the peer took something last, or what it has not taken yet was queued.
  Time last_written() const { return last_written_; }
  // Writes what the socket takes at once, then closes.
  void close();
  // Writes what the socket takes at once and, if that is all, tells the peer that nothing more will come.
  // What the peer sends is read on, so that nothing unread resets the connection under what was written.
  void end_output();

  int descriptor() const override { return fd_.get(); }
  short interest() const override;
  void on_ready(short events) override;

 private:
  enum class State { connecting, up, dead };

  bool reads() const { return queued_ <= longest_output_ / 2; }
  void read();
  void flush();
  void flush_at_end();
  void fail(DisconnectReason how);
  void die();

  Loop& loop_;
  Owner& owner_;
  Fd fd_;
  State state_ = State::up;
  std::string input_;
  std::size_t taken_ = 0;
  std::deque<Segment> output_;
  std::size_t written_ = 0;  // of the first segment
  std::size_t queued_ = 0;
  std::size_t longest_output_ = 1024 * 1024;
  bool flush_due_ = false;
  bool was_connected_ = false;
  bool closing_ = false;  // by the owner, who hears nothing more
  std::optional<Loop::TimerId> connect_timer_;
  Time last_used_{};
  Time last_written_{};
  // Steps of the loop that outlive the stream find it gone by this.
  std::shared_ptr<bool> living_ = std::make_shared<bool>(true);
};

// A listening socket. Out of descriptors it rests for a moment: what is in line would wake the loop at once,
// again and again.
class Acceptor {
 public:
  Acceptor(Loop& loop, Fd fd) : loop_(loop), fd_(std::move(fd)) {}
  const Fd& fd() const { return fd_; }
  bool paused() const { return loop_.now() < paused_until_; }
  // A descriptor was given back.
  void resume() { paused_until_ = Time{}; }
  // The next connection in line, or none.
  Fd accept(sockaddr_in* peer = nullptr);
  // No more connections: what is in line must have been taken first, for what is left is reset.
  void close() { fd_.reset(); }

 private:
  Loop& loop_;
  Fd fd_;
  Time paused_until_{};
};

// An address as "10.0.0.4:5070"; nothing if it is none.
std::optional<sockaddr_in> parse_address(std::string_view text);
std::string address_text(const sockaddr_in& address);
// A listening TCP socket or a bound UDP one; throws std::system_error.
// `shared`: with SO_REUSEPORT, so that a process started beside this one on the same address listens too and
// the kernel spreads new connections over both (an upgrade); a socket bound there without it still keeps it
// out.
enum class PortSharing { exclusive, shared };
Fd listen_on(const sockaddr_in& address, PortSharing port_sharing = PortSharing::exclusive);
Fd bind_udp(const sockaddr_in& address);
// The address a socket is bound to: for one bound to port 0, the port it got.
sockaddr_in bound_address(const Fd& fd);

}  // namespace quartzarch
