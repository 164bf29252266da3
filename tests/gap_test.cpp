// Tests of gap rules: pattern grammar, the index against a linear scan, the controls, callers that wait or
// retry early, heavy hitters and the control connection.
#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <cstdlib>

#include "control_service.hpp"
#include "front/sip/front.hpp"
#include "gap/sketch.hpp"
#include "gap/table.hpp"
#include "loopback.hpp"
#include "process.hpp"

namespace quartzarch::test {
namespace {

using gap::Address;
using gap::Call;
using gap::Rule;
using gap::Table;
using gap::Verdict;
using std::chrono::milliseconds;
using std::chrono::seconds;

const Time kNine = seconds(1796202000);  // Wednesday 2026-12-02 09:00 UTC
const Address kGateway = boost::asio::ip::make_address("10.2.0.7");

Rule rule(const std::string& id, const std::string& number, const std::string& control,
          const std::string& more = {}, int revision = 1) {
  return gap::parse_rule("{\"id\":\"" + id + "\",\"revision\":" + std::to_string(revision) +
                         ",\"number\":\"" + number + "\",\"control\":{" + control + "}" + more + "}");
}

Call call(std::string_view number, bool repeat = false, std::string_view call_class = "open",
          const Address& caller = kGateway) {
  return {number, call_class, caller, gap::FrontKind::binary, repeat};
}

Table table() { return Table(Table::Bounds{}, 1); }

std::string parse_error_of(const std::string& json) {
  try {
    gap::parse_rule(json);
    return {};
  } catch (const gap::RuleError& error) {
    return error.what();
  }
}

// ---- Patterns and rules

TEST(GapPattern, ParsesAndReportsTheColumnOfErrors) {
  const auto all = gap::parse_patterns("7f3a, 12*,4?6 , 1000..1999,*");
  ASSERT_EQ(all.size(), 5u);
  EXPECT_TRUE(all[0].matches("7f3a"));
  EXPECT_FALSE(all[0].matches("7f3a0"));
  EXPECT_TRUE(all[1].matches("12"));
  EXPECT_TRUE(all[1].matches("129"));
  EXPECT_TRUE(all[2].matches("4x6"));
  EXPECT_FALSE(all[2].matches("46"));
  EXPECT_TRUE(all[3].matches("1999"));
  EXPECT_FALSE(all[3].matches("2000"));
  EXPECT_FALSE(all[3].matches("10000"));
  EXPECT_TRUE(all[4].matches(""));
  for (std::size_t i = 0; i + 1 < all.size(); ++i)
    EXPECT_EQ(gap::parse_patterns(all[i].str())[0].rank(), all[i].rank());
  EXPECT_GT(all[0].rank(), all[3].rank());
  EXPECT_GT(all[3].rank(), all[2].rank());
  EXPECT_GT(all[2].rank(), all[1].rank());
  EXPECT_GT(all[1].rank(), all[4].rank());
  const std::pair<const char*, const char*> bad[] = {
      {"", "column 1: a number"},     {"12*,", "column 5: a number"},      {"12 34", "column 4: a comma"},
      {"1*2", "column 3: a comma"},   {"12..", "column 5: the upper end"}, {"20..19", "above its upper"},
      {"1..10", "different lengths"}, {"1?*", "cannot be combined"},       {"12,%", "column 4: a number"}};
  for (const auto& [text, about] : bad) {
    try {
      gap::parse_patterns(text);
      ADD_FAILURE() << text << " was accepted";
    } catch (const gap::PatternError& error) {
      EXPECT_NE(std::string(error.what()).find(about), std::string::npos) << text << ": " << error.what();
    }
  }
  EXPECT_TRUE(rc::check("hostile patterns and rules", [](const std::string& text) {
    try {
      gap::parse_patterns(text);
    } catch (const gap::PatternError&) {
    }
    parse_error_of(text);
    parse_error_of("{\"id\":\"" + text + "\",\"control\":{\"block\":true}}");
  }));
}

TEST(GapRule, RoundTripsThroughJsonAndErrorsNameTheKey) {
  const std::string json =
      R"({"id":"exam-9","revision":3,"number":"7f3*,1000..1999","class":["open"],"caller":["10.2.0.0/16","2001:db8::/32"],)"
      R"("front":"sip","try":"first","exempt_class":["exam"],"exempt_caller":["10.2.9.9/32"],"control":{"per_s":5,"burst":10},)"
      R"("start_s":1796202000.000000,"end_s":1796205600.000000,"weekly":["mon,wed 08:30-10:00","23:00-01:00"],"who":"ops","why":"exam"})";
  EXPECT_EQ(gap::to_json(gap::parse_rule(json)), json);
  const std::pair<const char*, const char*> bad[] = {
      {"[]", "not a JSON object"},
      {R"({"id":"a"})", "\"control\" is missing"},
      {R"({"id":"a b","control":{"block":true}})", "\"id\" may have"},
      {R"({"id":"a","control":{}})", "\"control\" is not an object"},
      {R"({"id":"a","control":{"interval_ms":0}})", "\"control.interval_ms\" is not within"},
      {R"({"id":"a","control":{"block":true,"per_s":1}})", "is a second control"},
      {R"({"id":"a","control":{"block":true,"burst":2}})", "\"control.burst\" is allowed only with"},
      {R"({"id":"a","control":{"block":true},"number":"1**"})", "\"number\" column 3"},
      {R"({"id":"a","control":{"block":true},"caller":["10.0.0.0/33"]})",
       "\"caller\" contains an invalid network"},
      {R"({"id":"a","control":{"block":true},"weekly":["mo 1:00-2:00"]})", "contains an unknown day: mo"},
      {R"({"id":"a","control":{"block":true},"start_s":5,"end_s":5})", "\"end_s\" is not after"},
      {R"({"id":"a","control":{"block":true},"what":1})", "\"what\" is unknown"},
      {R"({"id":"a","id":"b","control":{"block":true}})", "\"id\" appears twice"}};
  for (const auto& [text, about] : bad)
    EXPECT_NE(parse_error_of(text).find(about), std::string::npos) << parse_error_of(text);
}

// Compares the index with a scan over all patterns, including ranges and wildcards.
TEST(GapIndex, FindsTheSamePatternsAsAScan) {
  EXPECT_TRUE(rc::check("index against scan", [] {
    const auto digits = rc::gen::container<std::string>(rc::gen::elementOf(std::string("0123")));
    std::vector<gap::Pattern> patterns;
    const auto count = *rc::gen::inRange(1, 30);
    for (int i = 0; i < count; ++i) {
      std::string text = (*digits).substr(0, 5);
      if (text.empty()) text = "1";
      const auto kind = *rc::gen::inRange(0, 5);
      if (kind == 0) text += "*";
      if (kind == 1) text[text.size() / 2] = '?';
      if (kind == 2) text = "*";
      if (kind == 3) {
        std::string other = (*digits).substr(0, text.size());
        other.resize(text.size(), '2');
        text = std::min(text, other) + ".." + std::max(text, other);
      }
      patterns.push_back(gap::parse_patterns(text)[0]);
    }
    gap::Trie trie;
    for (std::size_t i = 0; i < patterns.size(); ++i) trie.add(patterns[i], static_cast<gap::Trie::Entry>(i));
    for (int i = 0; i < 20; ++i) {
      const std::string number = (*digits).substr(0, 6);
      std::vector<gap::Trie::Entry> found, scanned;
      trie.find(number, found);
      std::sort(found.begin(), found.end());
      found.erase(std::unique(found.begin(), found.end()), found.end());
      for (std::size_t each = 0; each < patterns.size(); ++each) {
        if (patterns[each].matches(number)) scanned.push_back(static_cast<gap::Trie::Entry>(each));
      }
      RC_ASSERT(found == scanned);
    }
  }));
}

// ---- Controls

// Offers ten times the allowance: calls pass at least one interval apart, and all others are refused with a
// retry delay.
TEST(GapTable, AnIntervalLimitsABurstAndALiftedRuleLetsAllPass) {
  Table gaps = table();
  EXPECT_EQ(gaps.announce(rule("g", "7f3a", "\"interval_ms\":200"), kNine), Table::AnnounceResult::taken);
  std::vector<Time> passed;
  int refused = 0;
  for (Time now = kNine; now < kNine + seconds(60); now += milliseconds(20)) {
    const Verdict verdict = gaps.offer(now, call("7f3a"));
    if (verdict.pass) {
      passed.push_back(now);
    } else {
      ++refused;
      EXPECT_EQ(verdict.rule, "g");
      EXPECT_GT(verdict.wait, Duration{0});
      EXPECT_LE(verdict.wait, seconds(2));
    }
    EXPECT_TRUE(gaps.offer(now, call("7f3b")).pass) << "another number was refused";
  }
  for (std::size_t i = 1; i < passed.size(); ++i) EXPECT_GE(passed[i] - passed[i - 1], milliseconds(200));
  const auto counts = gaps.counts("g");
  EXPECT_EQ(counts->offered, 3000u);
  EXPECT_EQ(counts->passed, passed.size());
  EXPECT_EQ(counts->refused, static_cast<unsigned>(refused));
  EXPECT_EQ(counts->offered, counts->passed + counts->refused);
  // No caller retried, and yet more than half of the allowance was used: unclaimed slots must not waste it.
  EXPECT_GT(passed.size(), 150u);
  EXPECT_TRUE(gaps.lift("g", 2, kNine + seconds(60)));
  for (int i = 0; i < 10; ++i) EXPECT_TRUE(gaps.offer(kNine + seconds(60), call("7f3a")).pass);
}

// Guards against a rule that rewards callers for ignoring the retry delay: callers that wait for their slot
// must not be served less than callers that retry every 20 ms.
TEST(GapTable, CallersThatWaitAreServedBeforeThoseThatRetryEarly) {
  Table gaps = table();
  gaps.announce(rule("g", "7f3a", "\"interval_ms\":100"), kNine);
  struct Caller {
    Address address{};
    bool pushes = false, served = false;
    Time next{};
    int tries = 0;
  };
  std::vector<Caller> callers;
  for (std::uint32_t i = 0; i < 40; ++i) {
    callers.push_back(
        {boost::asio::ip::address_v4(0x0a000000 + i), i % 2 == 1, false, kNine + milliseconds(i), 0});
  }
  std::vector<Time> patient, pushing;
  for (Time now = kNine; now < kNine + seconds(4); now += milliseconds(1)) {
    for (Caller& each : callers) {
      if (each.served || now < each.next) continue;
      const Verdict verdict = gaps.offer(now, call("7f3a", each.tries++ > 0, "open", each.address));
      each.served = verdict.pass;
      if (verdict.pass) (each.pushes ? pushing : patient).push_back(now);
      each.next = now + (each.pushes ? Duration(milliseconds(20)) : verdict.wait);
    }
  }
  const auto counts = gaps.counts("g");
  EXPECT_LE(patient.size() + pushing.size(), 41u);
  // Slots 100 ms apart within a wait of two seconds are enough for twenty callers; every patient caller with
  // a slot was served in it.
  EXPECT_GT(counts->kept, 15u);
  EXPECT_LT(counts->lapsed, 8u);
  EXPECT_GT(counts->early, 100u);
  std::sort(patient.begin(), patient.end());
  EXPECT_GE(patient.size() + 2, pushing.size()) << "retrying early was rewarded";
}

TEST(GapTable, OverlappingRulesMustAllAdmitAndTheMostSpecificRefusalIsNamed) {
  Table gaps = table();
  gaps.announce(rule("prefix", "7f*", "\"interval_ms\":100"), kNine);
  gaps.announce(rule("exact", "7f3a", "\"interval_ms\":1000"), kNine);
  gaps.announce(rule("tie-b", "88*", "\"block\":true"), kNine);
  gaps.announce(rule("tie-a", "88*", "\"block\":true"), kNine);
  EXPECT_EQ(gaps.offer(kNine, call("881")).rule, "tie-a");
  EXPECT_TRUE(gaps.offer(kNine, call("7f3a")).pass);
  EXPECT_EQ(gaps.offer(kNine + milliseconds(1), call("7f3a")).rule, "exact");
  EXPECT_EQ(gaps.offer(kNine + milliseconds(1), call("7f9")).rule, "prefix")
      << "the call that passed the exact rule was not counted against the prefix rule";
  // A call that the exact rule refused consumes nothing of the prefix rule's allowance.
  EXPECT_TRUE(gaps.offer(kNine + seconds(3), call("7f9")).pass);
  std::vector<std::string> asked;
  gaps.test(kNine + seconds(3), call("7f3a"), &asked);
  EXPECT_EQ(asked, (std::vector<std::string>{"exact", "prefix"}));
}

TEST(GapTable, ClassCallerFrontTryAndExemptionsNarrowARule) {
  Table gaps = table();
  gaps.announce(
      rule("a", "*", "\"block\":true",
           R"(,"caller":["10.2.0.0/16","2001:db8::/32"],"class":["open"],"exempt_caller":["10.2.9.0/24"])"),
      kNine);
  const auto at = [](const char* text) { return boost::asio::ip::make_address(text); };
  EXPECT_FALSE(gaps.offer(kNine, call("1", false, "open", at("10.2.0.1"))).pass);
  EXPECT_FALSE(gaps.offer(kNine, call("1", false, "open", at("::ffff:10.2.0.1"))).pass);
  EXPECT_FALSE(gaps.offer(kNine, call("1", false, "open", at("2001:db8::1"))).pass);
  EXPECT_TRUE(gaps.offer(kNine, call("1", false, "open", at("10.3.0.1"))).pass);
  EXPECT_TRUE(gaps.offer(kNine, call("1", false, "exam", at("10.2.0.1"))).pass);
  EXPECT_TRUE(gaps.offer(kNine, call("1", false, "open", at("10.2.9.1"))).pass);
  EXPECT_EQ(gaps.counts("a")->exempt, 1u);
  gaps.announce(rule("b", "5*", "\"block\":true", R"(,"try":"repeat","front":"sip")"), kNine);
  Call sip = call("55", true, "open", at("10.3.0.1"));
  EXPECT_TRUE(gaps.offer(kNine, sip).pass);
  sip.front = gap::FrontKind::sip;
  EXPECT_FALSE(gaps.offer(kNine, sip).pass);
  sip.repeat = false;
  EXPECT_TRUE(gaps.offer(kNine, sip).pass);
}

TEST(GapTable, APercentageCountsFirstTriesSoRedialsGainNothing) {
  Table gaps = table();
  gaps.announce(rule("g", "7", "\"percentage\":30"), kNine);
  int first = 0, again = 0;
  for (std::uint32_t i = 0; i < 1000; ++i) {
    const Address address = boost::asio::ip::address_v4(0x0a000000 + i);
    const Time now = kNine + milliseconds(i * 10);
    if (gaps.offer(now, call("7", false, "open", address)).pass) {
      ++first;
    } else {
      again += gaps.offer(now + milliseconds(5), call("7", true, "open", address)).pass ? 1 : 0;
    }
  }
  EXPECT_NEAR(first, 300, 2);
  EXPECT_EQ(again, 0);
}

TEST(GapTable, BurstsWeeklyWindowsExpiryAndAClockSetBack) {
  Table gaps = table();
  gaps.announce(
      rule("g", "7", "\"per_s\":10,\"burst\":5", R"(,"weekly":["wed 08:00-09:30"],"end_s":1796203200)"),
      kNine);
  int passed = 0;
  for (int i = 0; i < 20; ++i) passed += gaps.offer(kNine + seconds(10), call("7")).pass ? 1 : 0;
  EXPECT_EQ(passed, 5);
  // The clock is set back by an hour: no tokens accumulate.
  for (int i = 0; i < 20; ++i) passed += gaps.offer(kNine - seconds(3600), call("7")).pass ? 1 : 0;
  EXPECT_EQ(passed, 5);
  EXPECT_TRUE(gaps.expire(kNine + seconds(1000)).empty());
  EXPECT_EQ(gaps.expire(kNine + seconds(1200)), std::vector<std::string>{"g"});
  EXPECT_TRUE(gaps.offer(kNine + seconds(1200), call("7")).pass);
  gaps.announce(rule("w", "8", "\"block\":true", R"(,"weekly":["wed 23:00-01:00"])"), kNine);
  EXPECT_TRUE(gaps.offer(kNine + seconds(13 * 3600), call("8")).pass);
  EXPECT_FALSE(gaps.offer(kNine + seconds(14 * 3600), call("8")).pass);
  EXPECT_FALSE(gaps.offer(kNine + seconds(15 * 3600 + 1800), call("8")).pass) << "over midnight";
  EXPECT_TRUE(gaps.offer(kNine + seconds(16 * 3600), call("8")).pass);
}

TEST(GapTable, ARepeatedAnnouncementIsIgnoredAndOlderRevisionsNeverWin) {
  Table gaps = table();
  EXPECT_EQ(gaps.announce(rule("g", "7", "\"block\":true", "", 5), kNine), Table::AnnounceResult::taken);
  EXPECT_EQ(gaps.announce(rule("g", "7", "\"block\":true", "", 5), kNine), Table::AnnounceResult::same);
  EXPECT_EQ(gaps.announce(rule("g", "8", "\"block\":true", "", 4), kNine), Table::AnnounceResult::older);
  EXPECT_FALSE(gaps.lift("g", 5, kNine));
  EXPECT_FALSE(gaps.offer(kNine, call("7")).pass);
  EXPECT_TRUE(gaps.lift("g", 6, kNine));
  EXPECT_TRUE(gaps.offer(kNine, call("7")).pass);
  EXPECT_EQ(gaps.announce(rule("g", "7", "\"block\":true", "", 6), kNine), Table::AnnounceResult::older)
      << "a lifted rule came back";
  EXPECT_EQ(gaps.announce(rule("g", "7", "\"block\":true", "", 7), kNine), Table::AnnounceResult::taken);
  EXPECT_FALSE(gaps.offer(kNine, call("7")).pass);
}

// Property: whatever the calls, no second passes more than the rate plus the burst, and the counts add up.
TEST(GapTable, NoSecondExceedsTheAllowance) {
  EXPECT_TRUE(rc::check("the bound of a bucket", [] {
    const int rate = *rc::gen::inRange(1, 50), burst = *rc::gen::inRange(1, 10);
    Table gaps(Table::Bounds{}, 7);
    gaps.announce(rule("g", "7", "\"per_s\":" + std::to_string(rate) + ",\"burst\":" + std::to_string(burst)),
                  kNine);
    Time now = kNine;
    std::vector<Time> passed;
    for (int i = 0; i < 400; ++i) {
      now += milliseconds(*rc::gen::element(0, 1, 7, 50, 333));
      const Address caller =
          boost::asio::ip::address_v4(0x0a000000 + static_cast<std::uint32_t>(*rc::gen::inRange(0, 20)));
      if (gaps.offer(now, call("7", *rc::gen::arbitrary<bool>(), "open", caller)).pass) passed.push_back(now);
    }
    for (std::size_t i = 0; i < passed.size(); ++i) {
      std::size_t within = 0;
      for (std::size_t j = i; j < passed.size() && passed[j] < passed[i] + seconds(1); ++j) ++within;
      RC_ASSERT(within <= static_cast<std::size_t>(rate + burst));
    }
    const auto counts = gaps.counts("g");
    RC_ASSERT(counts->offered == counts->passed + counts->refused);
    RC_ASSERT(counts->passed == passed.size());
  }));
}

// A flood of distinct numbers under one rule: the number of slots stays bounded.
TEST(GapTable, AFloodOfNumbersDoesNotExhaustMemory) {
  Table::Bounds bounds;
  bounds.slots = 50;
  bounds.longest_wait = seconds(1000);
  Table gaps(bounds, 1);
  gaps.announce(rule("g", "*", "\"interval_ms\":100"), kNine);
  for (std::uint32_t i = 0; i < 2000; ++i) {
    const std::string number = std::to_string(i);
    gaps.offer(kNine + milliseconds(1), call(number, i % 3 == 0, "open", boost::asio::ip::address_v4(i)));
  }
  EXPECT_EQ(gaps.counts("g")->slots, 50u);
}

// ---- Heavy hitters

TEST(GapSketch, FindsTheHotNumberAmongAHundredThousandWithinTheErrorBound) {
  constexpr std::size_t kCounters = 200;
  gap::HeavyHitterWindow window(kCounters, 6, seconds(10));
  std::uint64_t hot = 0, all = 0;
  for (std::uint64_t i = 0; i < 200000; ++i) {
    const Time now = kNine + Duration(static_cast<std::int64_t>(i) * 200);
    const bool is_hot = i % 20 == 0;
    const std::string number = is_hot ? "7f3a" : std::to_string(i * 2654435761u % 100000);
    window.offered(now, number);
    if (is_hot) window.refused(now, number);
    hot += is_hot;
    ++all;
  }
  const Time end = kNine + seconds(39);
  const auto top = window.top(end, 3);
  ASSERT_FALSE(top.empty());
  EXPECT_EQ(top[0].number, "7f3a");
  EXPECT_GE(top[0].offered, hot);
  EXPECT_LE(top[0].offered - hot, top[0].error);
  EXPECT_LE(top[0].error, all / kCounters);
  EXPECT_GT(top[0].refused, hot * 9 / 10);
  EXPECT_TRUE(window.top(end + seconds(120), 3).empty())
      << "a number is still reported after its window has passed";
}

// ---- With the planner and the control connection

class GapControl : public Program {
 protected:
  GapControl() {
    std::string pattern = (std::filesystem::temp_directory_path() / "gap-XXXXXX").string();
    directory = ::mkdtemp(pattern.data());
    sip::FrontConfig config;
    config.listening.udp = config.listening.tcp = any_port();
    config.default_class = "voice";
    sip_front = std::make_unique<sip::SipFront>(loop, log, *planner, config, 7);
    start_service();
    open_server();
  }
  ~GapControl() override {
    service.reset();  // its writer may still write files there
    std::filesystem::remove_all(directory);
  }
  void start_service() {
    service.reset();
    ControlSettings settings;
    settings.listen = any_port();
    settings.directory = directory + "/control";
    service = std::make_unique<ControlService>(loop, log, *planner, settings, 1);
    operator_ = Peer::connect(service->address());
  }
  // Sends a command and returns its reply.
  std::string ask(const std::string& command) {
    operator_.send(command + "\n");
    std::string reply;
    wait_until([&] { return operator_.received().find('\n') != std::string::npos; }, command.c_str());
    return operator_.take_received();
  }
  std::string add(const std::string& rest) {
    return ask("{\"v\":1,\"op\":\"gap.add\",\"rule\":{\"id\":\"g\"," + rest + "}}");
  }
  std::string invite(const Peer& peer, const char* transport, const std::string& id) {
    return "INVITE sip:7f3a9c21e0b4d655@lab SIP/2.0\r\nVia: SIP/2.0/" + std::string(transport) + " " +
           peer.address() + ";branch=z9hG4bK" + id +
           "\r\nMax-Forwards: 70\r\nFrom: <sip:gw@lab>;tag=g\r\nTo: <sip:7f@lab>\r\nCall-ID: " + id +
           "\r\nCSeq: 1 INVITE\r\nContact: <sip:gw@" + peer.address() +
           ">\r\nX-First-Choice: 0\r\nContent-Type: application/sdp\r\nContent-Length: 5\r\n\r\nv=0\r\n";
  }

