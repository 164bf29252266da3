// Tests of the SIP front with simulated gateways and a simulated setup server.

#include <filesystem>

#include "acme/state.hpp"
#include "authority/ca.hpp"
#include "front/sip/front_config.hpp"
#include "handshake.hpp"
#include "loopback.hpp"

namespace quartzarch::test {
namespace {

using sip::TransportKind;

// A new private key and a self-signed certificate for it, as one PEM text.
std::string certificate_for(const std::string& name) {
  const acme::Key key = acme::new_key();
  const acme::Certificate certificate(X509_new());
  X509_set_version(certificate.get(), 2);
  X509_gmtime_adj(X509_getm_notBefore(certificate.get()), -60);
  X509_gmtime_adj(X509_getm_notAfter(certificate.get()), 86400);
  X509_set_pubkey(certificate.get(), key.get());
  X509_NAME* const subject = X509_get_subject_name(certificate.get());
  X509_NAME_add_entry_by_txt(subject, "CN", MBSTRING_ASC,
                             reinterpret_cast<const unsigned char*>(name.c_str()), -1, -1, 0);
  X509_set_issuer_name(certificate.get(), subject);
  X509_sign(certificate.get(), key.get(), EVP_sha256());
  return acme::pem_of(key).text() + standin::pem_of(certificate);
}

class Sip : public Program {
 protected:
  Sip() {
    sip::FrontConfig config;
    config.listening.udp = config.listening.tcp = any_port();
    config.default_class = "voice";
    config.timers.t1 = milliseconds(20);
    sip_front = std::make_unique<sip::SipFront>(loop, log, *planner, config, 7);
    open_server();
  }
  Peer gateway(TransportKind kind) {
    const auto to = sip_front->address(kind);
    return kind == TransportKind::udp ? Peer::udp(to) : Peer::connect(to);
  }
  // A request as the gateway at `peer` sends it; `to_tag` is given for a request inside a dialog.
  static std::string request(const Peer& peer, TransportKind kind, const std::string& method, int cseq,
                             const std::string& branch, const std::string& headers = {},
                             const std::string& body = {}, const std::string& to_tag = {}) {
    const std::string transport = sip::transport_name(kind);
    return method + " sip:7f3a9c21e0b4d655@lab SIP/2.0\r\nVia: SIP/2.0/" + transport + " " + peer.address() +
           ";branch=z9hG4bK" + branch +
           "\r\nMax-Forwards: 70\r\nFrom: <sip:gw@lab>;tag=g\r\nTo: <sip:7f@lab>" +
           (to_tag.empty() ? "" : ";tag=" + to_tag) + "\r\nCall-ID: c1\r\nCSeq: " + std::to_string(cseq) +
           " " + method + "\r\nContact: <sip:gw@" + peer.address() + ">\r\n" + headers +
           "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
  }
  static std::string invite(const Peer& peer, TransportKind kind, const std::string& headers = {}) {
    return request(peer, kind, "INVITE", 1, "i1",
                   "X-First-Choice: 0\r\nContent-Type: application/sdp\r\n" + headers, "v=0\r\n");
  }
  static std::string to_tag(const std::string& response) {
    const auto at = response.rfind(";tag=", response.find("\r\nCall-ID", response.find("SIP/2.0 200")));
    return response.substr(at + 5, response.find("\r\n", at) - at - 5);
  }
  // Waits for an offer at the setup server and returns the call id of the last one.
  std::string offered_call() {
    wait_to_receive(server, "\"op\":\"offer\"");
    const auto at = server.received().rfind("\"op\":\"offer\",\"call\":\"");
    return server.received().substr(at + 21, 16);
  }
  // Sets up a call and acknowledges it. Returns the To tag that the front chose; `call` gets the call id.
  std::string establish_sip_call(Peer& peer, TransportKind kind, std::string* call = nullptr) {
    peer.send(invite(peer, kind));
    const std::string id = offered_call();
    if (call) *call = id;
    server.send(line("accept", id, "\"desc\":\"s=1\\r\\n\""));
    wait_to_receive(peer, "s=1\r\n");
    const std::string tag = to_tag(peer.take_received());
    peer.send(request(peer, kind, "ACK", 1, "a1", {}, {}, tag));
    run_passes(5);
    peer.take_received();
    server.take_received();
    return tag;
  }

