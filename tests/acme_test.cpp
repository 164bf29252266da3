// Certificates: the decisions, the client and the keeper against the stand-in authority, and what goes wrong.
#include <rapidcheck.h>
#include <sys/resource.h>
#include <sys/stat.h>
#include <sys/wait.h>

#include "acme/json.hpp"
#include "gateway/gateway.hpp"
#include "handshake.hpp"
#include "installation.hpp"
#include "node/node.hpp"
#include "process.hpp"
#include "setup_server/setup_server.hpp"

namespace quartzarch::test {
namespace {

using acme::Advice;
using acme::Budget;
using acme::Failure;
using acme::Renewal;
using acme::Validity;

constexpr Instant kStart{Seconds(1800000000)};

std::vector<Budget> roomy() { return {Budget(1000, kHour), Budget(1000, kHour)}; }

// ---- The decisions

TEST(Renewal, IsDueAtARandomPointBeforeAThirdIsLeftAndTheAlarmsFollowTheLifetime) {
  for (const Seconds lifetime : {6 * kDay, 90 * kDay}) {
    const Validity held{kStart, kStart + lifetime};
    std::set<Instant> points;
    for (std::uint64_t seed = 0; seed < 100; ++seed) {
      const Renewal renewal({}, seed, 1);
      const Instant due = renewal.due_at(held);
      EXPECT_LE(due, held.ends - lifetime / 3);
      EXPECT_GE(due, held.ends - lifetime / 3 - lifetime / 10);
      EXPECT_EQ(due, renewal.due_at(held)) << "it moves from one look to the next";
      EXPECT_EQ(renewal.advise(due - Seconds(1), held, {}, roomy()).at, due);
      EXPECT_EQ(renewal.advise(due, held, {}, roomy()).action, Advice::Do::renew);
      points.insert(due);
    }
    EXPECT_GT(points.size(), 90u) << "installations renew in step";
    const Renewal renewal({}, 1, 1);
    const auto at = [&](double left) {
      return renewal.alarm(
          held.ends - Seconds(static_cast<std::int64_t>(left * static_cast<double>(lifetime.count()))), held);
    };
    EXPECT_EQ(at(0.9), Alarm::good);
    EXPECT_EQ(at(0.3), Alarm::due);
    EXPECT_EQ(at(0.2), Alarm::late);
    EXPECT_EQ(at(0.1), Alarm::critical);
    EXPECT_EQ(at(0), Alarm::expired);
    EXPECT_EQ(renewal.alarm(kStart, {}), Alarm::expired);
  }
}

TEST(Renewal, AWindowOfTheAuthorityGoesBeforeAndARetiredCertificateIsRenewedAtOnce) {
  const Validity held{kStart, kStart + 90 * kDay};
  Renewal renewal({}, 7, 1);
  renewal.window(kStart, acme::Window{kStart + 10 * kDay, kStart + 12 * kDay}, kHour);
  EXPECT_GE(renewal.due_at(held), kStart + 10 * kDay);
  EXPECT_LE(renewal.due_at(held), kStart + 12 * kDay);
  EXPECT_FALSE(renewal.wants_window(kStart + kHour - Seconds(1)));
  EXPECT_TRUE(renewal.wants_window(kStart + kHour));
  renewal.window(kStart, acme::Window{kStart - 2 * kDay, kStart - kDay}, {});
  EXPECT_EQ(renewal.advise(kStart, held, {}, roomy()).action, Advice::Do::renew);
  renewal.window(kStart, acme::Window{held.ends - kDay, held.ends}, {});
  EXPECT_LE(renewal.due_at(held), held.ends - held.lifetime() / 4)
      << "a window at the very end was waited for";
}

TEST(Renewal, WaitsGrowToHoursHonourRetryAfterAndKeepToTheLimits) {
  acme::Policy policy;
  const Validity held{kStart, kStart + 90 * kDay};
  Instant now = held.ends - 30 * kDay;
  Renewal renewal(policy, 3, 1);
  Seconds last{0};
  for (int i = 0; i < 12; ++i) {
    renewal.failed(now, 0, Failure::refused, {}, held);
    const Advice advice = renewal.advise(now, held, {}, roomy());
    ASSERT_EQ(advice.action, Advice::Do::wait);
    last = advice.at - now;
    EXPECT_LE(last, policy.longest_wait);
    now = advice.at;
  }
  EXPECT_GE(last, policy.longest_wait / 2);
  renewal.failed(now, 0, Failure::rate_limited, 9 * kHour, held);
  EXPECT_EQ(renewal.advise(now + 8 * kHour, held, {}, roomy()).at, now + 9 * kHour);
  renewal.failed(now, 0, Failure::rate_limited, 1000 * kDay, held);
  EXPECT_EQ(renewal.advise(now + kDay, held, {}, roomy()).action, Advice::Do::renew)
      << "put off without bound";

  // Rejections: no more within the hour, however short the waits.
  policy.longest_wait = policy.first_wait = Seconds(1);
  Renewal hasty(policy, 3, 1);
  int attempts = 0;
  for (Instant at = kStart; at < kStart + kHour; at += Seconds(10)) {
    if (hasty.advise(at, {}, {}, roomy()).action != Advice::Do::renew) continue;
    ++attempts;
    hasty.failed(at, 0, Failure::rejected, {}, {});
  }
  EXPECT_EQ(attempts, 4);
  // An account that has placed its orders holds all of its certificates back, but not an open order.
  std::vector<Budget> spent{Budget(1, kHour)};
  spent[0].spend(kStart);
  const Renewal fresh({}, 1, 1);
  EXPECT_EQ(fresh.advise(kStart, {}, {}, spent).at, kStart + kHour);
  EXPECT_EQ(fresh.advise(kStart, {}, 0, spent).action, Advice::Do::renew);
}

TEST(Renewal, AfterAStatedTimeTheSecondAuthorityTakesItsTurn) {
  acme::Policy policy;
  Renewal renewal(policy, 5, 2);
  std::map<std::size_t, int> asked, late;
  Instant now = kStart;
  for (int i = 0; i < 40; ++i) {
    const Advice advice = renewal.advise(now, {}, {}, roomy());
    if (advice.action == Advice::Do::wait) {
      now = advice.at;
      continue;
    }
    ++(now - kStart >= policy.fallback_after ? late : asked)[advice.authority];
    renewal.failed(now, advice.authority, Failure::unreachable, {}, {});
  }
  EXPECT_EQ(asked[1], 0);
  EXPECT_GT(late[1], late[0]);
  EXPECT_GT(late[0], 0) << "the first is forgotten";
  renewal.succeeded(now, 1);
  EXPECT_EQ(renewal.advise(now, {}, {}, roomy()).authority, 0u);
}

// Whatever the clock does, and whatever was kept: no wait is endless, no limit is passed.
TEST(Renewal, ClockJumpsDoNoHarm) {
  EXPECT_TRUE(rc::check("clock jumps", [] {
    acme::Policy policy;
    Renewal renewal(policy, *rc::gen::arbitrary<std::uint64_t>(), 2);
    Instant now = kStart;
    std::vector<Budget> accounts{Budget(5, 3 * kHour), Budget(5, 3 * kHour)};
    for (int i = 0; i < 60; ++i) {
      const auto jump =
          *rc::gen::element<std::int64_t>(1, 60, 3600, 86400, -86400, 365 * 86400, -365 * 86400);
      now += Seconds(jump);
      if (now < kStart) now = kStart;
      const Advice advice = renewal.advise(now, {}, {}, accounts);
      if (advice.action == Advice::Do::wait) {
        RC_ASSERT(advice.at > now);
        RC_ASSERT(advice.at - now <= policy.duplicates.span);
        continue;
      }
      accounts[advice.authority].spend(now);
      RC_ASSERT(accounts[advice.authority].spent(now) <= 5u);
      renewal.failed(now, advice.authority,
                     *rc::gen::element(Failure::refused, Failure::unreachable, Failure::rejected), {}, {});
    }
  }));
}

TEST(Problem, IsSaidInPlainWordsAndRetryAfterIsReadInBothForms) {
  const auto problem = acme::parse_problem(
      403,
      R"({"type":"urn:ietf:params:acme:error:compound","detail":"two things\nare wrong","subproblems":[)"
      R"({"type":"urn:ietf:params:acme:error:caa","detail":"not by us","identifier":{"type":"dns","value":"a.b"}}]})");
  EXPECT_EQ(problem.plain(),
            "the authority refuses (status 403): several things are wrong: two things are wrong [compound]; "
            "for a.b: "
            "the CAA record of the name forbids it: not by us [caa]");
  EXPECT_EQ(acme::parse_problem(502, "<html>").plain(), "the authority refuses (status 502)");
  EXPECT_EQ(acme::parse_problem(429, "{}").failure(), Failure::rate_limited);
  const Instant now = *acme::parse_timestamp("2026-12-01T10:00:00Z");
  EXPECT_EQ(acme::parse_retry_after("120", now), Seconds(120));
  EXPECT_EQ(acme::parse_retry_after("Tue, 01 Dec 2026 10:05:00 GMT", now), Seconds(300));
  EXPECT_EQ(acme::parse_retry_after("Tuesday, 01-Dec-26 09:00:00 GMT", now), Seconds(0)) << "a past date";
  EXPECT_GT(acme::parse_retry_after("99999999999999999999", now), kDay);
  EXPECT_FALSE(acme::parse_retry_after("soon", now));
  EXPECT_EQ(acme::parse_timestamp("2026-12-01T12:00:00.25+02:00"), now);
  EXPECT_TRUE(rc::check("hostile texts", [](const std::string& text) {
    acme::parse_problem(400, text).plain();
    acme::parse_retry_after(text, kStart);
    acme::parse_timestamp(text);
  }));
}

// ---- From nothing to a renewed certificate

TEST_F(Installation, ACertificateComesIsKeptAndIsRenewedWithANewKeyInTime) {
  Authority& there = authority();
  const auto keeper = this->keeper();
  const Instant begun = now();
  run(*keeper, begun + kHour);
  EXPECT_EQ(there.counts().certificates, 1);
  const std::string first = kept("sip.current.pem");
  EXPECT_EQ(handshake(registry->server(), "sip.lab.example").certificate,
            acme::fingerprint(acme::first_certificate(first)));
  struct stat info {};
  ASSERT_EQ(::stat((settings.directory + "/sip.current.pem").c_str(), &info), 0);
  EXPECT_EQ(info.st_mode & 0777, 0600u) << "others may read the private key";
  run(*keeper, begun + 50 * kDay);
  EXPECT_EQ(there.counts().orders, 1) << "ordered before it was due";
  Alarm worst = Alarm::good;
  run(*keeper, begun + 360 * kDay, [&] { worst = std::max(worst, keeper->standings()[0].alarm); });
  // At the earliest after 54 days, at the latest after 60.
  EXPECT_GE(there.counts().certificates, 6) << said();
  EXPECT_LE(there.counts().certificates, 7) << said();
  EXPECT_LE(worst, Alarm::due);
  EXPECT_EQ(there.counts().accounts, 1);
  const std::string last = kept("sip.current.pem");
  EXPECT_FALSE(acme::belongs_to(acme::first_certificate(last), acme::key_from_pem(first)))
      << "the key was kept";
  EXPECT_EQ(files_with(".key-"), 0u) << "the key of a finished order lies about";
  EXPECT_EQ(said().find("PRIVATE"), std::string::npos);
}

TEST_F(Installation, SeveralNamesRsaAndAnAlternateChainAndValidAuthorizationsAreNotDoneAgain) {
  Authority& there = authority();
  settings.certificates = {{"rsa", {"a.lab.example", "b.lab.example"}, "rsa-2048"},
                           {"ec", {"a.lab.example"}, "ecdsa-p256"}};
  settings.authorities[0].preferred_issuer = "Stand-in Root X2";
  const auto keeper = this->keeper();
  run(*keeper, now() + kHour);
  EXPECT_EQ(there.counts().certificates, 2) << said();
  EXPECT_EQ(there.counts().challenges, 2) << "a valid authorization was done again";
  const std::string pem = kept("rsa.current.pem");
  EXPECT_EQ(acme::issuer_of(acme::certificates_of(pem).back()), "Stand-in Root X2");
  EXPECT_TRUE(acme::names_all(acme::first_certificate(pem), settings.certificates[0].names));
  EXPECT_EQ(EVP_PKEY_get_base_id(acme::key_from_pem(pem).get()), EVP_PKEY_RSA);
}

TEST_F(Installation, AccountsAreBoundFoundAgainRolledOverAndDeactivated) {
  standin::Options options;
  options.external_keys = {{"kid-1", "0123456789abcdef"}};
  settings.policy.duplicates.most = 100;
  Authority& there = authority(options);
  {
    const auto keeper = this->keeper();
    EXPECT_NE(keeper->renew_now("sip").find("external account"), std::string::npos);
  }
  settings.authorities[0].access.external = acme::ExternalAccount{"kid-1", {}};
  settings.authorities[0].eab_key_file = folder.file("eab");
  acme::replace_file(folder.file("eab"), acme::base64url("0123456789abcdef") + "\n");
  const auto keeper = this->keeper();
  EXPECT_EQ(keeper->renew_now("sip"), "");
  std::string account;
  for (const std::string& each : files()) {
    if (each.starts_with("account-") && each.ends_with(".key.pem")) account = each;
  }
  const std::string before = kept(account);
  EXPECT_EQ(keeper->roll_over(0), "");
  EXPECT_NE(kept(account), before);
  EXPECT_EQ(keeper->renew_now("sip"), "");
  // Its record is lost: the account is found again by its key.
  for (const std::string& each : files()) {
    if (each.starts_with("account-") && each.ends_with(".json"))
      std::filesystem::remove(settings.directory + "/" + each);
  }
  EXPECT_EQ(keeper->renew_now("sip"), "");
  EXPECT_EQ(there.counts().accounts, 1);
  // A rollover that died after the authority had taken it: the fresh key is found to be the one.
  on_step = [](const char* what) {
    if (std::string(what) == "rolled over") throw std::runtime_error("killed");
  };
  EXPECT_EQ(keeper->roll_over(0), "killed");
  on_step = {};
  EXPECT_EQ(keeper->renew_now("sip"), "") << said();
  EXPECT_EQ(keeper->revoke("sip", 4), "");
  EXPECT_NE(keeper->revoke("sip", 4).find("revoked already"), std::string::npos);
  settings.authorities[0].access.contact = {"mailto:oncall@lab.example"};
  EXPECT_EQ(this->keeper()->change_contact(0), "");
  EXPECT_EQ(keeper->deactivate(0), "");
  EXPECT_EQ(keeper->renew_now("sip"), "");
  EXPECT_EQ(there.counts().accounts, 2) << "a deactivated account was used again";
}

TEST_F(Installation, TheAuthoritysWindowMovesTheRenewalForward) {
  standin::Options options;
  Authority& there = authority(options);
  const auto keeper = this->keeper();
  const Instant begun = now();
  run(*keeper, begun + kHour);
  const auto due = keeper->standings()[0].due;
  ASSERT_TRUE(due);
  EXPECT_GE(*due, begun + 50 * kDay);
  run(*keeper, begun + 62 * kDay);
  EXPECT_EQ(there.counts().certificates, 2);
}

// ---- Refusals

// Each fault, then none: a certificate comes in the end, and while it does not the old one is served.
class EachFault : public Installation, public ::testing::WithParamInterface<const char*> {};

INSTANTIATE_TEST_SUITE_P(
    Faults, EachFault,
    ::testing::Values("unreachable times=3", "silent times=2",
                      "rate_limited path=/order times=2 retry_after=7200",
                      "rate_limited path=/order times=2 retry_after=7200 date", "unavailable times=6",
                      "wrong_json path=/order times=2", "wrong_json path=/directory times=1",
                      "cut_json times=4", "stale_nonce times=4", "stale_nonce times=40", "stuck times=1",
                      "invalid_order times=1", "other_key times=1", "expired times=1", "short_chain times=1",
                      "cut_after_taken path=/finalize times=1", "cut_after_taken path=/order times=1",
                      "cut_after_taken path=/account times=1", "reject_challenge times=1"),
    [](const auto& each) {
      std::string name = std::string(each.param) + std::to_string(each.index);
      std::replace_if(
          name.begin(), name.end(), [](unsigned char c) { return std::isalnum(c) == 0; }, '_');
      return name;
    });

TEST_P(EachFault, IsSurvivedAndTheOldCertificateServesMeanwhile) {
  Authority& there = authority();
  settings.authorities[0].access.http_timeout = milliseconds(2000);
  settings.order_patience = 3 * kHour;
  const auto keeper = this->keeper();
  ASSERT_EQ(keeper->renew_now("sip"), "") << said();
  const std::string old = handshake(registry->server(), "").certificate;
  const Instant begun = now() + 60 * kDay;
  set(begun);
  there.add(standin::parse_fault_rule(GetParam(), begun));
  bool served = true;
  int orders = 0;
  run(*keeper, begun + kDay, [&] {
    served = served && !handshake(registry->server(), "").certificate.empty();
    orders = there.counts().orders - 1;
  });
  EXPECT_TRUE(served);
  EXPECT_NE(handshake(registry->server(), "").certificate, old) << said();
  const std::string fault = GetParam();
  const bool lost_for_good = fault.find("stuck") == 0 || fault.find("invalid") == 0 ||
                             fault.find("other") == 0 || fault.find("expired") == 0 ||
                             fault.find("short") == 0 || fault.find("reject") == 0;
  EXPECT_EQ(orders, lost_for_good ? 2 : 1) << "needless orders\n" << said();
  EXPECT_EQ(keeper->standings()[0].failures, 0u);
  EXPECT_EQ(files_with("aside"), 0u);
}

TEST_F(Installation, ADayOfRefusalsAndThenSuccess) {
  standin::Options options;
  options.lifetime = 5 * kDay;  // a third of it less a day: a quarter is passed, an eighth is not
  Authority& there = authority(options);
  const auto keeper = this->keeper();
  run(*keeper, now() + kHour);
  const std::string first = kept("sip.current.pem");
  Instant due = *keeper->standings()[0].due;
  run(*keeper, due - Seconds(1));
  there.add({Fault::unavailable, "", -1, due - Seconds(1), due + kDay});
  const int before = there.counts().orders;
  Alarm worst = Alarm::good;
  run(*keeper, due + kDay, [&] { worst = std::max(worst, keeper->standings()[0].alarm); });
  EXPECT_EQ(kept("sip.current.pem"), first);
  EXPECT_EQ(worst, Alarm::late);
  EXPECT_NE(said().find("ALARM certificate sip: late"), std::string::npos);
  run(*keeper, due + kDay + 7 * kHour);
  EXPECT_NE(kept("sip.current.pem"), first) << said();
  EXPECT_EQ(there.counts().orders, before + 1);
  EXPECT_EQ(keeper->standings()[0].alarm, Alarm::good);
}

TEST_F(Installation, RefusedUntilTheEndTheAlarmsComeInOrderAndLongBefore) {
  Authority& there = authority();
  const auto keeper = this->keeper();
  run(*keeper, now() + kHour);
  const Validity held = *keeper->standings()[0].validity;
  there.add({Fault::unavailable, "", -1, now(), Instant::max()});
  std::vector<std::pair<Alarm, Seconds>> seen;
  run(*keeper, held.ends + kDay, [&] {
    const Alarm alarm = keeper->standings()[0].alarm;
    if (seen.empty() || seen.back().first != alarm) seen.emplace_back(alarm, held.ends - now());
  });
  ASSERT_EQ(seen.size(), 5u);
  for (std::size_t i = 0; i < seen.size(); ++i) EXPECT_EQ(seen[i].first, static_cast<Alarm>(i));
  EXPECT_GE(seen[2].second, 22 * kDay);
  EXPECT_GE(seen[3].second, 11 * kDay);
  EXPECT_LE(seen[4].second, Seconds(0));
  EXPECT_NE(said().find("ALARM certificate sip: expired"), std::string::npos);
  // What is left is still served: a client may choose to take it.
  EXPECT_FALSE(handshake(registry->server(), "").certificate.empty());
}

TEST_F(Installation, ASecondAuthorityHelpsOutAndLimitsOfTheFirstAreKept) {
  settings.authorities.resize(2);
  standin::Options options;
  settings.policy.orders.most = 4;
  options.new_orders = {5, 3 * kHour};
  options.rejections = {5, kHour};
  options.duplicates = {5, 7 * kDay};
  Authority& first = authority(options);
  Authority& second = authority();
  first.add({Fault::reject_challenge, "", -1, Instant::min(), Instant::max()});
  const auto keeper = this->keeper();
  run(*keeper, now() + kDay);
  EXPECT_EQ(second.counts().certificates, 1) << said();
  EXPECT_EQ(first.counts().certificates, 0);
  EXPECT_EQ(said().find("rate limited"), std::string::npos) << "an authority's limit was run into\n"
                                                            << said();
}

TEST_F(Installation, AWrongClockOrdersNothing) {
  Authority& there = authority();
  const auto keeper = this->keeper();
  run(*keeper, now() + kHour);
  const std::string first = kept("sip.current.pem");
  const Instant begun = now();
  std::int64_t offset = 0;
  settings.directory = folder.file("certs");
  acme::Environment skewed = environment();
  skewed.now = [&] { return Instant(Seconds(time.load() + offset)); };
  acme::Keeper wrong(settings, log, registry, skewed);
  for (const std::int64_t each : {365 * 86400L, -86400L}) {
    offset = each;
    for (int i = 0; i < 20; ++i) {
      const Instant next = wrong.work();
      time += std::min<std::int64_t>(std::max<std::int64_t>((next - skewed.now()).count(), 1), 3600);
    }
  }
  EXPECT_EQ(there.counts().orders, 1) << said();
  EXPECT_EQ(kept("sip.current.pem"), first);
  offset = 0;
  run(wrong, begun + 80 * kDay);
  EXPECT_EQ(there.counts().orders, 2) << "the wrong clock left something behind\n" << said();
}

// ---- What is on disk

TEST_F(Installation, TornAndForeignFilesAreNamedAndPutAside) {
  Authority& there = authority();
  ASSERT_EQ(keeper()->renew_now("sip"), "");
  const std::string schedule = settings.directory + "/sip.schedule.json",
                    current = settings.directory + "/sip.current.pem";
  const std::string whole = read_file(schedule);
  acme::replace_file(schedule, whole.substr(0, whole.size() / 2));
  acme::replace_file(settings.directory + "/sip.order.json", "{\"url\":\"https://somewhere.example/\"}");
  acme::replace_file(current, read_file(current).substr(0, 400));
  const auto keeper = this->keeper();
  EXPECT_EQ(keeper->renew_now("sip"), "") << said();
  EXPECT_EQ(files_with("aside-1"), 3u);
  EXPECT_NE(said().find("sip.schedule.json: torn"), std::string::npos);
  EXPECT_NE(said().find("sip.order.json: not a record of this program"), std::string::npos);
  EXPECT_EQ(there.counts().certificates, 2);
}

TEST_F(Installation, FilesOfAnotherModeOwnerOrKindAreNotTrusted) {
  authority();
  ASSERT_EQ(keeper()->renew_now("sip"), "");
  const std::string current = settings.directory + "/sip.current.pem";
  ::chmod(current.c_str(), 0644);
  try {
    keeper();
    FAIL() << "a key that others may read was taken";
  } catch (const acme::StateError& error) {
    EXPECT_NE(std::string(error.what()).find("mode 0644"), std::string::npos);
  }
  ::chmod(current.c_str(), 0600);
  std::filesystem::rename(current, current + ".real");
  std::filesystem::create_symlink(current + ".real", current);
  EXPECT_THROW(keeper(), acme::StateError);
  std::filesystem::rename(current + ".real", current);
  if (::geteuid() == 0) {
    ASSERT_EQ(::chown(current.c_str(), 65534, 65534), 0);
    EXPECT_THROW(keeper(), acme::StateError);
    ASSERT_EQ(::chown(current.c_str(), 0, 0), 0);
  }
  ::chmod(settings.directory.c_str(), 0755);
  EXPECT_THROW(keeper(), acme::StateError);
}

// Nothing can be written: no order is placed whose answer could not be kept, and the attempt that can
// succeeds.
TEST_F(Installation, AFullDiskStopsBeforeTheOrderAndLeavesTheOldFiles) {
  Authority& there = authority();
  const auto keeper = this->keeper();
  ASSERT_EQ(keeper->renew_now("sip"), "");
  const std::string before = kept("sip.current.pem");
  set(now() + 70 * kDay);
  rlimit old{};
  ::getrlimit(RLIMIT_FSIZE, &old);
  ::signal(SIGXFSZ, SIG_IGN);
  // The lease (a short file) still fits; orders, keys and chains do not.
  const rlimit none{200, old.rlim_max};
  std::fflush(log_file);
  std::FILE* const nowhere = std::fopen("/dev/null", "w");
  Logger quiet(nowhere);
  acme::Keeper starved(settings, quiet, registry, environment());
  ::setrlimit(RLIMIT_FSIZE, &none);
  for (int i = 0; i < 5; ++i) set(starved.work());
  ::setrlimit(RLIMIT_FSIZE, &old);
  EXPECT_EQ(there.counts().orders, 1);
  EXPECT_EQ(kept("sip.current.pem"), before);
  EXPECT_EQ(files_with(".new."), 0u) << "half a file was left";
  run(starved, now() + kDay);
  EXPECT_EQ(there.counts().orders, 2);
  EXPECT_NE(kept("sip.current.pem"), before);
  std::fclose(nowhere);
}

// A process of its own is killed with SIGKILL at step N of a renewal; the next one takes up the same order
// and key.
TEST_F(Installation, KilledAtAnyStepNoOrderIsLostOrDoubled) {
  standin::Options options;
  options.validation_attempts = 1000;  // it looks again while nobody answers (RFC 8555, 8.2)
  Authority& there = authority(options);
  const auto spawn = [&](int die_at) {
    const pid_t pid = ::fork();
    if (pid == 0) {
      const std::string at = std::to_string(die_at), clock = std::to_string(time.load());
      ::execl("/proc/self/exe", "acme", "--renew-and-die", settings.directory.c_str(),
              settings.authorities[0].access.directory.c_str(),
              settings.authorities[0].access.ca_file.c_str(), address_text(*settings.http01).c_str(),
              at.c_str(), clock.c_str(), nullptr);
      ::_exit(127);
    }
    int status = 0;
    ::waitpid(pid, &status, 0);
    return status;
  };
  int step = 1;
  for (;; ++step) {
    settings.directory = folder.file("certs-" + std::to_string(step));
    const auto before = there.counts();
    time += 60;
    const int status = spawn(step);
    if (WIFEXITED(status)) {
      EXPECT_EQ(WEXITSTATUS(status), 0);
      break;
    }
    ASSERT_EQ(WTERMSIG(status), SIGKILL);
    std::string key;  // of the open order, if it came so far
    for (const std::string& each : files()) {
      if (each.find(".key-") != std::string::npos) key = kept(each);
    }
    time += 60;  // the lease of the dead runs out
    const int second = spawn(0);
    ASSERT_TRUE(WIFEXITED(second) && WEXITSTATUS(second) == 0) << "step " << step;
    EXPECT_EQ(there.counts().orders - before.orders, 1) << "step " << step;
    EXPECT_EQ(there.counts().certificates - before.certificates, 1) << "step " << step;
    EXPECT_LE(there.counts().accounts - before.accounts, 1) << "step " << step;
    const std::string current = kept("sip.current.pem");
    EXPECT_TRUE(acme::belongs_to(acme::first_certificate(current), acme::key_from_pem(current)));
    if (!key.empty()) {
      EXPECT_TRUE(acme::belongs_to(acme::first_certificate(current), acme::key_from_pem(key)))
          << "another key after step " << step;
    }
    EXPECT_EQ(files_with(".order.json") + files_with(".key-") + files_with("aside"), 0u) << "step " << step;
  }
  EXPECT_GT(step, 15);
}

// ---- Several instances

TEST_F(Installation, OfTwoThatWakeTogetherOneRenewsAndBothServeIt) {
  Authority& there = authority();
  const auto other_registry = std::make_shared<tls::Registry>();
  acme::Keeper a(settings, log, registry, environment()), b(settings, log, other_registry, environment());
  std::jthread first([&] { a.work(); }), second([&] { b.work(); });
  first.join();
  second.join();
  a.look();
  b.look();
  EXPECT_EQ(there.counts().orders, 1) << said();
  const std::string served = handshake(registry->server(), "sip.lab.example").certificate;
  EXPECT_FALSE(served.empty());
  EXPECT_EQ(handshake(other_registry->server(), "sip.lab.example").certificate, served);
}

// The holder of the lease stops in the middle, another takes over; what the first does when it wakes up is
// fenced.
TEST_F(Installation, AHolderThatWakesUpLateChangesNothing) {
  Authority& there = authority();
  const auto other_registry = std::make_shared<tls::Registry>();
  acme::Environment plain = environment();
  plain.step = {};
  acme::Keeper b(settings, log, other_registry, plain);
  bool once = false;
  on_step = [&](const char* what) {
    if (std::string(what) != "fetched" || std::exchange(once, true)) return;
    EXPECT_GT(b.work(), now() + Seconds(1)) << "two held the lease";
    set(now() + settings.lease + Seconds(1));
    b.work();
  };
  acme::Keeper a(settings, log, registry, environment());
  a.work();
  EXPECT_NE(said().find("the lease went to another instance"), std::string::npos);
  EXPECT_EQ(there.counts().orders, 1) << said();
  EXPECT_EQ(there.counts().certificates, 1);
  a.look();
  EXPECT_EQ(handshake(registry->server(), "").certificate,
            handshake(other_registry->server(), "").certificate);
  EXPECT_EQ(files_with(".order.json") + files_with(".key-"), 0u);
}

// ---- On the SIP TLS port

TEST(Registry, ServesByNameSwapsForNewHandshakesAndTicketsDoNotOutliveACertificate) {
  standin::Ca ca(std::chrono::floor<Seconds>(std::chrono::system_clock::now()));
  const Instant now = std::chrono::floor<Seconds>(std::chrono::system_clock::now());
  const auto identity = [&](const std::string& name, Seconds left, std::string* print) {
    const acme::Key key = acme::new_key();
    const auto issued = ca.issue(key, {name}, {now - kDay, now + left});
    *print = acme::fingerprint(issued.leaf);
    return acme::pem_of(key).text() + issued.chains[0];
  };
  std::string a, b, fresh, spent;
  for (const int version : {TLS1_2_VERSION, TLS1_3_VERSION}) {
    tls::Registry registry;
    EXPECT_FALSE(handshake(registry.server(), "a.example", "", {}, version).done);
    registry.put("a", identity("a.example", kDay, &a));
    registry.put("b", identity("*.b.example", kDay, &b));
    EXPECT_EQ(handshake(registry.server(), "A.example", "", {}, version).certificate, a);
    EXPECT_EQ(handshake(registry.server(), "x.b.example", "", {}, version).certificate, b);
    EXPECT_EQ(handshake(registry.server(), "", "", {}, version).certificate, a);
    const auto one = handshake(registry.server(), "a.example", "", {}, version);
    const auto two = handshake(registry.server(), "x.b.example", "", {}, version);
    EXPECT_TRUE(handshake(registry.server(), "a.example", "", one.session, version).resumed);
    registry.put("a", identity("a.example", kDay, &fresh));
    const auto after = handshake(registry.server(), "a.example", "", one.session, version);
    EXPECT_FALSE(after.resumed) << "a ticket kept the old certificate alive";
    EXPECT_EQ(after.certificate, fresh);
    EXPECT_TRUE(handshake(registry.server(), "x.b.example", "", two.session, version).resumed);
    registry.put("a", identity("a.example", Seconds(-60), &spent));
    const auto expired = handshake(registry.server(), "a.example", "", {}, version);
    EXPECT_EQ(expired.certificate, spent);
    EXPECT_FALSE(handshake(registry.server(), "a.example", "", expired.session, version).resumed);
    EXPECT_THROW(registry.put("a", "nonsense"), tls::TlsError);
    EXPECT_EQ(handshake(registry.server(), "a.example", "", {}, version).certificate, spent);
    registry.answer_challenge("a.example", acme::challenge_identity("a.example", "token.print").view());
    EXPECT_EQ(handshake(registry.server(), "a.example", "acme-tls/1", {}, version).protocol, "acme-tls/1");
    EXPECT_EQ(handshake(registry.server(), "a.example", "sip", {}, version).certificate, spent);
    registry.end_challenge("a.example");
    EXPECT_EQ(handshake(registry.server(), "a.example", "acme-tls/1", {}, version).protocol, "");
  }
}

// Calls by SIP over TLS, on connections that stay and on new ones, while certificates are renewed by
// tls-alpn-01 on the same port again and again: none fails, and the new certificates are seen.
TEST_F(Installation, RenewalOnTheTlsPortUnderSteadyCallsFailsNone) {
  // The program's loop, the keeper and the gateways are on threads of their own.
  standin::SetupServer::Options server_options;
  server_options.listen = any_port();
  standin::SetupServer server(server_options);
  standin::Node::Options node_options;
  node_options.servers = {server.address()};
  node_options.listening.tls = any_port();
  node_options.listening.certificates = registry;
  standin::Node node(node_options, log);
  tls_alpn = node.address(sip::TransportKind::tls);
  settings.challenges = {"tls-alpn-01"};
  standin::Options options;
  options.authorization_lifetime = Seconds(0);
  Authority& there = authority(options);
  const auto keeper = this->keeper();
  ASSERT_EQ(keeper->renew_now("sip"), "") << said();
  std::atomic<int> calls = 0, failed = 0, renewed = 0;
  std::mutex mutex;
  std::set<std::string> seen;
  const auto call_on = [&](bool stays) {
    standin::Gateway gateway(
        {*tls_alpn, true, "sip.lab.example", there.root(), "voice", milliseconds(20000)});
    for (int i = 0; renewed < 3 || i < 3; ++i) {
      if ((!stays || !gateway.connected()) && !gateway.connect()) {
        ++failed;
        continue;
      }
      if (i == 0 || !stays) {
        const std::lock_guard lock(mutex);
        seen.insert(gateway.certificate());
      }
      const auto outcome = gateway.invite("7f3a");
      ++calls;
      if (outcome.status != 200 || gateway.bye(outcome, "7f3a") != 200) ++failed;
    }
  };
  std::jthread staying([&] { call_on(true); }), coming([&] { call_on(false); });
  for (int i = 0; i < 3; ++i) {
    const int before = calls;
    EXPECT_EQ(keeper->renew_now("sip"), "") << said();
    while (calls < before + 4) std::this_thread::sleep_for(milliseconds(1));
    ++renewed;
  }
  staying.join();
  coming.join();
  EXPECT_EQ(failed, 0);
  EXPECT_EQ(there.counts().certificates, 4);
  EXPECT_GE(seen.size(), 3u) << "new handshakes did not see the new certificates";
  EXPECT_EQ(server.counts().duplicate_offers, 0u);
}

// ---- Settings

TEST(AcmeSettings, AreCheckedWithLineAndKey) {
  const std::string good =
      "directory = \"certs\"\n[[authority]]\ndirectory = \"https://ca.example/d\"\n"
      "[[certificate]]\nid = \"sip\"\nnames = [\"sip.lab.example\"]\n";
  EXPECT_EQ(acme::parse_settings(good).certificates.size(), 1u);
  const auto complaint = [](const std::string& text) {
    try {
      acme::parse_settings(text);
      return std::string();
    } catch (const acme::SettingsError& error) {
      return std::string(error.what());
    }
  };
  const std::pair<std::string, const char*> bad[] = {
      {"directory = ", "line 1: no TOML"},
      {"direktory = \"x\"\n" + good, "line 1: \"direktory\" is unknown"},
      {good.substr(good.find('\n')), "\"directory\" is missing"},
      {good + "key = \"dsa\"\n", "line 7: \"certificate.key\" is none of"},
      {good + "[[certificate]]\nid = \"sip\"\nnames = [\"b.example\"]\n",
       "line 7: \"certificate.id\" is there twice"},
      {good + "[[certificate]]\nid = \"../x\"\nnames = [\"b.example\"]\n",
       "line 8: \"certificate.id\" may have"},
      {good + "[[certificate]]\nid = \"x\"\nnames = [\"b,DNS:c\"]\n",
       "line 9: \"certificate.names\" holds no host name"},
      {good + "[renewal]\nlate_share = 0.5\n", "line 7: \"renewal\" needs"},
      {good + "[renewal]\nfirst_wait_s = 0\n", "line 8: \"renewal.first_wait_s\" is not within 1 and 86400"},
      {"challenges = [\"dns-01\"]\n" + good, "line 1: \"challenges\" holds neither"},
      {"challenges = [\"http-01\"]\n" + good, "line 1: \"challenges\" has http-01, which needs"},
      {good + "[[authority]]\ndirectory = \"http://ca.example\"\n",
       "line 8: \"authority.directory\" is no https URL"},
      {good + "[[authority]]\ndirectory = \"https://x\"\neab_kid = \"k\"\n",
       "line 7: \"authority.eab_kid\" and"},
  };
  for (const auto& [text, about] : bad)
    EXPECT_NE(complaint(text).find(about), std::string::npos) << complaint(text);
  EXPECT_TRUE(rc::check("hostile settings", [&](const std::string& text) { complaint(good + text); }));
}

// ---- The program as a process

class CertsProcess : public Process {
 protected:
  // What `certs ...` prints; its exit code goes to `code`.
  std::string certs(std::vector<std::string> arguments, int* code) {
    arguments.insert(arguments.begin(), "certs");
    *code = exit_code_of(spawn(arguments, "certs-output"));
    return read_file(directory + "/certs-output");
  }
};

// Off, it costs nothing: no thread, no library. On, it obtains by tls-alpn-01 on its own port, takes a good
// file up by SIGHUP and keeps the old one after a bad one.
TEST_F(CertsProcess, KeepsItsCertificateInServiceAndTheCommandsTell) {
  const sockaddr_in tls_port = free_address();
  Authority::Config setup;
  setup.listen = any_port();
  setup.tls_alpn = tls_port;
  Authority there(setup);
  const std::string file = directory + "/certs.toml";
  const auto settings = [&](const std::string& names) {
    return "directory = \"" + directory + "/certs\"\npoll_ms = 20\n[[authority]]\ndirectory = \"" +
           there.directory() + "\"\nca_file = \"" + directory +
           "/roots\"\n[[certificate]]\nid = \"sip\"\nnames = " + names + "\n";
  };
  acme::replace_file(directory + "/roots", there.root());
  acme::replace_file(directory + "/sip.toml",
                     "tls = \"" + address_text(tls_port) + "\"\ndefault_class = \"voice\"\n");
  acme::replace_file(file, settings("[\"sip.lab.example\"]"));
  const auto process_file = [&](const char* name) {
    return read_file("/proc/" + std::to_string(pid) + "/" + name);
  };

  start(config());
  wait_until_serving();
  EXPECT_NE(process_file("status").find("Threads:\t1\n"), std::string::npos);
  EXPECT_EQ(process_file("maps").find("libcurl"), std::string::npos);
  ::kill(pid, SIGKILL);
  exit_code();

  int code = 0;
  EXPECT_NE(certs({"status", "--file", file}, &code).find("expired"), std::string::npos);
  EXPECT_EQ(code, 2);
  start(config(), {"--sip", directory + "/sip.toml", "--certs", file});
  standin::Gateway gateway({tls_port, true, "sip.lab.example", there.root(), "voice", milliseconds(20000)});
  wait_until([&] { return gateway.connect(); }, "a certificate that can be trusted");
  const std::string first = gateway.certificate();
  const std::string status = certs({"status", "--json", "--file", file}, &code);
  EXPECT_EQ(code, 0);
  EXPECT_NE(status.find("\"alarm\":\"good\""), std::string::npos) << status;
  EXPECT_NE(status.find(first), std::string::npos) << status;
  // Renewed by hand: the running process answers the challenge and serves the new one.
  certs({"renew", "sip", "--file", file}, &code);
  EXPECT_EQ(code, 0) << read_file(directory + "/certs-output") << log();
  wait_until([&] { return gateway.connect() && gateway.certificate() != first; }, "the new certificate");
  certs({"check", directory + "/certs/sip.current.pem"}, &code);
  EXPECT_EQ(code, 0);
  certs({"check", file, "--json"}, &code);
  EXPECT_EQ(code, 0);
  EXPECT_NE(certs({"revoke", "none", "--file", file}, &code).find("there is: sip"), std::string::npos);
  EXPECT_NE(code, 0);

  acme::replace_file(file, "what = 1\n");
  ::kill(pid, SIGHUP);
  wait_until(
      [&] {
        return log().find("line 1: \"directory\" is missing; the old one goes on") != std::string::npos;
      },
      "the complaint");
  acme::replace_file(file, settings("[\"sip.lab.example\", \"two.lab.example\"]"));
  ::kill(pid, SIGHUP);
  wait_until(
      [&] {
        standin::Gateway other(
            {tls_port, true, "two.lab.example", there.root(), "voice", milliseconds(20000)});
        return other.connect();
      },
      "the second name");
  ::kill(pid, SIGTERM);
  EXPECT_EQ(exit_code(), 0);

  acme::replace_file(file, "what = 1\n");
  start(config(), {"--sip", directory + "/sip.toml", "--certs", file});
  EXPECT_EQ(exit_code(), 2);
  EXPECT_NE(log().find("certs.toml: line 1: "), std::string::npos) << log();
}

// Renews in a process of its own that is killed at step `die_at`; 0: at none.
int renew_and_die(char** arguments) {
  acme::Settings settings;
  settings.directory = arguments[0];
  settings.challenges = {"http-01"};
  settings.http01 = parse_address(arguments[3]);
  settings.patience = Seconds(60);
  settings.poll = milliseconds(2);
  settings.lease = Seconds(30);
  settings.authorities.resize(1);
  settings.authorities[0].access.directory = arguments[1];
  settings.authorities[0].access.ca_file = arguments[2];
  settings.certificates = {{"sip", {"sip.lab.example"}, "ecdsa-p256"}};
  const int die_at = std::atoi(arguments[4]);
  const Instant now(Seconds(std::atoll(arguments[5])));
  int step = 0;
  acme::Environment environment = acme::Environment::real({});
  environment.now = [now] { return now; };
  environment.step = [&](const char*) {
    if (++step == die_at) ::raise(SIGKILL);
  };
  Logger log;
  acme::Keeper keeper(settings, log, nullptr, environment);
  keeper.work();
  return keeper.standings()[0].validity ? 0 : 1;
}

}  // namespace
}  // namespace quartzarch::test

int main(int argc, char** argv) {
  if (argc == 8 && std::string_view(argv[1]) == "--renew-and-die")
    return quartzarch::test::renew_and_die(argv + 2);
  ::setenv("RC_PARAMS", "seed=20261201", 1);  // the same cases each time
  ::testing::InitGoogleTest(&argc, argv);
  return RUN_ALL_TESTS();
}
