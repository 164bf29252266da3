// Tests of the adapter to the simulator: frames of its binary protocol in, frames out, and the errors for
// malformed ones.
#include <gtest/gtest.h>

#include "session.hpp"

namespace quartzarch::wire {
namespace {

constexpr std::string_view kSettings = R"({"n_instances": 4, "quantum": 5.0, "new key": [1, {"x": null}],
  "contract": {"cold": 14000.0, "cold_from": 0.33, "drain_grace": 1000.0, "fall": 1000.0, "fall_multiple": 4.0,
               "grace_to_answer": 20.0},
  "limits": {"attempts_cap": 5, "cancelling": true, "max_retry_after": 2000.0, "retry_after": true},
  "report": {"fields": ["free", "size", "busy", "q"], "how": "piggyback"},
  "request_classes": [{"aim": 2000.0, "deadline": 9000.0, "late_worth": 0.25, "value": 2.0,
                       "effect": "repeatable"}],
  "accounts": [{"name": "a", "quota_rps": 12.5, "portion": 0.5}],
  "specifics": {"class_cells": [[0, 1]], "release_guard": 200.0, "resend": 400.0, "self_no": -1}})";

std::string bytes_of(std::string_view hex) {
  std::string bytes;
  std::string digits;
  for (const char c : hex) {
    if (c == ' ') continue;
    digits += c;
    if (digits.size() == 2) {
      bytes += static_cast<char>(std::stoi(digits, nullptr, 16));
      digits.clear();
    }
  }
  return bytes;
}

std::string provision(std::uint16_t instance = 3, std::string_view settings = kSettings) {
  Writer out;
  out.put(std::uint8_t{1})
      .put(instance)
      .put(std::uint64_t{42})
      .put(static_cast<std::uint32_t>(settings.size()));
  return out.bytes() + std::string(settings);
}

// The example frames of the protocol's description.
const std::string kPage = bytes_of(
    "0b 00000000 02000000 0a124a07 c32b 00 00 0000 00 0000803f 0000000000000000"
    "0a9011f2 ec2b 01 00 0100 00 0000c03f 0000000000000000");
const std::string kUpdate = bytes_of("02 0300 02 29000000 00000000");
const std::string kRequest = bytes_of(
    "03 0300 c4913a5daadc0200 00 00000000 640ad2557c3bf091 0000000000006e40 0000000000002840 00000000 "
    "00009644"
    "00008043 01");
const std::string kWithdrawn = bytes_of("06 0300 c4913a5daadc0200");
const std::string kWake = bytes_of("07 0300 4d00000000000000");
const std::string kEnded = bytes_of(
    "05 0300 c4913a5daadc0200 0000000000803240 0200 0a124a07 c32b 0000 03000000 00 02 0000803f 0000803f");

class SimulatorProtocol : public ::testing::Test {
 protected:
  std::string reply_to(std::string_view records, std::uint32_t count, double clock = 58000.0) {
    BatchHeader header;
    header.number = number++;
    header.length = static_cast<std::uint32_t>(records.size());
    header.records = count;
    header.clock_ms = clock;
    return session.reply(header, records);
  }
  std::string error_for(std::string_view records, std::uint32_t count) {
    try {
      reply_to(records, count);
    } catch (const WireError& exception) {
      return exception.what();
    }
    return "none";
  }

  Session session;
  std::uint32_t number = 12;
};

struct Reply {
  std::uint32_t number, records, length;
  std::string rest;
  explicit Reply(const std::string& bytes) {
    Reader in(bytes);
    number = in.get<std::uint32_t>();
    records = in.get<std::uint32_t>();
    length = in.get<std::uint32_t>();
    rest = std::string(in.take(in.remaining()));
  }
};

TEST_F(SimulatorProtocol, EmptyBatchGetsTheReplyOfTheDescription) {
  const auto header = BatchHeader::parse(bytes_of("01000000 00000000 00000000 00000000206ec040"));
  EXPECT_EQ(header.clock_ms, 8412.25);
  EXPECT_EQ(session.reply(header, ""), bytes_of("01000000 00000000 00000000"));
}

TEST_F(SimulatorProtocol, RequestIsSentToTheServerOfItsFirstChoice) {
  const Reply reply(reply_to(provision() + kPage + kUpdate + kRequest, 4));
  EXPECT_EQ(reply.number, 12u);
  EXPECT_EQ(reply.length, reply.rest.size());
  ASSERT_GE(reply.records, 1u);
  EXPECT_EQ(reply.rest.substr(0, 25), bytes_of("41 0300 c4913a5daadc0200 0000000000000000 0a124a07 c32b"));
}

TEST_F(SimulatorProtocol, FullProcessorMovesTheCallToTheOtherServer) {
  reply_to(provision() + kPage + kUpdate + kRequest, 4);
  const Reply reply(reply_to(kEnded, 1, 58020.0));
  EXPECT_NE(reply.rest.find(bytes_of("41 0300 c4913a5daadc0200 0000000000000000 0a9011f2 ec2b")),
            std::string::npos);
  EXPECT_NE(reply.rest.find("server 10.18.74.7:11203: processor full"), std::string::npos);
}