  std::unique_ptr<sip::SipFront> sip_front;
};

class SipTransports : public Sip, public ::testing::WithParamInterface<TransportKind> {};
INSTANTIATE_TEST_SUITE_P(Transports, SipTransports, ::testing::Values(TransportKind::udp, TransportKind::tcp),
                         [](const auto& each) { return each.param == TransportKind::udp ? "Udp" : "Tcp"; });

// Guards against: an rport that is written with a space or in capitals spoils the Via of every response.
TEST_F(Sip, AnRportIsAnsweredHoweverItIsWritten) {
  for (const std::string rport : {";rport", "; rport", ";RPORT", " ;\tRport"}) {
    Peer peer = gateway(TransportKind::udp);
    std::string options = request(peer, TransportKind::udp, "OPTIONS", 1, "o1");
    const std::string via = "Via: SIP/2.0/UDP " + peer.address() + ";branch=z9hG4bKo1";
    options.insert(options.find(via) + via.size(), rport);
    peer.send(options);
    const std::string port = peer.address().substr(peer.address().find(':') + 1);
    wait_to_receive(peer, via + rport + "=" + port + ";received=127.0.0.1\r\n");
  }
}

// Guards against: one peer sends INVITEs of ever new ids, all of which wait at once, and others get their
// answers late or never.
TEST_P(SipTransports, TheOpenInvitesOfOnePeerAreLimitedAndOthersAreServed) {
  const FrozenClock held;
  Peer flooder = gateway(GetParam());
  constexpr std::size_t kInvites = 450;
  std::size_t rejected = 0;
  for (std::size_t i = 0; i < kInvites; ++i) {
    clock_offset += milliseconds(1);
    std::string message = invite(flooder, GetParam());
    message.replace(message.find("Call-ID: c1"), 11, "Call-ID: c" + std::to_string(1000 + i));
    message.replace(message.find("bKi1"), 4, "bKi" + std::to_string(1000 + i));
    flooder.send(message);
    run_passes(1);
    rejected += count(flooder.take_received(), "SIP/2.0 503");
  }
  EXPECT_EQ(planner->pending_answers(), kMaxOpenSetUps);
  EXPECT_EQ(rejected, kInvites - kMaxOpenSetUps);
  Peer other = gateway(GetParam());
  other.send(invite(other, GetParam()));
  wait_to_receive(other, "SIP/2.0 100");
  EXPECT_EQ(planner->pending_answers(), kMaxOpenSetUps + 1);
}

// Guards against: the datagrams of one peer at full speed are all worked off, and those of others are lost.
TEST_F(Sip, DatagramsOfOnePeerBeyondItsRateAreDroppedAndOthersAreAnswered) {
  const FrozenClock held;
  Peer flooder = gateway(TransportKind::udp);
  std::size_t answered = 0;
  for (int i = 0; i < 600; ++i) {
    flooder.send(request(flooder, TransportKind::udp, "OPTIONS", 1, "o" + std::to_string(i)));
    if (i % 50 == 49) run_passes(3);
    answered += count(flooder.take_received(), "SIP/2.0 200");
  }
  EXPECT_EQ(answered, static_cast<std::size_t>(kDatagramBurst));
  Peer other = gateway(TransportKind::udp);
  other.send(request(other, TransportKind::udp, "OPTIONS", 1, "x1"));
  wait_to_receive(other, "SIP/2.0 200");
}

// ---- Callers get the same results by the binary protocol and by SIP over UDP and TCP

struct Outcome {
  std::string caller_result;  // the final result at the caller
  std::size_t offers;
};

// How the setup server replies to each offer, and the result that the caller must get.
struct Scenario {
  const char* name;
  std::function<std::string(const std::string& call)> reply;
  const char* call_class;
  const char* outcome;
  std::optional<std::size_t> offers{};  // absent: as many attempts as the deadline allows
};

class FrontOutcomes : public Sip, public ::testing::WithParamInterface<Scenario> {
 protected:
  // Runs the scenario for the call that `peer` has sent. `final_answers` maps the bytes that identify each
  // final answer to its result.
  Outcome run_scenario(Peer& peer, const std::map<std::string, std::string>& final_answers) {
    std::size_t offers = 0;
    std::string result;
    wait_until(
        [&] {
          const std::string& output = server.received();
          for (auto at = output.find("\"op\":\"offer\",\"call\":\""); at != std::string::npos;
               at = output.find("\"op\":\"offer\",\"call\":\"", at + 1)) {
            ++offers;
            const std::string call = output.substr(at + 21, 16);
            if (const auto reply = GetParam().reply(call); !reply.empty()) server.send(reply);
          }
          server.take_received();
          for (const auto& [bytes, meaning] : final_answers) {
            if (peer.received().find(bytes) != std::string::npos) result = meaning;
          }
          return !result.empty();
        },
        "the final answer");
    return {result, offers};
  }
  static void expect(const Outcome& outcome) {
    EXPECT_EQ(outcome.caller_result, GetParam().outcome);
    if (GetParam().offers) {
      EXPECT_EQ(outcome.offers, *GetParam().offers);
    }
  }
  Outcome outcome_by_binary() {
    Peer peer = connect_caller();
    peer.send(binary(1, 0xb1,
                     {{180, GetParam().call_class},
                      {182, "1000"},
                      {188, "7f3a9c21e0b4d655"},
                      {190, "dest:0"},
                      {210, "v=0\r\n"}}));
    const auto release = [](char cause) {
      return binary(12, 0xb1, {{208, std::string(1, cause)}}).substr(2);
    };
    return run_scenario(peer, {{binary(9, 0xb1, {{210, "s=1\r\n"}}), "stands"},
                               {release(42), "refused"},
                               {release(41), "failed"},
                               {release(18), "timed out"}});
  }
  Outcome outcome_by_sip(TransportKind kind) {
    Peer peer = gateway(kind);
    const std::string call_class = std::string("X-Call-Class: ") + GetParam().call_class + "\r\n";
    peer.send(invite(peer, kind, call_class + "Expires: 1\r\n"));
    const Outcome outcome = run_scenario(peer, {{"SIP/2.0 200", "stands"},
                                                {"SIP/2.0 503", "refused"},
                                                {"SIP/2.0 500", "failed"},
                                                {"SIP/2.0 504", "timed out"}});
    EXPECT_EQ(peer.received().find("SIP/2.0 100 Trying"), 0u);
    const auto has = [&](const char* text) { return peer.received().find(text) != std::string::npos; };
    EXPECT_EQ(has("\r\n\r\ns=1\r\n"), outcome.caller_result == "stands");
    EXPECT_EQ(has("\r\nRetry-After: "), outcome.caller_result == "refused");
    return outcome;
  }
};

TEST_P(FrontOutcomes, Binary) { expect(outcome_by_binary()); }
TEST_P(FrontOutcomes, Udp) { expect(outcome_by_sip(TransportKind::udp)); }
TEST_P(FrontOutcomes, Tcp) { expect(outcome_by_sip(TransportKind::tcp)); }

std::string reply(const std::string& op, const std::string& call, const std::string& rest,
                  const std::string& with = {}) {
  return "{\"op\":\"" + op + "\",\"call\":\"" + call + "\",\"with\":{" + with + "}," + rest + "}\n";
}
INSTANTIATE_TEST_SUITE_P(
    Scenarios, FrontOutcomes,
    ::testing::Values(
        Scenario{"Answered", [](auto& c) { return reply("accept", c, "\"desc\":\"s=1\\r\\n\""); }, "voice",
                 "stands", 1},
        Scenario{"Full", [](auto& c) { return reply("end", c, "\"why\":34", "\"note\":\"swamped\""); },
                 "voice", "refused", 1},
        Scenario{"Busy", [](auto& c) { return reply("end", c, "\"why\":17", "\"note\":\"occupied\""); },
                 "voice", "failed", 1},
        Scenario{"Reset", [](auto& c) { return reply("end", c, "\"why\":41"); }, "voice", "failed"},
        Scenario{"Silent", [](auto&) { return std::string(); }, "voice", "timed out", 1},
        Scenario{"UnknownClass", [](auto&) { return std::string(); }, "no-such", "failed", 0}),
    [](const auto& each) { return each.param.name; });

// ---- Transactions and dialogs

TEST_P(SipTransports, ARetransmittedInviteNeverBecomesASecondAttempt) {
  Peer peer = gateway(GetParam());
  const std::string first = invite(peer, GetParam());
  peer.send(first);
  const std::string call = offered_call();
  peer.send(first);
  wait_until([&] { return count(peer.received(), "SIP/2.0 100") == 2; }, "a second 100 response");
  server.send(line("accept", call, "\"desc\":\"s\""));
  wait_to_receive(peer, "SIP/2.0 200");
  peer.send(first);  // also not after the answer
  wait_until([&] { return count(peer.received(), "SIP/2.0 200") >= 2; }, "the retransmitted answer");
  EXPECT_EQ(count(server.received(), "offer"), 1u);
  // A copy of the INVITE that arrives by another path is rejected as a merged request.
  Peer other = gateway(GetParam());
  other.send(invite(other, GetParam()));
  wait_to_receive(other, "SIP/2.0 482");
  EXPECT_EQ(count(server.received(), "offer"), 1u);
}

TEST_P(SipTransports, TheAnswerIsRepeatedUntilTheAckAndWithoutOneTheCallIsEnded) {
  Peer peer = gateway(GetParam());
  peer.send(invite(peer, GetParam()));
  const std::string call = offered_call();
  server.send(line("accept", call, "\"desc\":\"s\""));
  wait_until([&] { return count(peer.received(), "SIP/2.0 200") >= 3; }, "retransmitted answers");
  if (GetParam() == TransportKind::tcp) peer.send("");  // nothing listens at the Contact of this TCP gateway
  wait_to_receive(server, "{\"op\":\"end\",\"call\":\"" + call + "\"");
  if (GetParam() == TransportKind::udp) wait_to_receive(peer, "BYE sip:");
}

TEST_P(SipTransports, AnAckStopsAnswerRetransmissionAndAByeEndsTheCall) {
  Peer peer = gateway(GetParam());
  std::string call;
  const std::string tag = establish_sip_call(peer, GetParam(), &call);
  run_passes(80);
  EXPECT_EQ(peer.received(), "") << "the answer was retransmitted after its ACK";
  peer.send(request(peer, GetParam(), "BYE", 2, "b1", {}, {}, tag));
  wait_to_receive(peer, "SIP/2.0 200");
  wait_to_receive(server, "{\"op\":\"end\",\"call\":\"" + call + "\"");
  peer.send(request(peer, GetParam(), "BYE", 3, "b2", {}, {}, tag));
  wait_to_receive(peer, "SIP/2.0 481");
}

TEST_F(Sip, TheServersReleaseBecomesAByeThatIsRepeatedUntilItsResponse) {
  Peer peer = gateway(TransportKind::udp);
  std::string call;
  const std::string tag = establish_sip_call(peer, TransportKind::udp, &call);
  server.send(line("end", call, "\"why\":16"));
  wait_until([&] { return count(peer.received(), "BYE sip:gw@") >= 2; }, "a retransmitted BYE");
  const std::string bye = peer.take_received();
  EXPECT_NE(bye.find("From: <sip:7f@lab>;tag=" + tag), std::string::npos);
  EXPECT_NE(bye.find("To: <sip:gw@lab>;tag=g\r\n"), std::string::npos);
  const auto via = bye.find("Via: ");
  peer.send("SIP/2.0 200 OK\r\n" + bye.substr(via, bye.find("Max-Forwards") - via) + "\r\n");
  wait_until([&] { return sip_front->idle(); }, "the end of the BYE transaction");
}

// RFC 3261, section 15: the callee sends no BYE before the ACK has confirmed the dialog.
TEST_F(Sip, ACallEndedBeforeItsAckGetsItsByeAfterTheAck) {
  Peer peer = gateway(TransportKind::udp);
  peer.send(invite(peer, TransportKind::udp));
  const std::string call = offered_call();
  server.send(line("accept", call, "\"desc\":\"s\"") + line("end", call, "\"why\":41"));
  wait_to_receive(peer, "SIP/2.0 200");
  run_passes(5);
  EXPECT_EQ(count(peer.received(), "BYE sip:"), 0u);
  peer.send(request(peer, TransportKind::udp, "ACK", 1, "a1", {}, {}, to_tag(peer.received())));
  wait_to_receive(peer, "BYE sip:");
}

TEST_P(SipTransports, ACancelEndsTheInviteAndTheAttempt) {
  Peer peer = gateway(GetParam());
  peer.send(invite(peer, GetParam()));
  const std::string call = offered_call();
  std::string cancel = request(peer, GetParam(), "CANCEL", 1, "i1");
  peer.send(cancel);
  wait_to_receive(peer, "SIP/2.0 487");
  EXPECT_NE(peer.received().find("SIP/2.0 200"), std::string::npos);
  wait_to_receive(server, "{\"op\":\"end\",\"call\":\"" + call + "\"");
  server.send(line("accept", call, "\"desc\":\"s\""));
  run_passes();
  EXPECT_EQ(count(peer.received(), "\r\nCSeq: 1 INVITE"),
            count(peer.received(), "SIP/2.0 100") + count(peer.received(), "SIP/2.0 487"));
}

// RFC 3261, section 18.2.2: the final answer goes to the address in the Via if the INVITE's connection is
// closed.
TEST_F(Sip, ALostTcpConnectionLeavesOneFinalAnswerAtTheViaAddress) {
  Listener via_listener;
  Peer peer = gateway(TransportKind::tcp);
  std::string first = invite(peer, TransportKind::tcp);
  const auto via = first.find(peer.address());
  first.replace(via, peer.address().size(), address_text(via_listener.address()));
  peer.send(first);
  const std::string call = offered_call();
  peer.reset();
  run_passes();
  EXPECT_EQ(count(server.received(), "\"op\":\"end\""), 0u) << "the lost connection ended the call";
  server.send(reply("end", call, "\"why\":17", "\"note\":\"occupied\""));
  Peer reconnected;
  wait_until([&] { return static_cast<bool>(reconnected = via_listener.accept()); },
             "a connection to the Via's address");
  wait_to_receive(reconnected, "SIP/2.0 500");
  // The new connection accepts requests like any other.
  reconnected.send(request(reconnected, TransportKind::tcp, "OPTIONS", 9, "o1"));
  wait_to_receive(reconnected, "SIP/2.0 200");
  EXPECT_EQ(count(reconnected.received(), "SIP/2.0 500"), 1u);
}

// The processor time that this thread has used, of which other processes take nothing.
Duration processor_time() {
  timespec time{};
  ::clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
  return std::chrono::duration_cast<Duration>(std::chrono::seconds(time.tv_sec) +
                                              std::chrono::nanoseconds(time.tv_nsec));
}

// Guards against: the loop stands still when a peer has not read its answers, and again when it ends, since
// each answer is compared with all others, once more for those that are sent again to the Via's address.
TEST_F(Sip, AnswersThatAPeerDoesNotReadHoldUpNobody) {
  Listener via_listener;
  Peer peer = gateway(TransportKind::tcp);
  const int buffer = 4096;
  ::setsockopt(peer.descriptor(), SOL_SOCKET, SO_RCVBUF, &buffer, sizeof buffer);
  Duration longest_pass{};
  const auto pass = [&] {
    const Duration before = processor_time();
    loop.pass(milliseconds(1));
    longest_pass = std::max(longest_pass, processor_time() - before);
  };
  std::string left;
  for (int number = 10000, refused = 0; refused < 100;) {  // until the peer is not read any more
    if (left.empty()) {
      left = request(peer, TransportKind::tcp, "OPTIONS", 1, "o" + std::to_string(++number));
      left.replace(left.find(peer.address()), peer.address().size(), address_text(via_listener.address()));
    }
    const ssize_t sent = ::send(peer.descriptor(), left.data(), left.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
    if (sent > 0) left.erase(0, static_cast<std::size_t>(sent));
    refused = sent > 0 ? 0 : refused + 1;
    if (sent < 0) pass();
  }
  peer.reset();
  Peer again;
  for (int i = 0; i < 1000 && count(again.received(), "SIP/2.0 200") == 0; ++i) {
    if (!again) again = via_listener.accept();
    pass();
  }
  EXPECT_GE(count(again.received(), "SIP/2.0 200"), 1u);
  EXPECT_LT(longest_pass, std::chrono::seconds(1));
}

TEST_F(Sip, AFailureIsRepeatedOverUdpUntilItsAck) {
  Peer peer = gateway(TransportKind::udp);
  peer.send(invite(peer, TransportKind::udp, "X-Call-Class: no-such\r\n"));
  wait_until([&] { return count(peer.received(), "SIP/2.0 500") >= 2; }, "a retransmitted failure response");
  peer.send(request(peer, TransportKind::udp, "ACK", 1, "i1", {}, {}, "x"));
  run_passes(5);
  peer.take_received();
  run_passes(100);
  EXPECT_EQ(peer.received(), "");
}

TEST_F(Sip, UnsupportedRequestsGetTheStatusThatRfc3261Requires) {
  const auto kind = TransportKind::udp;
  Peer peer = gateway(kind);
  const auto expect_status = [&](const std::string& bytes, const std::string& status) {
    peer.take_received();
    peer.send(bytes);
    wait_to_receive(peer, "SIP/2.0 " + status);
  };
  expect_status(request(peer, kind, "OPTIONS", 1, "1"), "200");
  EXPECT_NE(peer.received().find("Allow: INVITE, ACK, CANCEL, BYE, OPTIONS"), std::string::npos);
  expect_status(request(peer, kind, "REGISTER", 1, "2"), "405");
  expect_status(request(peer, kind, "JUMP", 1, "3"), "501");
  expect_status(request(peer, kind, "BYE", 1, "4", {}, {}, "nobody"), "481");
  expect_status(request(peer, kind, "CANCEL", 1, "5"), "481");
  expect_status(request(peer, kind, "INVITE", 1, "6", "Require: 100rel\r\n"), "420");
  EXPECT_NE(peer.received().find("Unsupported: 100rel"), std::string::npos);
  expect_status(request(peer, kind, "INVITE", 1, "7", "Content-Type: text/plain\r\n", "x"), "415");
  const auto modified_invite = [&](const std::string& branch, const std::string& from,
                                   const std::string& to) {
    std::string bytes = request(peer, kind, "INVITE", 1, branch);
    return bytes.replace(bytes.find(from), from.size(), to);
  };
  expect_status(modified_invite("8", "sip:7f3a", "http:7f3a"), "416");
  expect_status(modified_invite("9", "SIP/2.0\r\n", "SIP/3.0\r\n"), "505");
  expect_status(modified_invite("10", "CSeq: 1 INVITE", "CSeq: one"), "400");
  expect_status(modified_invite("11", "sip:7f3a9c21e0b4d655@", "sip:"), "484");
  EXPECT_EQ(server.received(), "");
}

TEST_F(Sip, MessagesOnAStreamAreFramedByTheirLengthAndMalformedOnesCloseIt) {
  Peer peer = gateway(TransportKind::tcp);
  const std::string two = "\r\n\r\n" +
                          request(peer, TransportKind::tcp, "OPTIONS", 1, "1", {}, "body\r\n\r\n") +
                          request(peer, TransportKind::tcp, "OPTIONS", 2, "2");
  peer.send(two.substr(0, two.size() - 9));
  wait_to_receive(peer, "CSeq: 1 OPTIONS");
  peer.send(two.substr(two.size() - 9));
  wait_to_receive(peer, "CSeq: 2 OPTIONS");
  peer.send("NONSENSE\r\n\r\n");
  wait_until([&] { return peer.ended(); }, "the close");
}

// A connection with an incomplete message and a connection without any message are closed, as on the port of
// the binary protocol. An INVITE whose body is not valid UTF-8 fails at the front, since no setup server can
// read it; its connection stays open.
TEST_F(Sip, StalledConnectionsAreClosedAndInvalidTextFailsOnlyItsCall) {
  Peer incomplete = gateway(TransportKind::tcp), silent = gateway(TransportKind::tcp);
  Peer good = gateway(TransportKind::tcp);
  incomplete.send(invite(incomplete, TransportKind::tcp).substr(0, 100));
  good.send(
      request(good, TransportKind::tcp, "INVITE", 1, "i1", "Content-Type: application/sdp\r\n", "\xff\xfe"));
  wait_to_receive(good, "SIP/2.0 500 ");
  wait_until([&] { return incomplete.ended() && silent.ended(); }, "the close of both stalled connections");
  EXPECT_FALSE(good.ended());
  EXPECT_EQ(server.received(), "");
}

// At the limit of connections the one that has been idle for longest is closed for a new one, and its call
// still gets its answer.
TEST_F(Sip, TheIdlestConnectionIsClosedAtTheLimitAndItsCallIsAnswered) {
  sip::FrontConfig config;
  config.listening.tcp = any_port();
  config.default_class = "voice";
  config.max_connections = 2;
  sip_front = std::make_unique<sip::SipFront>(loop, log, *planner, config, 7);
  Listener via_listener;
  Peer silent = gateway(TransportKind::tcp);
  std::string first = invite(silent, TransportKind::tcp);
  first.replace(first.find(silent.address()), silent.address().size(), address_text(via_listener.address()));
  silent.send(first);
  const std::string call = offered_call();
  Peer next = gateway(TransportKind::tcp);
  wait_until([&] { return silent.ended(); }, "the close of the idle connection");
  next.send(request(next, TransportKind::tcp, "OPTIONS", 1, "o1"));
  wait_to_receive(next, "SIP/2.0 200");
  server.send(reply("end", call, "\"why\":17", "\"note\":\"occupied\""));
  Peer reconnected;
  wait_until([&] { return static_cast<bool>(reconnected = via_listener.accept()); },
             "a connection to the Via's address");
  wait_to_receive(reconnected, "SIP/2.0 500");
}

// Two fronts on one UDP port would receive each other's datagrams without any error.
TEST_F(Sip, AUdpPortInUseIsNotShared) {
  sip::FrontConfig config;
  config.listening.udp = sip_front->address(TransportKind::udp);
  EXPECT_THROW(sip::SipFront(loop, log, *planner, config, 8), std::system_error);
}

// Dialogs do not survive the process, so at a stop their calls are ended at the gateway and at the setup
// server.
TEST_F(Sip, EndAllCallsEndsEveryCallOnBothSides) {
  Peer peer = gateway(TransportKind::udp);
  std::string call;
  establish_sip_call(peer, TransportKind::udp, &call);
  sip_front->end_all_calls();
  wait_to_receive(peer, "BYE sip:");
  wait_to_receive(server, "{\"op\":\"end\",\"call\":\"" + call + "\"");
  EXPECT_EQ(sip_front->dialogs(), 0u);
}

// A gateway sets up a call over TLS with a certificate file as the ACME client writes it. A changed file is
// reloaded without a restart; a file that cannot be used leaves the previous certificate in use.
TEST_F(Sip, CallsWorkOverTlsAndAChangedCertificateFileIsReloaded) {
  const std::string file =
      (std::filesystem::temp_directory_path() / ("sip-" + std::to_string(::getpid()) + ".pem")).string();
  const auto first = certificate_for("127.0.0.1"), second = certificate_for("127.0.0.1");
  acme::replace_file(file, first);
  sip::FrontConfig config;
  config.listening.tls = any_port();
  config.listening.tls_certificate = file;
  config.default_class = "voice";
  sip_front = std::make_unique<sip::SipFront>(loop, log, *planner, config, 7);

  std::unique_ptr<SSL_CTX, tls::OpenSslDeleter> context(SSL_CTX_new(TLS_client_method()));
  Peer peer = gateway(TransportKind::tls);
  auto session = sip::TlsSession::connecting(context.get(), "127.0.0.1");
  std::string output;
  const auto exchange_data = [&] {
    peer.send(session->take_ciphertext());
    EXPECT_TRUE(session->feed(peer.take_received()));
    peer.send(session->take_ciphertext());
    output += session->take_plain();
  };
  session->write(invite(peer, TransportKind::tls));
  wait_until([&] { return exchange_data(), server.received().find("offer") != std::string::npos; },
             "the offer");
  server.send(line("accept", offered_call(), "\"desc\":\"s=1\\r\\n\""));
  wait_until([&] { return exchange_data(), output.find("s=1\r\n") != std::string::npos; }, "the answer");
  EXPECT_NE(output.find(";transport=tls>"), std::string::npos);
  session->write("NONSENSE\r\n\r\n");
  peer.send(session->take_ciphertext());
  wait_until([&] { return peer.ended(); }, "the close");

  sip::TlsContext server_context(log, nullptr, file, file);
  const std::string before = handshake(server_context.server(), "").certificate;
  EXPECT_EQ(before, acme::fingerprint(acme::first_certificate(first)));
  acme::replace_file(file, "no certificate");
  server_context.reload_if_changed();
  EXPECT_EQ(handshake(server_context.server(), "").certificate, before)
      << "an unusable file replaced the certificate";
  acme::replace_file(file, second);
  server_context.reload_if_changed();
  EXPECT_EQ(handshake(server_context.server(), "").certificate,
            acme::fingerprint(acme::first_certificate(second)));
  std::filesystem::remove(file);
}

TEST(SipMessage, CompactFormsAndFoldedLinesAreRead) {
  const std::string head =
      "INVITE sip:1@h SIP/2.0\r\nv: SIP/2.0/UDP a;branch=z9hG4bKx, SIP/2.0/TCP b:99;branch=z9hG4bKy\r\n"
      "f: \"A, \\\"B\\\"\" <sip:a@b;x=1>;tag=t\r\nt:\r\n <sip:1@h>\r\ni: id\r\ncseq:  7   INVITE\r\n"
      "Subject: one\r\n\ttwo\r\nl: 0\r\n\r\n";
  ASSERT_EQ(sip::head_length(head), head.size());
  EXPECT_EQ(sip::content_length(head), 0);
  const auto message = sip::Message::parse(head, "");
  ASSERT_TRUE(message);
  ASSERT_EQ(message->values("Via").size(), 2u);
  EXPECT_EQ(sip::parse_via(message->values("Via")[1])->port, 99);
  EXPECT_EQ(sip::tag_of(message->header("From")), "t");
  EXPECT_EQ(sip::uri_of(message->header("From")), "sip:a@b;x=1");
  EXPECT_EQ(message->header("To"), "<sip:1@h>");
  EXPECT_EQ(message->header("Subject"), "one two");
  EXPECT_EQ(sip::parse_cseq(message->header("CSeq"))->number, 7u);
  for (std::size_t size = 0; size < head.size(); ++size) {
    EXPECT_FALSE(sip::Message::parse(std::string_view(head).substr(0, size), "") && size < head.size() - 2)
        << size;
  }
}

TEST(SipConfiguration, IsParsedAndInvalidValuesAreRejected) {
  const auto config =
      sip::parse_front_config("udp = \"127.0.0.1:5060\"\nt1_ms = 20\ndefault_class = \"voice\"\n");
  EXPECT_TRUE(config.listening.udp);
  EXPECT_FALSE(config.listening.tcp);
  EXPECT_EQ(config.timers.t1, milliseconds(20));
  for (const char* bad : {"", "udp = 1", "udp = \"x\"", "udp = ", "udp = \"127.0.0.1:1\"\nt1_ms = 0"}) {
    EXPECT_THROW(sip::parse_front_config(bad), ConfigError) << bad;
  }
}

}  // namespace
}  // namespace quartzarch::test
