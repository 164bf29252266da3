// The Via of responses, held against any Via that the grammar of RFC 3261 (25.1) allows in a request.
#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <cctype>

#include "front/sip/message.hpp"

namespace quartzarch::sip {
namespace {

constexpr int kSourcePort = 4711;
const std::string kSource = "192.0.2.7";

std::string white_space() { return *rc::gen::element<std::string>("", "", " ", "\t", "  "); }

std::string any_case(std::string name) {
  for (char& c : name) {
    if (*rc::gen::arbitrary<bool>()) c = static_cast<char>(std::toupper(static_cast<unsigned char>(c)));
  }
  return name;
}

std::string any_parameter(const std::string& name, const std::string& value) {
  const std::string named = white_space() + ";" + white_space() + any_case(name);
  return value.empty() ? named : named + white_space() + "=" + white_space() + value;
}

// The sent-protocol and the sent-by.
std::string any_beginning(const std::string& host, const std::string& port) {
  const std::string protocol = any_case("sip") + white_space() + "/" + white_space() + "2.0" + white_space() +
                               "/" + white_space() + *rc::gen::element<std::string>("UDP", "TCP", "TLS");
  const std::string colon = port.empty() ? "" : white_space() + ":" + white_space() + port;
  return protocol + " " + white_space() + host + colon;
}

// Guards against: a response whose Via the gateway cannot read or match, because a parameter of the request's
// Via was not found where it stood.
TEST(SipVia, IsCompletedWhereverItsParametersStandAndHoweverTheyAreWritten) {
  EXPECT_TRUE(rc::check("completed Via", [] {
    const std::string host =
        *rc::gen::element<std::string>("gw.lab.example", "10.0.0.4", kSource, "[2001:db8::9]");
    const std::string port = *rc::gen::element<std::string>("", "5060", "5070");
    const bool asks_for_port = *rc::gen::arbitrary<bool>();
    std::vector<std::string> parameters{any_parameter("branch", "z9hG4bKa1"), any_parameter("ttl", "16"),
                                        any_parameter("x-rport", ""),
                                        any_parameter("note", "\"a ;rport=1 \\\" ; RPORT, b\"")};
    if (asks_for_port) parameters.push_back(any_parameter("rport", ""));
    for (std::size_t i = parameters.size(); i > 1; --i)
      std::swap(parameters[i - 1], parameters[*rc::gen::inRange<std::size_t>(0, i)]);
    std::string via = any_beginning(host, port);
    for (const std::string& each : parameters) via += each;

    const std::string completed = completed_via(via, kSource, kSourcePort);
    const auto parsed = parse_via(completed);
    RC_ASSERT(parsed.has_value());
    RC_ASSERT(parsed->host == host);
    RC_ASSERT(parsed->port == (port.empty() ? 0 : std::stoi(port)));
    RC_ASSERT(parsed->branch == "z9hG4bKa1");
    for (const char* name : {"ttl", "x-rport", "note"})
      RC_ASSERT(parameter(completed, name) == parameter(via, name));
    const bool tells_address = asks_for_port || host != kSource;
    RC_ASSERT(parameter(completed, "received").has_value() == tells_address);
    RC_ASSERT(parameter(completed, "received").value_or(kSource) == kSource);
    RC_ASSERT(parameter(completed, "rport").has_value() == asks_for_port);
    RC_ASSERT(parameter(completed, "rport").value_or("4711") == "4711");
    // Nothing else was added.
    const std::size_t added = (tells_address ? (";received=" + kSource).size() : 0) + (asks_for_port ? 5 : 0);
    RC_ASSERT(completed.size() == via.size() + added);
  }));
}

TEST(SipVia, IsReadAsInTheExampleOfTheStandard) {
  const auto via = parse_via(
      "SIP / 2.0 / UDP first.example.com: 4000;ttl=16 ;maddr=224.2.0.1 ;branch=z9hG4bKa7c6a8dlze.1");
  ASSERT_TRUE(via);
  EXPECT_EQ(via->transport, "UDP");
  EXPECT_EQ(via->host, "first.example.com");
  EXPECT_EQ(via->port, 4000);
  EXPECT_EQ(via->branch, "z9hG4bKa7c6a8dlze.1");
}

// Guards against: the white space that a Via may have is taken in URIs, which may have none.
TEST(SipVia, ItsWhiteSpaceIsNotTakenInUris) {
  EXPECT_TRUE(parse_uri("sip:gw@10.0.0.4:5060"));
  EXPECT_FALSE(parse_uri("sip:gw@10.0.0.4: 5060"));
}

TEST(SipVia, OtherProtocolsAndMissingPartsAreNotTaken) {
  for (const char* bad : {"", "SIP", "SIP/2.0", "SIP/2.0/UDP", "SIP/2.0/UDP ;branch=x", "SIP/3.0/UDP a",
                          "XIP/2.0/UDP a", "SIP/2.0/UDP a:0", "SIP/2.0/UDP a:x"})
    EXPECT_FALSE(parse_via(bad)) << bad;
}

}  // namespace
}  // namespace quartzarch::sip
