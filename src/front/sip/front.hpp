// The SIP front: INVITEs of gateways as requests to the core, and the dialogs of the calls that stand.
#pragma once

#include <map>
#include <random>
#include <unordered_map>

#include "core/calls.hpp"
#include "front/sip/transactions.hpp"

namespace quartzarch::sip {

struct FrontConfig {
  Listening listening{};
  std::string default_class{};  // of an INVITE that names none
  Timers timers{};
  std::size_t most_connections = 256;
  std::size_t most_transactions = 20000;
};

class SipFront : public Front, private Transactions::User {
 public:
  // Throws std::runtime_error if an address cannot be listened on or the certificate is bad.
  SipFront(Loop& loop, Logger& log, CallService& core, FrontConfig config, std::uint64_t seed);
  ~SipFront() override;

  sockaddr_in address(TransportKind kind) const { return transport_.local(kind); }
  // Ends every call that stands: nothing of a dialog outlives the process. Then idle() tells when that is
  // done.
  void hang_up();
  bool idle() const { return transactions_.clients_done() && transport_.flushed(); }
  std::size_t dialogs() const { return dialogs_.size(); }

  void answer(CallId call, std::string description) override;
  void refuse(CallId call, std::optional<Duration> retry_after) override;
  void fail(CallId call, Failure why) override;
  void call_ended(CallId call, int cause) override;

 private:
  // A call from its INVITE on; a dialog once it was answered.
  struct Dialog {
    CallId call = 0;
    std::string invite{};                      // key of the INVITE's transaction
    std::string merge_key{};                   // what copies of the INVITE on other ways have in common
    std::string id{};                          // Call-ID and both tags
    std::string local{}, remote{}, call_id{};  // To and From as the INVITE's responses have them
    std::string target{};                      // the peer's Contact
    std::string routes{};                      // as Route header lines
    std::string first_hop{};                   // the URI that requests of ours go to
    Hop hop{};                                 // the way the INVITE came
    unsigned long invite_cseq = 0, remote_cseq = 0, local_cseq = 0;
    bool answered = false;
    bool acknowledged = false;
    std::optional<int> over{};  // the call is over; the BYE waits for the ACK
    Duration interval{};
    std::optional<Loop::TimerId> resend{}, give_up{};
  };

  void requested(const Message& message, ServerTransaction& transaction) override;
  void acknowledged(const Message& message) override;
  void asked_again(ServerTransaction& transaction) override;
  void forgotten(ServerTransaction& transaction) override;
  void responded(std::uint64_t subject, int status) override;

  bool acceptable(const Message& message, ServerTransaction& transaction);
  void take_invite(const Message& message, ServerTransaction& transaction);
  void take_inside(const Message& message, ServerTransaction& transaction);
  void take_cancel(ServerTransaction& transaction);
  void take_bye(Dialog& dialog, ServerTransaction& transaction);
  void open_dialog(const Message& message, ServerTransaction& transaction, CallId call);
  Dialog* find(CallId call);
  Dialog* find(const std::string& id);
  void resend_answer(CallId call);
  void give_up(CallId call);
  void say_bye(Dialog& dialog);
  void erase(CallId call);
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
  std::map<std::string, CallId> by_id_;
  std::map<std::string, CallId> by_merge_key_;
};

}  // namespace quartzarch::sip
