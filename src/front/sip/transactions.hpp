// SIP transactions (RFC 3261, section 17, and the Accepted state of RFC 6026), over any transport.
//
// This side answers INVITEs and never sends one, so of the timers A to K those of an INVITE client (A, B, D)
// have no place here; C is a proxy's.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>

#include "front/sip/transport.hpp"

namespace quartzarch::sip {

struct Timers {
  Duration t1 = std::chrono::milliseconds(500);
  Duration t2 = std::chrono::milliseconds(4000);
  Duration t4 = std::chrono::milliseconds(5000);
  Duration transaction_timeout() const { return 64 * t1; }  // B, F, H, J, L
};

// A request as its responses and its dialog need it, copied out of the message.
struct RequestInfo {
  std::string method{}, uri{};
  std::string vias{};  // as header lines, the topmost completed with received and rport
  std::string from{}, to{}, call_id{}, cseq{}, record_routes{};
  unsigned long cseq_number = 0;
  Hop reply_to{};        // 18.2.2
  sockaddr_in source{};  // where it came from, whatever its Via says
};

class ServerTransaction {
 public:
  const std::string& key() const { return key_; }
  const RequestInfo& request() const { return request_; }
  bool is_invite() const { return request_.method == "INVITE"; }
  bool answered() const { return state_ != State::proceeding; }
  // Of the To of every response but 100.
  std::string to_tag{};
  // The user's own: what this transaction is about.
  std::uint64_t subject = 0;

 private:
  friend class Transactions;
  enum class State { proceeding, accepted, completed, confirmed };

  std::string key_{};
  RequestInfo request_{};
  State state_ = State::proceeding;
  std::string head_{}, body_{};  // the last response
  Duration interval_{};          // timer G
  std::optional<Loop::TimerId> resend_{}, end_{};
};

class Transactions {
 public:
  class User {
   public:
    virtual ~User() = default;
    // A new request, never a retransmission.
    virtual void on_request(const Message& message, ServerTransaction& transaction) = 0;
    // An ACK that belongs to no failure: of a 2xx.
    virtual void on_ack(const Message& message) = 0;
    // The INVITE was retransmitted after its 2xx.
    virtual void on_invite_retransmitted(ServerTransaction& transaction) = 0;
    virtual void on_terminated(ServerTransaction& transaction) = 0;
    // A request of ours got its final response; 408 if none came.
    virtual void on_response(std::uint64_t subject, int status) = 0;
  };

  Transactions(Loop& loop, Logger& log, Timers timers, User& user, std::size_t max_transactions)
      : loop_(loop), log_(log), timers_(timers), user_(user), max_transactions_(max_transactions) {}
  ~Transactions();

  void set_transport(Transport& transport) { transport_ = &transport; }
  void receive(const Message& message, const Hop& from);

  // `headers` are whole lines. A response after a final one is ignored.
  void respond(ServerTransaction& transaction, int status, const std::string& headers = {},
               const std::string& body = {});
  // The 2xx once more: its retransmission is the user's affair.
  void resend_response(const ServerTransaction& transaction);
  ServerTransaction* find(const std::string& key);
  // The INVITE that a CANCEL is about.
  ServerTransaction* cancelled_by(const ServerTransaction& cancel);

  // A request other than INVITE or ACK: `headers` are all but the Via.
  void request(const Hop& to, const std::string& method, const std::string& uri, const std::string& headers,
               std::uint64_t subject);
  std::size_t size() const { return servers_.size() + clients_.size(); }
  // Every request of ours has its final response.
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
  std::map<std::string, Client> clients_;
  std::uint64_t last_branch_ = 0;
};

const char* reason_phrase(int status);
std::string response_head(const RequestInfo& request, int status, const std::string& to_tag,
                          const std::string& headers, std::size_t body_size);

}  // namespace quartzarch::sip
