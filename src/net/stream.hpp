// A non-blocking TCP connection on the event loop: input is buffered, output is queued in segments and
// written with writev. Also the listening socket (Acceptor) and helpers for IPv4 addresses.
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

// A message to be written: a head built by this process and a body that is passed on unchanged. `tag` is
// chosen by the owner.
struct Segment {
  std::string head{};
  std::string body{};
  std::uint64_t tag = 0;
};

// Why a connection ended or was not established. `no_socket`: this process could not get a socket for it,
// which says nothing about the peer.
enum class DisconnectReason { closed, reset, refused, timed_out, no_socket };

// A connection. Its owner gets the callbacks.
class Stream : public IoHandler {
 public:
  class Owner {
   public:
    virtual ~Owner() = default;
    virtual void on_connected(Stream&) {}
    // Input has arrived: consumes the complete messages of input(); the rest is offered again with more
    // input.
    virtual void on_data(Stream&) = 0;
    // Called at most once, and never after the owner's own close(). The stream is unusable afterwards.
    virtual void on_disconnected(Stream&, DisconnectReason reason) = 0;
  };

  // Takes over an accepted connection.
  Stream(Loop& loop, Fd fd, Owner& owner, Priority priority);
  // Connects; a connection that is not up after `timeout` is reported as timed_out.
  Stream(Loop& loop, const sockaddr_in& to, Duration timeout, Owner& owner, Priority priority);
  ~Stream() override;

  // Bounds the memory of the output queued for the peer: beyond `bytes` the connection is dropped, and beyond
  // half of it nothing is read from the peer until it has taken some.
  void limit_output(std::size_t bytes) { max_output_bytes_ = bytes; }

  // Lets the connection read ahead: as long as a read brings more than is handled in a pass, the owner gets
  // none of it and the next pass reads on, up to kMaxReadAheadBytes and within the loop's budget. If the peer
  // turns out to have ended the connection, the owner gets that input with peer_ended() set.
  void read_ahead() { reads_ahead_ = true; }

  // Lets the owner get what the peer has left when it ended the connection over several passes, each a pass's
  // worth, and hear of the end after that. Else it gets all of it at once.
  void slice_rest() { slices_rest_ = true; }

  // Input for the owner, in on_data(); more of it may follow in later passes.
  std::string_view input() const { return std::string_view(input_).substr(consumed_, offered_); }
  void consume(std::size_t count) {
    consumed_ += count;
    offered_ -= count;
  }
  // The peer has ended the connection: what it still sent is input, and no answer reaches it.
  bool peer_ended() const { return peer_ended_; }
  // Output is below half of its bound. Else an owner that reads ahead leaves the rest of its input, which is
  // offered again when the peer has taken some output.
  bool accepts_input() const { return queued_bytes_ <= max_output_bytes_ / 2; }
  // Neither reads nor hands on input until then, unless the peer ends the connection.
  void pause_input(Time until);
  bool input_paused() const { return pause_timer_.has_value(); }

  void send(Segment segment);
  // Removes a queued segment of which no byte was written; false if there is none with that tag.
  bool cancel_unsent(std::uint64_t tag);
  // Reads what has arrived by now without waiting for poll: an owner calls it before it closes the connection
  // as idle.
  void read_now() {
    if (state_ == State::up) read();
  }
  // Queued segments, including one that is partly written.
  const std::deque<Segment>& unsent() const { return output_; }
  bool up() const { return state_ == State::up; }
  // The connection was established once, so its end is not a failed attempt to connect.
  bool was_connected() const { return was_connected_; }
  bool alive() const { return state_ != State::dead; }
  Time last_used() const { return last_used_; }
  // When bytes were last written to the socket, or when the first of those still unwritten were queued.
  Time last_written() const { return last_written_; }
  // Writes what the socket accepts without blocking, then closes.
  void close();
  // Writes what the socket accepts without blocking and shuts down the sending side for good; reading
  // continues until the peer ends the connection. Returns the segments that were not written completely.
  std::deque<Segment> stop_sending();
  // Writes what the socket accepts without blocking and, if that is everything, shuts down the sending side.
  // Reading continues: unread input would make the kernel reset the connection and discard what was written.
  void end_output();

