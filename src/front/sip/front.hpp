// The SIP front: passes the INVITEs of gateways to the core as requests and keeps the dialogs of established
// calls.
#pragma once

#include <map>
#include <random>
#include <unordered_map>

#include "core/calls.hpp"
#include "core/peer_limits.hpp"
#include "front/sip/transactions.hpp"

namespace quartzarch::sip {

struct FrontConfig {
  ListenConfig listening{};
  std::string default_class{};  // class of an INVITE without X-Call-Class
  Timers timers{};
  std::size_t max_connections = 256;
  std::size_t max_transactions = 20000;
};

// A SIP user agent server (RFC 3261). Release causes of the core become the Reason header of a BYE.
class SipFront : public Front, private Transactions::User {
 public:
  // Throws std::runtime_error if an address cannot be listened on or the certificate is bad.
  SipFront(Loop& loop, Logger& log, CallService& core, FrontConfig config, std::uint64_t seed);
  ~SipFront() override;

  sockaddr_in address(TransportKind kind) const { return transport_.local(kind); }
  // Ends every established call with a BYE, because dialogs do not survive the process. idle() is true once
  // all of these have a final response or have timed out.
  void end_all_calls();
  bool idle() const { return transactions_.clients_done() && transport_.flushed(); }
  std::size_t dialogs() const { return dialogs_.size(); }

  void answer(CallId call, std::string description) override;
  void refuse(CallId call, std::optional<Duration> retry_after) override;
  void fail(CallId call, Failure why) override;
  void call_ended(CallId call, int cause) override;

 private:
  // A call, from its INVITE on; a dialog in the sense of RFC 3261 once it is answered.
  struct Dialog {
    CallId call = 0;
    std::string invite_key{};                  // key of the INVITE's transaction
    std::string merge_key{};                   // equal for copies of the INVITE that came by other paths
    std::string id{};                          // Call-ID and both tags
    std::string local{}, remote{}, call_id{};  // To and From of the INVITE's responses
    std::string target{};                      // the peer's Contact
    std::string routes{};                      // as Route header lines
    std::string first_hop{};                   // the URI that requests to the peer are sent to
    Hop invite_hop{};                          // where the INVITE came from
    PeerKey peer{};                            // that sent it
    unsigned long invite_cseq = 0, remote_cseq = 0, local_cseq = 0;
    bool answered = false;
    bool acknowledged = false;
    std::optional<int> end_cause{};  // set when the core has ended the call; the BYE is sent after the ACK
    Duration resend_interval{};
    std::optional<Loop::TimerId> resend_timer{}, ack_timer{};
  };

  // The INVITEs of one peer that have no final response.
  struct OpenInvites {
    std::size_t count = 0;
    OpenSetUpLimit limit{};
  };

  bool admits_invite(const Message& message, const Hop& from) override;
  void on_request(const Message& message, ServerTransaction& transaction) override;
  void on_ack(const Message& message) override;
  void on_invite_retransmitted(ServerTransaction& transaction) override;
  void on_terminated(ServerTransaction& transaction) override;
  void on_response(std::uint64_t subject, int status) override;

  bool acceptable(const Message& message, ServerTransaction& transaction);
  void handle_invite(const Message& message, ServerTransaction& transaction);
  void handle_in_dialog(const Message& message, ServerTransaction& transaction);
  void handle_cancel(ServerTransaction& transaction);
  void handle_bye(Dialog& dialog, ServerTransaction& transaction);
  void open_dialog(const Message& message, ServerTransaction& transaction, CallId call);
  Dialog* find(CallId call);
  Dialog* find(const std::string& id);
  void resend_answer(CallId call);
  void on_ack_timeout(CallId call);
  void send_bye(Dialog& dialog);
  void erase(CallId call);
  // The INVITE of the dialog has its final response.
  void close_invite(const Dialog& dialog);
  // Forgets peers without an open INVITE.
  void forget_quiet_peers();
  std::string new_tag();
  std::string contact(TransportKind kind) const;
  void fail_invite(CallId call, int status, const std::string& headers = {});

  Loop& loop_;
  Logger& log_;
  CallService& core_;
  FrontConfig config_;
  std::mt19937_64 random_;
  Transactions transactions_;
  Transport transport_;
  std::unordered_map<CallId, Dialog> dialogs_;
  // Peers that are remembered; beyond this those without an open INVITE are forgotten.
  static constexpr std::size_t kMaxRememberedPeers = 4096;
  std::map<PeerKey, OpenInvites> open_invites_;
  std::size_t remembered_peers_limit_ = kMaxRememberedPeers;
  std::map<std::string, CallId> by_dialog_id_;
  std::map<std::string, CallId> by_merge_key_;
};

}  // namespace quartzarch::sip
