#include "front/sip/transactions.hpp"

#include <arpa/inet.h>

#include <algorithm>
#include <utility>

namespace quartzarch::sip {
namespace {

// Marks a branch that is unique for its transaction (RFC 3261, 8.1.1.7).
constexpr std::string_view kBranchCookie = "z9hG4bK";

// The IP address without the port.
std::string address_of(const sockaddr_in& address) {
  const std::string text = address_text(address);
  return text.substr(0, text.rfind(':'));
}

// The key by which a request is matched to its transaction (17.2.3): method, sent-by and branch; an ACK has
// the key of its INVITE. A branch without the magic cookie, as RFC 2543 clients send it, need not be unique,
// so that Call-ID, From tag and CSeq number are added.
std::string transaction_key(const Message& message, std::string_view method) {
  const auto values = message.values("Via");
  const auto via = parse_via(values.front());
  std::string key(method);
  key += '|' + std::string(via->host) + ':' + std::to_string(via->port) + '|';
  if (via->branch.starts_with(kBranchCookie)) return key + std::string(via->branch);
  const auto cseq = parse_cseq(message.header("CSeq"));
  return key + std::string(message.header("Call-ID")) + '|' + std::string(tag_of(message.header("From"))) +
         '|' + std::to_string(cseq->number) + '|' + std::string(via->branch);
}

// Where the responses go (18.2.2): back on the connection of the request or, if it is closed or the transport
// is UDP, to the request's source address and the port in the Via. Over UDP with rport (RFC 3581) the port is
// the source port.
Hop reply_hop(const Via& via, std::string_view top, const Hop& from) {
  Hop to = from;
  const int port = via.port != 0 ? via.port : default_port(from.kind);
  const bool symmetric = from.kind == TransportKind::udp && parameter(top, "rport").has_value();
  if (!symmetric) to.address.sin_port = htons(static_cast<std::uint16_t>(port));
  return to;
}

// The header line of the topmost Via as the responses carry it.
std::string top_via_line(std::string_view top, const Hop& from) {
  return "Via: " + completed_via(top, address_of(from.address), ntohs(from.address.sin_port)) + "\r\n";
}

RequestInfo copy_request(const Message& message, const Hop& from) {
  RequestInfo request;
  request.method = message.method();
  request.uri = message.uri();
  const auto vias = message.values("Via");
  const auto top = *parse_via(vias.front());
  request.reply_to = reply_hop(top, vias.front(), from);
  request.source = from.address;
  request.vias = top_via_line(vias.front(), from);
  for (std::size_t i = 1; i < vias.size(); ++i) request.vias += "Via: " + std::string(vias[i]) + "\r\n";
  request.from = message.header("From");
  request.to = message.header("To");
  request.call_id = message.header("Call-ID");
  request.cseq = message.header("CSeq");
  request.cseq_number = parse_cseq(request.cseq)->number;
  for (const auto route : message.values("Record-Route")) {
    request.record_routes += "Record-Route: " + std::string(route) + "\r\n";
  }
  return request;
}

// True if the request has the headers without which no transaction can be created.
bool has_required_headers(const Message& message) {
  const auto vias = message.values("Via");
  const auto cseq = parse_cseq(message.header("CSeq"));
  return !vias.empty() && parse_via(vias.front()) && cseq && cseq->method == message.method() &&
         !message.header("From").empty() && !message.header("To").empty() &&
         !message.header("Call-ID").empty();
}

}  // namespace

const char* reason_phrase(int status) {
  switch (status) {
    case 100:
      return "Trying";
    case 200:
      return "OK";
    case 400:
      return "Bad Request";
    case 405:
      return "Method Not Allowed";
    case 408:
      return "Request Timeout";
    case 415:
      return "Unsupported Media Type";
    case 416:
      return "Unsupported URI Scheme";
    case 420:
      return "Bad Extension";
    case 481:
      return "Call/Transaction Does Not Exist";
    case 482:
      return "Loop Detected";
    case 484:
      return "Address Incomplete";
    case 487:
      return "Request Terminated";
    case 488:
      return "Not Acceptable Here";
    case 491:
      return "Request Pending";
    case 500:
      return "Server Internal Error";
    case 501:
      return "Not Implemented";
    case 503:
      return "Service Unavailable";
    case 504:
      return "Server Time-out";
    case 505:
      return "Version Not Supported";
    default:
      return "Response";
  }
}

std::string response_head(const RequestInfo& request, int status, const std::string& to_tag,
                          const std::string& headers, std::size_t body_size) {
  std::string head = "SIP/2.0 " + std::to_string(status) + " " + reason_phrase(status) + "\r\n" +
                     request.vias + "From: " + request.from + "\r\nTo: " + request.to;
  if (status != 100 && !to_tag.empty() && tag_of(request.to).empty()) head += ";tag=" + to_tag;
  head += "\r\nCall-ID: " + request.call_id + "\r\nCSeq: " + request.cseq + "\r\n";
  return head + headers + "Content-Length: " + std::to_string(body_size) + "\r\n\r\n";
}

Transactions::~Transactions() {
  for (auto& [key, server] : servers_) {
    if (server.resend_) loop_.cancel(*server.resend_);
    if (server.end_) loop_.cancel(*server.end_);
  }
  for (auto& [branch, client] : clients_) {
    if (client.resend) loop_.cancel(*client.resend);
    if (client.end) loop_.cancel(*client.end);
  }
}

void Transactions::receive(const Message& message, const Hop& from) {
  if (!message.is_request()) return receive_response(message);
  if (!has_required_headers(message)) {
    log_.line("sip: incomplete %.*s from %s", static_cast<int>(message.method().size()),
              message.method().data(), address_text(from.address).c_str());
    // A 400 with the headers that are there; an ACK gets no response, nor does a request without a valid Via.
    const auto vias = message.values("Via");
    if (message.method() == "ACK" || vias.empty() || !parse_via(vias.front())) return;
    RequestInfo request;
    const auto top = *parse_via(vias.front());
    request.reply_to = reply_hop(top, vias.front(), from);
    request.vias = top_via_line(vias.front(), from);
    request.from = message.header("From");
    request.to = message.header("To");
    request.call_id = message.header("Call-ID");
    request.cseq = message.header("CSeq");
    return respond_stateless(request, 400);
  }
  receive_request(message, from);
}

void Transactions::receive_request(const Message& message, const Hop& from) {
  const bool ack = message.method() == "ACK";
  const std::string key = transaction_key(message, ack ? "INVITE" : message.method());
  if (ack) return receive_ack(message, key);
  const auto found = servers_.find(key);
  if (found != servers_.end()) {
    // A retransmission: the last response is sent again, to where the retransmission came from; the
    // transaction user does not see the request a second time.
    ServerTransaction& known = found->second;
    known.request_.reply_to = copy_request(message, from).reply_to;
    if (known.state_ == ServerTransaction::State::accepted) return user_.on_invite_retransmitted(known);
    if (!known.head_.empty() && known.state_ != ServerTransaction::State::confirmed) send(known);
    return;
  }
  // At the limit of transactions the request is rejected without creating one.
  const PeerKey peer = peer_of(from);
  const bool admitted =
      has_room(peer) && (message.method() != "INVITE" || user_.admits_invite(message, from));
  if (!admitted) return respond_stateless(copy_request(message, from), 503);
  ServerTransaction& transaction = servers_[key];
  ++transactions_of_[peer];
  transaction.key_ = key;
  transaction.peer_ = peer;
  transaction.request_ = copy_request(message, from);
  user_.on_request(message, transaction);
}

// When few are left, a peer that holds most of them gets none.
bool Transactions::has_room(const PeerKey& peer) const {
  if (size() < max_transactions_ / 4 * 3) return true;
  const auto found = transactions_of_.find(peer);
  const std::size_t own = found == transactions_of_.end() ? 0 : found->second;
  return size() < max_transactions_ && own < size() / 2;
}

void Transactions::respond_stateless(const RequestInfo& request, int status) {
  const std::string headers = status == 503 ? "Retry-After: 1\r\n" : "";
  transport_->send(request.reply_to, response_head(request, status, "unkept", headers, 0), {});
}

void Transactions::receive_ack(const Message& message, const std::string& key) {
  const auto found = servers_.find(key);
  if (found == servers_.end() || found->second.state_ == ServerTransaction::State::accepted) {
    return user_.on_ack(message);
  }
  ServerTransaction& transaction = found->second;
  if (transaction.state_ != ServerTransaction::State::completed) return;
  transaction.state_ = ServerTransaction::State::confirmed;
  if (transaction.resend_) loop_.cancel(*std::exchange(transaction.resend_, std::nullopt));
  // Timer I: absorbs retransmitted ACKs.
  end_after(transaction, transaction.request_.reply_to.reliable() ? Duration{0} : timers_.t4);
}

void Transactions::respond(ServerTransaction& transaction, int status, const std::string& headers,
                           const std::string& body) {
  using State = ServerTransaction::State;
  if (transaction.state_ != State::proceeding) return;
  const RequestInfo& request = transaction.request_;
  const std::string routes = status >= 200 && status < 300 ? request.record_routes : std::string{};
  transaction.head_ = response_head(request, status, transaction.to_tag, routes + headers, body.size());
  transaction.body_ = body;
  send(transaction);
  if (status < 200) return;
  const bool reliable = request.reply_to.reliable();
  if (!transaction.is_invite()) {
    transaction.state_ = State::completed;
    return end_after(transaction, reliable ? Duration{0} : timers_.transaction_timeout());  // timer J
  }
  if (status < 300) {
    transaction.state_ = State::accepted;
    return end_after(transaction, timers_.transaction_timeout());  // timer L
  }
  transaction.state_ = State::completed;
  if (!reliable) {
    transaction.interval_ = timers_.t1;
    transaction.resend_ =
        loop_.at(loop_.now() + timers_.t1, [this, key = transaction.key_] { resend_failure_response(key); });
  }
  end_after(transaction, timers_.transaction_timeout());  // timer H
}

void Transactions::resend_response(const ServerTransaction& transaction) { send(transaction); }

void Transactions::send(const ServerTransaction& transaction) {
  transport_->send(transaction.request_.reply_to, transaction.head_, transaction.body_);
}

// Timer G: retransmits a failure response to an INVITE until its ACK.
void Transactions::resend_failure_response(const std::string& key) {
  const auto found = servers_.find(key);
  if (found == servers_.end()) return;
  ServerTransaction& transaction = found->second;
  send(transaction);
  transaction.interval_ = std::min(transaction.interval_ * 2, timers_.t2);
  transaction.resend_ =
      loop_.at(loop_.now() + transaction.interval_, [this, key] { resend_failure_response(key); });
}

void Transactions::end_after(ServerTransaction& transaction, Duration time) {
  if (transaction.end_) loop_.cancel(*transaction.end_);
  transaction.end_ = loop_.at(loop_.now() + time, [this, key = transaction.key_] { terminate(key); });
}

void Transactions::terminate(const std::string& key) {
  const auto found = servers_.find(key);
  if (found == servers_.end()) return;
  if (found->second.resend_) loop_.cancel(*found->second.resend_);
  ServerTransaction terminated = std::move(found->second);
  servers_.erase(found);
  if (const auto of = transactions_of_.find(terminated.peer_); --of->second == 0) transactions_of_.erase(of);
  user_.on_terminated(terminated);
}

ServerTransaction* Transactions::find(const std::string& key) {
  const auto found = servers_.find(key);
  return found == servers_.end() ? nullptr : &found->second;
}

ServerTransaction* Transactions::cancelled_by(const ServerTransaction& cancel) {
  return find("INVITE" + cancel.key_.substr(cancel.key_.find('|')));
}

// ---- Client transactions

bool Transactions::clients_done() const {
  return std::all_of(clients_.begin(), clients_.end(),
                     [](const auto& item) { return item.second.completed; });
}

void Transactions::request(const Hop& to, const std::string& method, const std::string& uri,
                           const std::string& headers, std::uint64_t subject) {
  const std::string branch =
      std::string(kBranchCookie) + std::to_string(loop_.now().count()) + "." + std::to_string(++last_branch_);
  Client& client = clients_[branch];
  client.to = to;
  client.subject = subject;
  client.head = method + " " + uri + " SIP/2.0\r\nVia: SIP/2.0/" + std::string(transport_name(to.kind)) +
                " " + address_text(transport_->local(to.kind)) + ";branch=" + branch + "\r\n" + headers +
                "Max-Forwards: 70\r\nContent-Length: 0\r\n\r\n";
  transport_->send(to, client.head, {});
  if (!to.reliable()) {
    client.interval = timers_.t1;
    client.resend = loop_.at(loop_.now() + timers_.t1, [this, branch] { resend_request(branch); });
  }
  // Timer F: the request has timed out.
  client.end =
      loop_.at(loop_.now() + timers_.transaction_timeout(), [this, branch] { finish_client(branch, 408); });
}

// Timer E: retransmits a request over UDP until its final response.
void Transactions::resend_request(const std::string& branch) {
  const auto found = clients_.find(branch);
  if (found == clients_.end() || found->second.completed) return;
  Client& client = found->second;
  transport_->send(client.to, client.head, {});
  client.interval = client.proceeding ? timers_.t2 : std::min(client.interval * 2, timers_.t2);
  client.resend = loop_.at(loop_.now() + client.interval, [this, branch] { resend_request(branch); });
}

void Transactions::receive_response(const Message& message) {
  const auto vias = message.values("Via");
  const auto via = vias.empty() ? std::nullopt : parse_via(vias.front());
  const auto found = via ? clients_.find(std::string(via->branch)) : clients_.end();
  if (found == clients_.end()) return;  // no such client transaction, or no longer
  if (message.status() < 200) {
    found->second.proceeding = true;
  } else {
    finish_client(found->first, message.status());
  }
}

void Transactions::finish_client(const std::string& branch, int status) {
  const auto found = clients_.find(branch);
  if (found == clients_.end()) return;
  Client& client = found->second;
  if (client.resend) loop_.cancel(*std::exchange(client.resend, std::nullopt));
  if (client.end) loop_.cancel(*std::exchange(client.end, std::nullopt));
  if (std::exchange(client.completed, true)) {
    clients_.erase(found);
    return;
  }
  const std::uint64_t subject = client.subject;
  if (status == 408 || client.to.reliable()) {
    clients_.erase(found);
  } else {
    // Timer K: until it fires, retransmissions of the response are absorbed.
    client.end = loop_.at(loop_.now() + timers_.t4,
                          [this, branch = std::string(branch)] { finish_client(branch, 0); });
  }
  user_.on_response(subject, status);
}

}  // namespace quartzarch::sip