  int descriptor() const override { return fd_.get(); }
  short interest() const override;
  void on_ready(short events) override;

 private:
  enum class State { connecting, up, dead };

  bool wants_input() const;
  // Input that the owner has not consumed.
  std::size_t pending_input() const { return input_.size() - consumed_; }
  bool may_read_ahead() const;
  void read();
  // Reads up to `most` bytes; returns why the connection has ended, if it has.
  std::optional<DisconnectReason> receive(std::size_t most);
  // Gives the owner a pass's worth of input, or all of it.
  void deliver();
  void deliver_all();
  void deliver_rest();
  void offer_input(std::size_t count);
  void deliver_in_next_pass();
  void release_consumed();
  void grow_input_buffer(std::size_t count);
  void flush();
  void flush_at_pass_end();
  void fail(DisconnectReason reason);
  void discard();

  Loop& loop_;
  Owner& owner_;
  Fd fd_;
  State state_ = State::up;
  std::string input_;
  std::size_t consumed_ = 0;
  std::size_t offered_ = 0;         // bytes of input() behind the consumed ones
  std::size_t budgeted_bytes_ = 0;  // counted in the loop's budget for reading ahead
  bool reads_ahead_ = false;
  bool input_is_new_ = false;      // the owner has not been called since some was read
  bool socket_drained_ = true;     // as of the last read
  bool read_much_ = false;         // the last read brought more than is handled in a pass
  bool waits_for_output_ = false;  // input is left until the peer takes output
  bool peer_ended_ = false;
  bool slices_rest_ = false;
  bool rest_scheduled_ = false;                 // deliver_rest() goes on in the next pass
  std::optional<DisconnectReason> rest_end_{};  // why the connection has ended, reported behind the rest
  bool delivery_scheduled_ = false;
  std::optional<Loop::TimerId> pause_timer_{};
  std::deque<Segment> output_;
  std::size_t front_bytes_written_ = 0;  // of the first segment of output_
  std::size_t queued_bytes_ = 0;
  std::size_t max_output_bytes_ = 1024 * 1024;
  bool flush_scheduled_ = false;
  bool was_connected_ = false;
  bool closing_ = false;  // by the owner, which gets no more callbacks
  bool sending_stopped_ = false;
  std::optional<Loop::TimerId> connect_timer_;
  Time last_used_{};
  Time last_written_{};
  // Deferred callbacks that outlive the stream hold a weak reference to this and so detect that it is gone.
  std::shared_ptr<bool> alive_token_ = std::make_shared<bool>(true);
};

// A listening socket. When the process is out of descriptors accepting is paused for a moment, since a
// connection in the listen backlog would otherwise wake the loop continuously.
class Acceptor {
 public:
  Acceptor(Loop& loop, Fd fd) : loop_(loop), fd_(std::move(fd)) {}
  const Fd& fd() const { return fd_; }
  bool paused() const { return loop_.now() < paused_until_; }
  // Ends the pause: a descriptor has become free.
  void resume() { paused_until_ = Time{}; }
  // Accepts the next connection of the listen backlog; an empty Fd if there is none.
  Fd accept(sockaddr_in* peer = nullptr);
  // Stops listening. Connections must have been accepted first: the kernel resets those left in the backlog.
  void close() { fd_.reset(); }

 private:
  Loop& loop_;
  Fd fd_;
  Time paused_until_{};
};

// Parses an address such as "10.0.0.4:5070"; nullopt if it is malformed.
std::optional<sockaddr_in> parse_address(std::string_view text);
std::string address_text(const sockaddr_in& address);
// A listening TCP socket or a bound UDP one; throws std::system_error.
// `shared`: with SO_REUSEPORT, so that a second process started on the same address (an upgrade) can listen
// too and the kernel distributes new connections over both; it fails if a socket without the option is bound
// there.
enum class PortSharing { exclusive, shared };
Fd listen_on(const sockaddr_in& address, PortSharing port_sharing = PortSharing::exclusive);
Fd bind_udp(const sockaddr_in& address);
// The address a socket is bound to; for port 0, with the port that the kernel assigned.
sockaddr_in bound_address(const Fd& fd);

}  // namespace quartzarch
