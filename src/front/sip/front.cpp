#include "front/sip/front.hpp"

#include <arpa/inet.h>

#include <algorithm>
#include <charconv>
#include <cstdio>
#include <utility>

namespace quartzarch::sip {
namespace {

constexpr const char* kAllow = "Allow: INVITE, ACK, CANCEL, BYE, OPTIONS\r\n";
constexpr const char* kAccept = "Accept: application/sdp\r\n";
constexpr std::string_view kKnownMethods[] = {"REGISTER", "UPDATE", "INFO",    "PRACK",  "SUBSCRIBE",
                                              "NOTIFY",   "REFER",  "MESSAGE", "PUBLISH"};
// Retry-After is in whole seconds: shorter times are raised to this, others are rounded up.
constexpr Duration kMinRetryAfter = std::chrono::seconds(1);

std::string dialog_id(std::string_view call_id, std::string_view local_tag, std::string_view remote_tag) {
  return std::string(call_id) + '|' + std::string(local_tag) + '|' + std::string(remote_tag);
}

template <typename Number>
std::optional<Number> parse_number(std::string_view text) {
  Number value{};
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
  if (error != std::errc{} || end != text.data() + text.size()) return std::nullopt;
  return value;
}

}  // namespace

SipFront::SipFront(Loop& loop, Logger& log, CallService& core, FrontConfig config, std::uint64_t seed)
    : loop_(loop),
      log_(log),
      core_(core),
      config_(std::move(config)),
      random_(seed),
      transactions_(loop, log, config_.timers, *this, config_.max_transactions),
      transport_(loop, log, config_.listening, config_.max_connections,
                 [this](const Message& message, const Hop& from) { transactions_.receive(message, from); }) {
  transactions_.set_transport(transport_);
}

SipFront::~SipFront() {
  for (auto& [call, dialog] : dialogs_) {
    if (dialog.resend_timer) loop_.cancel(*dialog.resend_timer);
    if (dialog.ack_timer) loop_.cancel(*dialog.ack_timer);
  }
}

std::string SipFront::new_tag() {
  char text[17];
  std::snprintf(text, sizeof text, "%016llx", static_cast<unsigned long long>(random_()));
  return text;
}

std::string SipFront::contact(TransportKind kind) const {
  const char* const transport = kind == TransportKind::udp   ? ""
                                : kind == TransportKind::tcp ? ";transport=tcp"
                                                             : ";transport=tls";
  return "Contact: <sip:" + address_text(transport_.local(kind)) + transport + ">\r\n";
}

// ---- Requests

bool SipFront::admits_invite(const Message& message, const Hop& from) {
  if (!tag_of(message.header("To")).empty()) return true;  // within a dialog
  if (open_invites_.size() >= remembered_peers_limit_) forget_quiet_peers();
  OpenInvites& peer = open_invites_[peer_of(from)];
  return peer.limit.admits(peer.count, loop_.now());
}

void SipFront::forget_quiet_peers() {
  std::erase_if(open_invites_, [](const auto& item) { return item.second.count == 0; });
  remembered_peers_limit_ = std::max(kMaxRememberedPeers, 2 * open_invites_.size());
}

void SipFront::close_invite(const Dialog& dialog) {
  const auto found = open_invites_.find(dialog.peer);
  if (found != open_invites_.end() && found->second.count > 0) --found->second.count;
}

void SipFront::on_request(const Message& message, ServerTransaction& transaction) {
  transaction.to_tag = new_tag();
  if (message.method() == "CANCEL") return handle_cancel(transaction);
  if (!acceptable(message, transaction)) return;
  if (!tag_of(message.header("To")).empty()) return handle_in_dialog(message, transaction);
  if (message.method() == "INVITE") return handle_invite(message, transaction);
  if (message.method() == "OPTIONS") {
    return transactions_.respond(transaction, core_.ready() ? 200 : 503,
                                 std::string(core_.ready() ? "" : "Retry-After: 1\r\n") + kAllow + kAccept);
  }
  if (message.method() == "BYE") return transactions_.respond(transaction, 481);
  const bool known = std::find(std::begin(kKnownMethods), std::end(kKnownMethods), message.method()) !=
                     std::end(kKnownMethods);
  transactions_.respond(transaction, known ? 405 : 501, kAllow);
}

// Checks that apply to every request (8.2); responds with the error and returns false if one fails.
bool SipFront::acceptable(const Message& message, ServerTransaction& transaction) {
  const auto uri = parse_uri(message.uri());
  const bool scheme =
      uri && (equals_ignore_case(uri->scheme, "sip") || equals_ignore_case(uri->scheme, "sips") ||
              equals_ignore_case(uri->scheme, "tel"));
  int status = 0;
  std::string headers;
  if (!equals_ignore_case(message.version(), "SIP/2.0")) {
    status = 505;
  } else if (!scheme) {
    status = uri ? 416 : 400;
  } else if (message.has("Require")) {
    status = 420;
    for (const auto option : message.values("Require"))
      headers += "Unsupported: " + std::string(option) + "\r\n";
  } else if (!message.body().empty() && message.method() == "INVITE" &&
             !equals_ignore_case(
                 message.header("Content-Type").substr(0, message.header("Content-Type").find(';')),
                 "application/sdp")) {
    status = 415;
    headers = kAccept;
  }
  if (status == 0) return true;
  transactions_.respond(transaction, status, headers);
  return false;
}

void SipFront::handle_invite(const Message& message, ServerTransaction& transaction) {
  const RequestInfo& received = transaction.request();
  // A copy of an INVITE that arrived by another path is a merged request and rejected (8.2.2.2).
  const std::string merge_key =
      received.call_id + '|' + std::string(tag_of(received.from)) + '|' + received.cseq;
  if (by_merge_key_.count(merge_key) > 0) return transactions_.respond(transaction, 482);
  const auto contacts = message.values("Contact");
  if (contacts.empty() || !parse_uri(uri_of(contacts.front())) || tag_of(received.from).empty()) {
    return transactions_.respond(transaction, 400);
  }
  const auto uri = parse_uri(message.uri());
  if (uri->user.empty()) return transactions_.respond(transaction, 484);
  transactions_.respond(transaction, 100);

  Request request;
  do {
    request.call = random_();
  } while (dialogs_.count(request.call) > 0);
  request.protocol = FrontProtocol::sip;
  request.caller = ntohl(received.source.sin_addr.s_addr);
  request.received_at = loop_.now();
  request.number = uri->user;
  request.description = message.body();
  request.call_class = message.header("X-Call-Class");
  if (request.call_class.empty()) request.call_class = config_.default_class;
  request.first_choice = parse_number<int>(message.header("X-First-Choice")).value_or(-1);
  request.retry = message.header("X-Repeat") == "1";
  if (const auto seconds = parse_number<unsigned>(message.header("Expires"))) {
    request.caller_timeout = std::chrono::seconds(std::min(*seconds, 86400u));
  }
  transaction.subject = request.call;
  open_dialog(message, transaction, request.call);
  Dialog& dialog = dialogs_[request.call];
  dialog.merge_key = merge_key;
  dialog.peer = transaction.peer();
  ++open_invites_[dialog.peer].count;
  by_merge_key_[merge_key] = request.call;
  core_.request(std::move(request), *this);
}

// Stores the dialog state that a 2xx will establish (12.1.1).
void SipFront::open_dialog(const Message& message, ServerTransaction& transaction, CallId call) {
  const RequestInfo& received = transaction.request();
  Dialog& dialog = dialogs_[call];
  dialog.call = call;
  dialog.invite_key = transaction.key();
  dialog.call_id = received.call_id;
  dialog.local = received.to + ";tag=" + transaction.to_tag;
  dialog.remote = received.from;
  dialog.invite_cseq = dialog.remote_cseq = received.cseq_number;
  dialog.id = dialog_id(received.call_id, transaction.to_tag, tag_of(received.from));
  dialog.target = uri_of(message.values("Contact").front());
  dialog.invite_hop = received.reply_to;
  const auto routes = message.values("Record-Route");
  for (const auto route : routes) dialog.routes += "Route: " + std::string(route) + "\r\n";
  dialog.first_hop = routes.empty() ? dialog.target : std::string(uri_of(routes.front()));
  by_dialog_id_[dialog.id] = call;
}

void SipFront::handle_in_dialog(const Message& message, ServerTransaction& transaction) {
  const RequestInfo& received = transaction.request();
  Dialog* const dialog = find(dialog_id(received.call_id, tag_of(received.to), tag_of(received.from)));
  if (!dialog) return transactions_.respond(transaction, 481);
  // Out of order: a request with a higher CSeq was handled before (12.2.2).
  if (received.cseq_number < dialog->remote_cseq) return transactions_.respond(transaction, 500);
  dialog->remote_cseq = received.cseq_number;
  if (message.method() == "BYE") return handle_bye(*dialog, transaction);
  if (message.method() == "INVITE") {
    // A re-INVITE is rejected: sessions are not modified. The call itself continues.
    return dialog->acknowledged ? transactions_.respond(transaction, 488)
                                : transactions_.respond(transaction, 491);
  }
  if (message.method() == "OPTIONS")
    return transactions_.respond(transaction, 200, std::string(kAllow) + kAccept);
  transactions_.respond(transaction, 405, kAllow);
}

void SipFront::handle_cancel(ServerTransaction& transaction) {
  ServerTransaction* const invite = transactions_.cancelled_by(transaction);
  if (!invite) return transactions_.respond(transaction, 481);
  transaction.to_tag = invite->to_tag;
  transactions_.respond(transaction, 200);
  // After a final response a CANCEL has no effect (9.2).
  if (invite->answered()) return;
  const CallId call = invite->subject;
  fail_invite(call, 487);
  core_.cancel(call);
}

void SipFront::handle_bye(Dialog& dialog, ServerTransaction& transaction) {
  transactions_.respond(transaction, 200);
  const CallId call = dialog.call;
  const bool answered = dialog.answered, ended = dialog.end_cause.has_value();
  // A BYE before the answer ends the call like a CANCEL (15.1.2).
  if (!answered) fail_invite(call, 487);
  erase(call);
  if (ended) return;
  if (answered) {
    core_.release(call, cause::kNormal);
  } else {
    core_.cancel(call);
  }
}

// ---- Results of the core

SipFront::Dialog* SipFront::find(CallId call) {
  const auto found = dialogs_.find(call);
  return found == dialogs_.end() ? nullptr : &found->second;
}

SipFront::Dialog* SipFront::find(const std::string& id) {
  const auto found = by_dialog_id_.find(id);
  return found == by_dialog_id_.end() ? nullptr : find(found->second);
}

void SipFront::erase(CallId call) {
  const auto found = dialogs_.find(call);
  if (found == dialogs_.end()) return;
  Dialog& dialog = found->second;
  if (dialog.resend_timer) loop_.cancel(*dialog.resend_timer);
  if (dialog.ack_timer) loop_.cancel(*dialog.ack_timer);
  if (!dialog.answered) close_invite(dialog);
  by_dialog_id_.erase(dialog.id);
  by_merge_key_.erase(dialog.merge_key);
  dialogs_.erase(found);
}

void SipFront::answer(CallId call, std::string description) {
  Dialog* const dialog = find(call);
  ServerTransaction* const invite = dialog ? transactions_.find(dialog->invite_key) : nullptr;
  if (!invite) return core_.release(call, cause::kTemporary);
  dialog->answered = true;
  close_invite(*dialog);
  std::string headers = contact(dialog->invite_hop.kind) + kAllow;
  if (!description.empty()) headers += "Content-Type: application/sdp\r\n";
  transactions_.respond(*invite, 200, headers, description);
  // The 2xx is retransmitted until the ACK comes, on stream transports as well (13.3.1.4).
  dialog->resend_interval = config_.timers.t1;
  dialog->resend_timer =
      loop_.at(loop_.now() + dialog->resend_interval, [this, call] { resend_answer(call); });
  dialog->ack_timer =
      loop_.at(loop_.now() + config_.timers.transaction_timeout(), [this, call] { on_ack_timeout(call); });
}

void SipFront::resend_answer(CallId call) {
  Dialog* const dialog = find(call);
  ServerTransaction* const invite = dialog ? transactions_.find(dialog->invite_key) : nullptr;
  if (!invite) return;
  transactions_.resend_response(*invite);
  dialog->resend_interval = std::min(dialog->resend_interval * 2, config_.timers.t2);
  dialog->resend_timer =
      loop_.at(loop_.now() + dialog->resend_interval, [this, call] { resend_answer(call); });
}

void SipFront::on_invite_retransmitted(ServerTransaction& transaction) {
  const Dialog* const dialog = find(transaction.subject);
  if (dialog && !dialog->acknowledged) transactions_.resend_response(transaction);
}

void SipFront::on_terminated(ServerTransaction&) {}

// Without an ACK the caller may not have received the answer, so the call is ended.
void SipFront::on_ack_timeout(CallId call) {
  Dialog* const dialog = find(call);
  if (!dialog) return;
  dialog->ack_timer.reset();
  log_.line("sip: no ACK for call %s, ended", dialog->call_id.c_str());
  const bool ended = dialog->end_cause.has_value();
  send_bye(*dialog);
  if (!ended) core_.release(call, cause::kTemporary);
}

void SipFront::on_ack(const Message& message) {
  Dialog* const dialog = find(
      dialog_id(message.header("Call-ID"), tag_of(message.header("To")), tag_of(message.header("From"))));
  const auto cseq = parse_cseq(message.header("CSeq"));
  if (!dialog || !dialog->answered || cseq->number != dialog->invite_cseq) return;
  dialog->acknowledged = true;
  if (dialog->resend_timer) loop_.cancel(*std::exchange(dialog->resend_timer, std::nullopt));
  if (dialog->ack_timer) loop_.cancel(*std::exchange(dialog->ack_timer, std::nullopt));
  if (dialog->end_cause) send_bye(*dialog);
}

void SipFront::fail_invite(CallId call, int status, const std::string& headers) {
  const Dialog* const dialog = find(call);
  if (!dialog) return;
  if (ServerTransaction* const invite = transactions_.find(dialog->invite_key)) {
    transactions_.respond(*invite, status, headers);
  }
  erase(call);
}

void SipFront::refuse(CallId call, std::optional<Duration> retry_after) {
  const auto wait =
      std::max(retry_after.value_or(Duration{0}), kMinRetryAfter) + std::chrono::milliseconds(999);
  fail_invite(call, 503, "Retry-After: " + std::to_string(wait / std::chrono::seconds(1)) + "\r\n");
}

void SipFront::fail(CallId call, Failure why) { fail_invite(call, why == Failure::timed_out ? 504 : 500); }

void SipFront::call_ended(CallId call, int cause) {
  Dialog* const dialog = find(call);
  if (!dialog) return;
  dialog->end_cause = cause;
  if (dialog->acknowledged) send_bye(*dialog);  // else on the ACK or its timeout (15)
}

// Sends it to the first route or else to the peer's Contact; to where the INVITE came from if that URI's host
// is not an IP address.
void SipFront::send_bye(Dialog& dialog) {
  const CallId call = dialog.call;
  Hop to = dialog.invite_hop;
  const auto uri = parse_uri(dialog.first_hop);
  TransportKind kind = to.kind;
  if (uri && equals_ignore_case(uri->transport, "udp")) kind = TransportKind::udp;
  if (uri && equals_ignore_case(uri->transport, "tcp")) kind = TransportKind::tcp;
  if (uri && (equals_ignore_case(uri->transport, "tls") || equals_ignore_case(uri->scheme, "sips")))
    kind = TransportKind::tls;
  const std::string port = std::to_string(uri && uri->port != 0 ? uri->port : default_port(kind));
  if (const auto address = uri ? parse_address(std::string(uri->host) + ":" + port) : std::nullopt) {
    to = {kind, *address, kind == to.kind ? to.connection : 0};
  }
  const std::string reason =
      dialog.end_cause ? "Reason: Q.850;cause=" + std::to_string(*dialog.end_cause) + "\r\n" : "";
  const std::string headers =
      "From: " + dialog.local + "\r\nTo: " + dialog.remote + "\r\nCall-ID: " + dialog.call_id +
      "\r\nCSeq: " + std::to_string(++dialog.local_cseq) + " BYE\r\n" + dialog.routes + reason;
  const std::string target = dialog.target;
  erase(call);
  transactions_.request(to, "BYE", target, headers, call);
}

void SipFront::on_response(std::uint64_t, int status) {
  // The dialog has ended whatever the response to the BYE is (15.1.1).
  if (status == 408) log_.line("sip: a BYE got no answer");
}

void SipFront::end_all_calls() {
  std::vector<CallId> calls;
  for (const auto& [call, dialog] : dialogs_) {
    if (dialog.answered) calls.push_back(call);
  }
  std::sort(calls.begin(), calls.end());
  for (const CallId call : calls) {
    Dialog& dialog = dialogs_.at(call);
    const bool ended = dialog.end_cause.has_value();
    send_bye(dialog);
    if (!ended) core_.release(call, cause::kNormal);
  }
}

}  // namespace quartzarch::sip