TEST_F(SimulatorProtocol, PageNumbersAreResolvedInOrderOfEvents) {
  const auto other = bytes_of("0b 00000000 01000000 01020304 0500 00 00 0000 00 0000803f 0000000000000000");
  const Reply reply(reply_to(provision() + kPage + kUpdate + other + kRequest, 5));
  EXPECT_EQ(reply.rest.substr(0, 25), bytes_of("41 0300 c4913a5daadc0200 0000000000000000 0a124a07 c32b"));
}

TEST_F(SimulatorProtocol, RestartWithinABatchDropsHeldCalls) {
  reply_to(provision() + kRequest, 2);
  const Reply reply(reply_to(bytes_of("0a 0300") + provision() + kPage + kUpdate, 4));
  EXPECT_EQ(reply.records, 0u);
}

TEST_F(SimulatorProtocol, EventsForATerminatedInstanceAreIgnored) {
  reply_to(provision(), 1);
  const Reply reply(reply_to(bytes_of("0a 0300") + kRequest + kWake + kWithdrawn + kEnded +
                                 kUpdate.substr(0, 3) + bytes_of("03 00000000 00000000"),
                             6));
  EXPECT_EQ(reply.records, 0u);
}

TEST_F(SimulatorProtocol, InstancesOfOneProcessShareNoState) {
  auto for_other_instance = kRequest;
  for_other_instance[1] = 4;
  const Reply reply(reply_to(provision(3) + provision(4) + kPage + kUpdate + for_other_instance, 5));
  EXPECT_NE(reply.rest.substr(0, 1), bytes_of("41"));  // instance 4 has no server list: it holds the call
}

TEST_F(SimulatorProtocol, AllOtherEventsAreRead) {
  const auto started = bytes_of("04 0300 c4913a5daadc0200 0000 0a124a07 c32b 0000000000803240");
  const auto probed = bytes_of("08 0300 0000000000000000 0a124a07 c32b 0100 02 0000803f 0000803f");
  const auto heard = bytes_of("09 0300 0100 0400 68692037");
  const Reply reply(reply_to(provision() + kPage + kUpdate + started + probed + heard + kWake, 7));
  EXPECT_EQ(reply.records, 0u);
}

TEST_F(SimulatorProtocol, TruncatedRecordIsReported) {
  EXPECT_NE(error_for(kRequest.substr(0, 30), 1).find("ends inside a record"), std::string::npos);
}

TEST_F(SimulatorProtocol, EveryTruncationIsAnErrorAndNoCrash) {
  const auto complete = provision() + kPage + kUpdate + kRequest + kEnded;
  for (std::size_t length = 0; length < complete.size(); length += 3) {
    Session fresh;
    BatchHeader header;
    header.length = static_cast<std::uint32_t>(length);
    header.records = 5;
    EXPECT_THROW(fresh.reply(header, complete.substr(0, length)), WireError) << length;
  }
}

TEST_F(SimulatorProtocol, UnknownCodeIsReported) {
  EXPECT_NE(error_for(bytes_of("63 0300"), 1).find("unknown event code 99 at byte 0"), std::string::npos);
}

TEST_F(SimulatorProtocol, WrongRecordCountIsReported) {
  EXPECT_NE(error_for(kWake + kWake, 1).find("bytes are left"), std::string::npos);
  EXPECT_NE(error_for(kWake, 2).find("ends inside a record"), std::string::npos);
}

TEST_F(SimulatorProtocol, SettingsThatAreNotAJsonObjectAreReported) {
  EXPECT_NE(error_for(provision(3, "{nonsense"), 1).find("settings"), std::string::npos);
  EXPECT_NE(error_for(provision(3, "[1]"), 1).find("settings"), std::string::npos);
  EXPECT_NE(error_for(provision(3, R"({"quantum": "soon"})"), 1).find("settings"), std::string::npos);
}

TEST_F(SimulatorProtocol, UnknownServerListIsReported) {
  EXPECT_NE(error_for(provision() + kUpdate, 2).find("names list 0"), std::string::npos);
}

TEST(StartUpSettings, AreTranslatedUnknownKeysSkippedAbsentOnesDefaulted) {
  const StartUp start = parse_settings(kSettings);
  EXPECT_EQ(start.settings.instances, 4u);
  EXPECT_EQ(start.settings.resend, Duration{400000});
  EXPECT_EQ(start.settings.classes.at(0).worth, 2.0);
  EXPECT_EQ(start.settings.classes.at(0).pools, (std::vector<int>{0, 1}));
  EXPECT_EQ(start.settings.tenants.at(0).quota, 12.5);
  EXPECT_EQ(start.settings.max_retry_after, Duration{2000000});
  EXPECT_FALSE(start.settings.may_probe);
  EXPECT_EQ(start.report_fields.at(2), "busy");
  EXPECT_TRUE(parse_settings("{}").settings.classes.empty());
}

TEST(StartUpSettings, OutOfRangeTimesAreClamped) {
  EXPECT_EQ(from_ms(std::stod("nan")), Duration{0});
  EXPECT_EQ(from_ms(1e300), from_ms(1e250));
  EXPECT_GT(from_ms(1e300), Duration{0});
  EXPECT_LT(from_ms(-1e300), Duration{0});
}

}  // namespace
}  // namespace quartzarch::wire
