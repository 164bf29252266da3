// SIP transactions (RFC 3261, section 17, and the Accepted state of RFC 6026), over any transport.
//
// This side answers INVITEs and never sends one, so the timers of an INVITE client transaction (A, B and D)
// do not occur; timer C is for proxies only.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>

#include "front/sip/transport.hpp"

namespace quartzarch::sip {

// The timer values of RFC 3261, section 17.
struct Timers {
  Duration t1 = std::chrono::milliseconds(500);
  Duration t2 = std::chrono::milliseconds(4000);
  Duration t4 = std::chrono::milliseconds(5000);
  Duration transaction_timeout() const { return 64 * t1; }  // timers F, H, J and L
};

// The parts of a request that its responses and its dialog need, copied from the message.
struct RequestInfo {
  std::string method{}, uri{};
  std::string vias{};  // as header lines; the topmost with the received and rport parameters (RFC 3581)
  std::string from{}, to{}, call_id{}, cseq{}, record_routes{};
  unsigned long cseq_number = 0;
  Hop reply_to{};        // destination of the responses (section 18.2.2)
  sockaddr_in source{};  // remote address, independent of the Via
};

// A received request and its last response. An INVITE that got a 2xx is in the Accepted state.
class ServerTransaction {
 public:
  const std::string& key() const { return key_; }
  const RequestInfo& request() const { return request_; }
  // That sent the request.
  const PeerKey& peer() const { return peer_; }
  bool is_invite() const { return request_.method == "INVITE"; }
  bool answered() const { return state_ != State::proceeding; }
  // The tag in the To header of every response except 100.
  std::string to_tag{};
  // Set and read by the transaction user only: the id of the call that the transaction belongs to.
  std::uint64_t subject = 0;

 private:
  friend class Transactions;
  enum class State { proceeding, accepted, completed, confirmed };

  std::string key_{};
  PeerKey peer_{};
  RequestInfo request_{};
  State state_ = State::proceeding;
  std::string head_{}, body_{};  // the last response
  Duration interval_{};          // timer G
  std::optional<Loop::TimerId> resend_{}, end_{};
};

// All server and client transactions of one front.
class Transactions {
 public:
  // The transaction user (TU) of RFC 3261.
  class User {
   public:
    virtual ~User() = default;
    // False if a new INVITE is to be rejected without a transaction, because the peer has too many open.
    virtual bool admits_invite(const Message& message, const Hop& from) = 0;
    // A new request, never a retransmission.
    virtual void on_request(const Message& message, ServerTransaction& transaction) = 0;
    // An ACK for a 2xx; an ACK for a failure response is handled by its transaction.
    virtual void on_ack(const Message& message) = 0;
    // An INVITE was retransmitted after its 2xx.
    virtual void on_invite_retransmitted(ServerTransaction& transaction) = 0;
    // The transaction has ended and is no longer known.
    virtual void on_terminated(ServerTransaction& transaction) = 0;
    // A request sent with request() got its final response; 408 if none came in time.
    virtual void on_response(std::uint64_t subject, int status) = 0;
  };

  Transactions(Loop& loop, Logger& log, Timers timers, User& user, std::size_t max_transactions)
      : loop_(loop), log_(log), timers_(timers), user_(user), max_transactions_(max_transactions) {}
  ~Transactions();

  void set_transport(Transport& transport) { transport_ = &transport; }
  void receive(const Message& message, const Hop& from);

  // `headers` are complete lines with their line breaks. A response after a final one is ignored.
  void respond(ServerTransaction& transaction, int status, const std::string& headers = {},
               const std::string& body = {});
  // Sends the last response again. The transaction user retransmits a 2xx itself (section 13.3.1.4).
  void resend_response(const ServerTransaction& transaction);
  ServerTransaction* find(const std::string& key);
  // The INVITE transaction that a CANCEL refers to (section 9.2).
  ServerTransaction* cancelled_by(const ServerTransaction& cancel);

  // Sends a request other than INVITE or ACK. `headers`: complete lines, without Via, Max-Forwards and
  // Content-Length; `subject` is handed to on_response.
  void request(const Hop& to, const std::string& method, const std::string& uri, const std::string& headers,
               std::uint64_t subject);
  std::size_t size() const { return servers_.size() + clients_.size(); }
  // True if every request sent with request() has its final response.
  bool clients_done() const;

 private:
  struct Client {
    Hop to{};
    std::string head{};
    std::uint64_t subject = 0;
    bool proceeding = false;
    bool completed = false;
    Duration interval{};  // timer E
    std::optional<Loop::TimerId> resend{}, end{};
  };

  void receive_request(const Message& message, const Hop& from);
  void receive_response(const Message& message);
  void receive_ack(const Message& message, const std::string& key);
  // Whether there is room for a further transaction of this peer.
  bool has_room(const PeerKey& peer) const;
  void respond_stateless(const RequestInfo& request, int status);
  void send(const ServerTransaction& transaction);
  void resend_failure_response(const std::string& key);
  void resend_request(const std::string& branch);
  void end_after(ServerTransaction& transaction, Duration time);
  void terminate(const std::string& key);
  void finish_client(const std::string& branch, int status);

  Loop& loop_;
  Logger& log_;
  Timers timers_;
  User& user_;
  std::size_t max_transactions_;
  Transport* transport_ = nullptr;
  std::map<std::string, ServerTransaction> servers_;
  std::map<PeerKey, std::size_t> transactions_of_;  // server transactions of each peer
  std::map<std::string, Client> clients_;
  std::uint64_t last_branch_ = 0;
};

// The reason phrase of a response's status line.
const char* reason_phrase(int status);
std::string response_head(const RequestInfo& request, int status, const std::string& to_tag,
                          const std::string& headers, std::size_t body_size);

}  // namespace quartzarch::sip