  std::string directory;
  std::unique_ptr<sip::SipFront> sip_front;
  std::unique_ptr<ControlService> service;
  Peer operator_;
};

// A gap applies on every front: the call is refused at once with a retry delay and never reaches a server.
// After the gap is lifted, calls pass.
TEST_F(GapControl, EveryFrontRefusesAlikeAndALiftedGapLetsAllPass) {
  EXPECT_NE(add(R"("number":"7f3a*","control":{"block":true})").find("\"ok\":true,\"taken\":1"),
            std::string::npos);
  Peer gateway = connect_caller(), udp = Peer::udp(sip_front->address(sip::TransportKind::udp)),
       tcp = Peer::connect(sip_front->address(sip::TransportKind::tcp));
  gateway.send(setup(0xaa, "d"));
  udp.send(invite(udp, "UDP", "u1"));
  tcp.send(invite(tcp, "TCP", "t1"));
  wait_to_receive(udp, "SIP/2.0 503");
  wait_to_receive(tcp, "SIP/2.0 503");
  wait_to_receive(udp, "Retry-After: ");
  wait_to_receive(tcp, "Retry-After: ");
  wait_until([&] { return gateway.received().size() >= 20; }, "the refusal");
  const std::string told = gateway.take_received();
  EXPECT_EQ(told[2], 12) << "no release";
  EXPECT_NE(told.find(std::string("\xd0\x00\x01", 3) + static_cast<char>(42)), std::string::npos);
  EXPECT_NE(told.find(std::string("\xc0\x00\x04", 3)), std::string::npos) << "no retry delay of four digits";
  EXPECT_EQ(server.received().find("offer"), std::string::npos);
  EXPECT_NE(ask(R"({"v":1,"op":"gap.list"})").find("\"offered\":3,\"passed\":0,\"refused\":3"),
            std::string::npos);
  EXPECT_NE(ask(R"({"v":1,"op":"gap.suggest"})").find("\"number\":\"7f3a9c21e0b4d655\",\"offered\":3"),
            std::string::npos);
  EXPECT_NE(ask(R"({"v":1,"op":"gap.test","number":"7f3a"})").find("\"refused_by\":\"g\""),
            std::string::npos);
  EXPECT_NE(ask(R"({"v":1,"op":"gap.lift","id":"g","who":"ops"})").find("\"lifted\":true"),
            std::string::npos);
  gateway.send(setup(0xbb, "d"));
  wait_to_receive(server, "00000000000000bb");
}

// A gap announced while a call waits for a server refuses that call, but not a call with an attempt in
// flight.
TEST_F(GapControl, AGapAnnouncedMeanwhileAppliesToHeldCalls) {
  Peer gateway = connect_caller();
  gateway.send(setup(0xaa, "d"));
  wait_to_receive(server, "00000000000000aa");
  planner->update_servers({2, true, {host(listener, 0, Availability::draining)}});
  gateway.send(setup(0xbb, "d"));
  run_passes();
  EXPECT_EQ(gateway.received(), "") << "the call is not held, so this test shows nothing";
  EXPECT_NE(add(R"("number":"7f*","control":{"block":true})").find("\"taken\":1"), std::string::npos);
  wait_until([&] { return !gateway.received().empty(); }, "the refusal");
  EXPECT_EQ(count(gateway.received(), std::string(7, '\0') + '\xbb'), 1u);
  EXPECT_EQ(count(gateway.received(), std::string(7, '\0') + '\xaa'), 0u);
  server.send(line("accept", "00000000000000aa", "\"desc\":\"s\""));
  wait_to_receive(gateway, binary(9, 0xaa, {{210, "s"}}));
  EXPECT_EQ(planner->pending_answers(), 0u);
}

TEST_F(GapControl, MalformedControlInputIsRejectedAndCallsGoOn) {
  const std::pair<const char*, const char*> bad[] = {
      {"what", "not a JSON object"},
      {"[]", "not a JSON object"},
      {R"({"op":"gap.list"})", "\\\"v\\\" is missing"},
      {R"({"v":2,"op":"gap.list"})", "version 2 is not supported"},
      {R"({"v":1,"op":"gap.what"})", "unknown command"},
      {R"({"v":1,"op":"gap.add"})", "is missing"},
      {R"({"v":1,"op":"gap.add","rule":{"id":"x","number":"1**","control":{"block":true}}})", "column 3"},
      {R"({"v":1,"op":"gap.add","rules":[{"id":"x","control":{"block":true}},{"id":"y"}]})", "rule 1: "},
      {R"({"v":1,"op":"gap.test","number":"1","caller":"nowhere"})", "is not an IP address"}};
  for (const auto& [command, about] : bad) {
    const std::string reply = ask(command);
    EXPECT_NE(reply.find("\"ok\":false"), std::string::npos) << command;
    EXPECT_NE(reply.find(about), std::string::npos) << reply;
  }
  EXPECT_EQ(service->gate().table().size(), 0u) << "part of a list was applied";
  // Ten thousand rules in one command, an incomplete line, and a client that sends requests without reading
  // replies.
  std::string rules;
  for (int i = 0; i < 10000; ++i) {
    rules += (i == 0 ? "" : ",") + std::string("{\"id\":\"r") + std::to_string(i) + "\",\"number\":\"" +
             std::to_string(1000000 + i) + "\",\"control\":{\"interval_ms\":200}}";
  }
  EXPECT_NE(ask("{\"v\":1,\"op\":\"gap.add\",\"rules\":[" + rules + "]}").find("\"taken\":10000"),
            std::string::npos);
  Peer half = Peer::connect(service->address()), deaf = Peer::connect(service->address());
  half.send("{\"v\":1,\"op\":\"gap.li");
  for (int i = 0; i < 40; ++i) {
    deaf.send("{\"v\":1,\"op\":\"gap.list\"}\n");
    loop.pass(milliseconds(1));
  }
  run_passes();
  Peer gateway = connect_caller();
  gateway.send(setup(0xaa, "d"));
  wait_to_receive(server, "00000000000000aa");
  half.send("ft\",\"id\":\"r1\"}\n");
  wait_to_receive(half, "\"lifted\":true");
}

// Guards against use of the service during its destruction: closing connections with unsent replies must not
// be reported to it as lost connections.
TEST_F(GapControl, ShutdownWithUnreadRepliesDoesNoHarm) {
  std::string rules;
  for (int i = 0; i < 3000; ++i) {
    rules += (i == 0 ? "" : ",") + std::string("{\"id\":\"r") + std::to_string(i) +
             "\",\"control\":{\"block\":true}}";
  }
  ask("{\"v\":1,\"op\":\"gap.add\",\"rules\":[" + rules + "]}");
  std::vector<Peer> gone;
  for (int i = 0; i < 4; ++i) gone.push_back(Peer::connect(service->address()));
  for (Peer& each : gone) {
    for (int i = 0; i < 12; ++i) each.send("{\"v\":1,\"op\":\"gap.list\"}\n");
  }
  run_passes(60);
  for (Peer& each : gone) each.reset();
  service.reset();
  Peer gateway = connect_caller();
  gateway.send(setup(0xaa, "d"));
  wait_to_receive(server, "00000000000000aa");
}

// A restarted instance has the rules in force, and lifted rules stay lifted, before it takes calls.
TEST_F(GapControl, RulesInForceSurviveARestartAndChangesAreAudited) {
  add(R"("number":"7*","control":{"block":true},"who":"ana","why":"exam at nine")");
  ask(R"({"v":1,"op":"gap.add","rule":{"id":"h","revision":5,"number":"8*","control":{"per_s":5,"burst":2}}})");
  ask(R"({"v":1,"op":"gap.lift","id":"h","who":"ben"})");
  start_service();
  EXPECT_EQ(service->gate().table().size(), 1u);
  EXPECT_FALSE(service->gate().table().test(loop.now(), call("7")).pass);
  EXPECT_NE(
      ask(R"({"v":1,"op":"gap.add","rule":{"id":"h","revision":6,"number":"8*","control":{"block":true}}})")
          .find("\"older\":1"),
      std::string::npos);
  const std::string audit = read_file(directory + "/control/audit.log");
  EXPECT_NE(
      audit.find(
          "\"what\":\"announced\",\"id\":\"g\",\"revision\":1,\"who\":\"ana\",\"why\":\"exam at nine\""),
      std::string::npos);
  EXPECT_NE(audit.find("\"what\":\"lifted\",\"id\":\"h\",\"revision\":6,\"who\":\"ben\""), std::string::npos);
}

TEST_F(Process, TheGapCommandsControlARunningInstance) {
  const sockaddr_in control = free_address();
  acme::replace_file(directory + "/control.toml", "listen = \"" + address_text(control) +
                                                      "\"\ndirectory = \"" + directory + "/control\"\n");
  start(config(), {"--control", directory + "/control.toml"});
  Peer server;
  wait_until([&] { return static_cast<bool>(server = listener.accept()); }, "its connection");
  wait_until_serving();
  const auto command = [&](std::vector<std::string> words, int wanted) {
    words.insert(words.begin(), "gap");
    words.insert(words.end(), {"--control", address_text(control)});
    EXPECT_EQ(exit_code_of(spawn(words, "output")), wanted) << read_file(directory + "/output");
    return read_file(directory + "/output");
  };
  command({"add", "nine", "--number", "7f3*", "--interval-ms", "60000", "--why", "exam", "--who", "ana"}, 0);
  Peer gateway = Peer::connect(address);
  gateway.send(setup(0xaa, "d"));
  wait_to_receive(server, "00000000000000aa");
  gateway.send(setup(0xbb, "d"));
  wait_to_receive(gateway, std::string(7, '\0') + '\xbb');
  EXPECT_NE(command({"list"}, 0).find("one every 60000 ms"), std::string::npos);
  EXPECT_NE(command({"test", "--number", "7f3b"}, 0).find("refused by nine"), std::string::npos);
  EXPECT_NE(command({"suggest"}, 0).find("7f3a9c21e0b4d655"), std::string::npos);
  EXPECT_NE(command({"add", "x", "--number", "1**", "--block"}, 2).find("column 3"), std::string::npos);
  EXPECT_NE(command({"watch", "--times", "1"}, 0).find("nine"), std::string::npos);
  command({"lift", "nine"}, 0);
  gateway.send(setup(0xcc, "d"));
  wait_to_receive(server, "00000000000000cc");
  ::kill(pid, SIGKILL);
  exit_code();
  EXPECT_NE(command({"list"}, 1).find("cannot connect to"), std::string::npos);
  acme::replace_file(directory + "/control.toml", "listen = \"10.0.0.1:1\"\n");
  start(config(), {"--control", directory + "/control.toml"});
  EXPECT_EQ(exit_code(), 2);
  EXPECT_NE(log().find("control.toml: line 1: \"listen\" is not a loopback address"), std::string::npos)
      << log();
}

}  // namespace
}  // namespace quartzarch::test

int main(int argc, char** argv) {
  ::setenv("RC_PARAMS", "seed=20261201", 1);  // the same cases in each run
  ::testing::InitGoogleTest(&argc, argv);
  return RUN_ALL_TESTS();
}
