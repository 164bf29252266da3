// Tests of certificate management: the renewal decisions, the ACME client and the certificate renewer against
// the stand-in authority, their faults, and the program as a process.
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

using acme::Budget;
using acme::Decision;
using acme::Failure;
using acme::RenewalSchedule;
using acme::Validity;

constexpr Instant kStart{Seconds(1800000000)};

// Budgets of two accounts that never run out in a test.
std::vector<Budget> ample_budgets() { return {Budget(1000, kHour), Budget(1000, kHour)}; }

// ---- Renewal decisions

TEST(Renewal, IsDueAtARandomPointBeforeAThirdIsLeftAndAlarmsScaleWithTheLifetime) {
  for (const Seconds lifetime : {6 * kDay, 90 * kDay}) {
    const Validity held{kStart, kStart + lifetime};
    std::set<Instant> points;
    for (std::uint64_t seed = 0; seed < 100; ++seed) {
      const RenewalSchedule renewal({}, seed, 1);
      const Instant due = renewal.due_at(held);
      EXPECT_LE(due, held.ends - lifetime / 3);
      EXPECT_GE(due, held.ends - lifetime / 3 - lifetime / 10);
      EXPECT_EQ(due, renewal.due_at(held)) << "it changes between calls";
      EXPECT_EQ(renewal.decide(due - Seconds(1), held, {}, ample_budgets()).at, due);
      EXPECT_EQ(renewal.decide(due, held, {}, ample_budgets()).action, Decision::Action::renew);
      points.insert(due);
    }
    EXPECT_GT(points.size(), 90u) << "installations renew at the same time";
    const RenewalSchedule renewal({}, 1, 1);
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

TEST(Renewal, TheAuthoritysWindowTakesPrecedenceAndAPastWindowMeansRenewAtOnce) {
  const Validity held{kStart, kStart + 90 * kDay};
  RenewalSchedule renewal({}, 7, 1);
  renewal.set_window(kStart, acme::Window{kStart + 10 * kDay, kStart + 12 * kDay}, kHour);
  EXPECT_GE(renewal.due_at(held), kStart + 10 * kDay);
  EXPECT_LE(renewal.due_at(held), kStart + 12 * kDay);
  EXPECT_FALSE(renewal.window_query_due(kStart + kHour - Seconds(1)));
  EXPECT_TRUE(renewal.window_query_due(kStart + kHour));
  renewal.set_window(kStart, acme::Window{kStart - 2 * kDay, kStart - kDay}, {});
  EXPECT_EQ(renewal.decide(kStart, held, {}, ample_budgets()).action, Decision::Action::renew);
  renewal.set_window(kStart, acme::Window{held.ends - kDay, held.ends}, {});
  EXPECT_LE(renewal.due_at(held), held.ends - held.lifetime() / 4)
      << "it waits for a window just before the expiry";
}

TEST(Renewal, BackoffGrowsToHoursAndHonoursRetryAfterAndRateLimits) {
  acme::Policy policy;
  const Validity held{kStart, kStart + 90 * kDay};
  Instant now = held.ends - 30 * kDay;
  RenewalSchedule renewal(policy, 3, 1);
  Seconds last{0};
  for (int i = 0; i < 12; ++i) {
    renewal.failed(now, 0, Failure::refused, {}, held);
    const Decision decision = renewal.decide(now, held, {}, ample_budgets());
    ASSERT_EQ(decision.action, Decision::Action::wait);
    last = decision.at - now;
    EXPECT_LE(last, policy.longest_wait);
    now = decision.at;
  }
  EXPECT_GE(last, policy.longest_wait / 2);
  renewal.failed(now, 0, Failure::rate_limited, 9 * kHour, held);
  EXPECT_EQ(renewal.decide(now + 8 * kHour, held, {}, ample_budgets()).at, now + 9 * kHour);
  renewal.failed(now, 0, Failure::rate_limited, 1000 * kDay, held);
  EXPECT_EQ(renewal.decide(now + kDay, held, {}, ample_budgets()).action, Decision::Action::renew)
      << "a Retry-After without limit was followed";

  // The limit of rejections per hour holds even with a backoff of one second.
  policy.longest_wait = policy.first_wait = Seconds(1);
  RenewalSchedule impatient(policy, 3, 1);
  int attempts = 0;
  for (Instant at = kStart; at < kStart + kHour; at += Seconds(10)) {
    if (impatient.decide(at, {}, {}, ample_budgets()).action != Decision::Action::renew) continue;
    ++attempts;
    impatient.failed(at, 0, Failure::rejected, {}, {});
  }
  EXPECT_EQ(attempts, 4);
  // An account whose order budget is used up delays new orders, but an open order is resumed.
  std::vector<Budget> spent{Budget(1, kHour)};
  spent[0].spend(kStart);
  const RenewalSchedule fresh({}, 1, 1);
  EXPECT_EQ(fresh.decide(kStart, {}, {}, spent).at, kStart + kHour);
  EXPECT_EQ(fresh.decide(kStart, {}, 0, spent).action, Decision::Action::renew);
}

TEST(Renewal, FallsBackToTheSecondAuthorityAfterTheConfiguredTime) {
  acme::Policy policy;
  RenewalSchedule renewal(policy, 5, 2);
  std::map<std::size_t, int> before_fallback, after_fallback;
  Instant now = kStart;
  for (int i = 0; i < 40; ++i) {
    const Decision decision = renewal.decide(now, {}, {}, ample_budgets());
    if (decision.action == Decision::Action::wait) {
      now = decision.at;
      continue;
    }
    ++(now - kStart >= policy.fallback_after ? after_fallback : before_fallback)[decision.authority];
    renewal.failed(now, decision.authority, Failure::unreachable, {}, {});
  }
  EXPECT_EQ(before_fallback[1], 0);
  EXPECT_GT(after_fallback[1], after_fallback[0]);
  EXPECT_GT(after_fallback[0], 0) << "the first authority is not tried any more";
  renewal.succeeded(now, 1);
  EXPECT_EQ(renewal.decide(now, {}, {}, ample_budgets()).authority, 0u);
}

// Forward and backward clock jumps of any size between decisions: waits are bounded and rate limits hold.
TEST(Renewal, ClockJumpsCauseNoEndlessWaitAndExceedNoRateLimit) {
  EXPECT_TRUE(rc::check("clock jumps", [] {
    acme::Policy policy;
    RenewalSchedule renewal(policy, *rc::gen::arbitrary<std::uint64_t>(), 2);
    Instant now = kStart;
    std::vector<Budget> accounts{Budget(5, 3 * kHour), Budget(5, 3 * kHour)};
    for (int i = 0; i < 60; ++i) {
      const auto jump =
          *rc::gen::element<std::int64_t>(1, 60, 3600, 86400, -86400, 365 * 86400, -365 * 86400);
      now += Seconds(jump);
      if (now < kStart) now = kStart;
      const Decision decision = renewal.decide(now, {}, {}, accounts);
      if (decision.action == Decision::Action::wait) {
        RC_ASSERT(decision.at > now);
        RC_ASSERT(decision.at - now <= policy.duplicates.span);
        continue;
      }
      accounts[decision.authority].spend(now);
      RC_ASSERT(accounts[decision.authority].spent(now) <= 5u);
      renewal.failed(now, decision.authority,
                     *rc::gen::element(Failure::refused, Failure::unreachable, Failure::rejected), {}, {});
    }
  }));
}

TEST(Problem, IsExplainedInOneLineAndRetryAfterIsParsedInBothForms) {
  const auto problem = acme::parse_problem(
      403,
      R"({"type":"urn:ietf:params:acme:error:compound","detail":"two things\nare wrong","subproblems":[)"
      R"({"type":"urn:ietf:params:acme:error:caa","detail":"not by us","identifier":{"type":"dns","value":"a.b"}}]})");
  EXPECT_EQ(problem.to_line(),
            "the authority refuses (status 403): several things are wrong: two things are wrong [compound]; "
            "for a.b: "
            "the CAA record of the name forbids it: not by us [caa]");
  EXPECT_EQ(acme::parse_problem(502, "<html>").to_line(), "the authority refuses (status 502)");
  EXPECT_EQ(acme::parse_problem(429, "{}").failure(), Failure::rate_limited);
  const Instant now = *acme::parse_timestamp("2026-12-01T10:00:00Z");
  EXPECT_EQ(acme::parse_retry_after("120", now), Seconds(120));
  EXPECT_EQ(acme::parse_retry_after("Tue, 01 Dec 2026 10:05:00 GMT", now), Seconds(300));
  EXPECT_EQ(acme::parse_retry_after("Tuesday, 01-Dec-26 09:00:00 GMT", now), Seconds(0)) << "a past date";
  EXPECT_GT(acme::parse_retry_after("99999999999999999999", now), kDay);
  EXPECT_FALSE(acme::parse_retry_after("soon", now));
  EXPECT_EQ(acme::parse_timestamp("2026-12-01T12:00:00.25+02:00"), now);
  EXPECT_TRUE(rc::check("malformed texts", [](const std::string& text) {
    acme::parse_problem(400, text).to_line();
    acme::parse_retry_after(text, kStart);
    acme::parse_timestamp(text);
  }));
}

// ---- First certificate and renewal

TEST_F(Installation, ACertificateIsIssuedStoredAndRenewedInTimeWithANewKey) {
  Authority& ca = start_authority();
  const auto renewer = this->make_renewer();
  const Instant start_time = now();
  run(*renewer, start_time + kHour);
  EXPECT_EQ(ca.counts().certificates, 1);
  const std::string first = stored_file("sip.current.pem");
  EXPECT_EQ(handshake(registry->server(), "sip.lab.example").certificate,
            acme::fingerprint(acme::first_certificate(first)));
  struct stat info {};
  ASSERT_EQ(::stat((settings.directory + "/sip.current.pem").c_str(), &info), 0);
  EXPECT_EQ(info.st_mode & 0777, 0600u) << "others may read the private key";
  run(*renewer, start_time + 50 * kDay);
  EXPECT_EQ(ca.counts().orders, 1) << "ordered before it was due";
  Alarm worst = Alarm::good;
  run(*renewer, start_time + 360 * kDay, [&] { worst = std::max(worst, renewer->statuses()[0].alarm); });
  // A renewal is due between 54 and 60 days into the lifetime of 90 days.
  EXPECT_GE(ca.counts().certificates, 6) << log_text();
  EXPECT_LE(ca.counts().certificates, 7) << log_text();
  EXPECT_LE(worst, Alarm::due);
  EXPECT_EQ(ca.counts().accounts, 1);
  const std::string last = stored_file("sip.current.pem");
  EXPECT_FALSE(acme::matches_key(acme::first_certificate(last), acme::key_from_pem(first)))
      << "the key was reused";
  EXPECT_EQ(count_files_with(".key-"), 0u) << "the key file of a finished order was not removed";
  EXPECT_EQ(log_text().find("PRIVATE"), std::string::npos);
}

TEST_F(Installation, SeveralNamesRsaAndAlternateChainsWorkAndValidAuthorizationsAreReused) {
  Authority& ca = start_authority();
  settings.certificates = {{"rsa", {"a.lab.example", "b.lab.example"}, "rsa-2048"},
                           {"ec", {"a.lab.example"}, "ecdsa-p256"}};
  settings.authorities[0].preferred_issuer = "Stand-in Root X2";
  const auto renewer = this->make_renewer();
  run(*renewer, now() + kHour);
  EXPECT_EQ(ca.counts().certificates, 2) << log_text();
  EXPECT_EQ(ca.counts().challenges, 2) << "a valid authorization was not reused";
  const std::string pem = stored_file("rsa.current.pem");
  EXPECT_EQ(acme::issuer_of(acme::certificates_of(pem).back()), "Stand-in Root X2");
  EXPECT_TRUE(acme::covers_names(acme::first_certificate(pem), settings.certificates[0].names));
  EXPECT_EQ(EVP_PKEY_get_base_id(acme::key_from_pem(pem).get()), EVP_PKEY_RSA);
}

TEST_F(Installation, AccountsAreBoundRecoveredRolledOverAndDeactivated) {
  standin::Options options;
  options.external_keys = {{"kid-1", "0123456789abcdef"}};
  settings.policy.duplicates.most = 100;
  Authority& ca = start_authority(options);
  {
    const auto renewer = this->make_renewer();
    EXPECT_NE(renewer->renew_now("sip").find("external account"), std::string::npos);
  }
  settings.authorities[0].access.external = acme::ExternalAccount{"kid-1", {}};
  settings.authorities[0].eab_key_file = folder.file("eab");
  acme::replace_file(folder.file("eab"), acme::base64url("0123456789abcdef") + "\n");
  const auto renewer = this->make_renewer();
  EXPECT_EQ(renewer->renew_now("sip"), "");
  std::string account;
  for (const std::string& each : files()) {
    if (each.starts_with("account-") && each.ends_with(".key.pem")) account = each;
  }
  const std::string before = stored_file(account);
  EXPECT_EQ(renewer->roll_over(0), "");
  EXPECT_NE(stored_file(account), before);
  EXPECT_EQ(renewer->renew_now("sip"), "");
  // Without its record the account is found again by its key.
  for (const std::string& each : files()) {
    if (each.starts_with("account-") && each.ends_with(".json"))
      std::filesystem::remove(settings.directory + "/" + each);
  }
  EXPECT_EQ(renewer->renew_now("sip"), "");
  EXPECT_EQ(ca.counts().accounts, 1);
  // A rollover interrupted after the authority accepted it: the new key is found to be the valid one.
  on_step = [](const char* what) {
    if (std::string(what) == "rolled over") throw std::runtime_error("killed");
  };
  EXPECT_EQ(renewer->roll_over(0), "killed");
  on_step = {};
  EXPECT_EQ(renewer->renew_now("sip"), "") << log_text();
  EXPECT_EQ(renewer->revoke("sip", 4), "");
  EXPECT_NE(renewer->revoke("sip", 4).find("revoked already"), std::string::npos);
  settings.authorities[0].access.contact = {"mailto:oncall@lab.example"};
  EXPECT_EQ(this->make_renewer()->change_contact(0), "");
  EXPECT_EQ(renewer->deactivate(0), "");
  EXPECT_EQ(renewer->renew_now("sip"), "");
  EXPECT_EQ(ca.counts().accounts, 2) << "a deactivated account was used again";
}

TEST_F(Installation, TheAuthoritysWindowMovesTheRenewalForward) {
  standin::Options options;
  Authority& ca = start_authority(options);
  const auto renewer = this->make_renewer();
  const Instant start_time = now();
  run(*renewer, start_time + kHour);
  const auto due = renewer->statuses()[0].due;
  ASSERT_TRUE(due);
  EXPECT_GE(*due, start_time + 50 * kDay);
  run(*renewer, start_time + 62 * kDay);
  EXPECT_EQ(ca.counts().certificates, 2);
}

// ---- Errors of the authority

// After each fault of the authority has ended, a certificate is issued; until then the old one is served.
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

TEST_P(EachFault, IsRecoveredFromWhileTheOldCertificateIsServed) {
  Authority& ca = start_authority();
  settings.authorities[0].access.http_timeout = milliseconds(2000);
  settings.order_timeout = 3 * kHour;
  const auto renewer = this->make_renewer();
  ASSERT_EQ(renewer->renew_now("sip"), "") << log_text();
  const std::string old = handshake(registry->server(), "").certificate;
  const Instant start_time = now() + 60 * kDay;
  set_time(start_time);
  ca.add(standin::parse_fault_rule(GetParam(), start_time));
  bool served = true;
  int orders = 0;
  run(*renewer, start_time + kDay, [&] {
    served = served && !handshake(registry->server(), "").certificate.empty();
    orders = ca.counts().orders - 1;
  });
  EXPECT_TRUE(served);
  EXPECT_NE(handshake(registry->server(), "").certificate, old) << log_text();
  const std::string fault = GetParam();
  const bool needs_new_order = fault.find("stuck") == 0 || fault.find("invalid") == 0 ||
                               fault.find("other") == 0 || fault.find("expired") == 0 ||
                               fault.find("short") == 0 || fault.find("reject") == 0;
  EXPECT_EQ(orders, needs_new_order ? 2 : 1) << "needless orders\n" << log_text();
  EXPECT_EQ(renewer->statuses()[0].failures, 0u);
  EXPECT_EQ(count_files_with("aside"), 0u);
}

TEST_F(Installation, ADayOfErrorsRaisesTheLateAlarmAndThenRenewalSucceeds) {
  standin::Options options;
  options.lifetime = 5 * kDay;  // a day after it is due less than a quarter and more than an eighth is left
  Authority& ca = start_authority(options);
  const auto renewer = this->make_renewer();
  run(*renewer, now() + kHour);
  const std::string first = stored_file("sip.current.pem");
  Instant due = *renewer->statuses()[0].due;
  run(*renewer, due - Seconds(1));
  ca.add({Fault::unavailable, "", -1, due - Seconds(1), due + kDay});
  const int before = ca.counts().orders;
  Alarm worst = Alarm::good;
  run(*renewer, due + kDay, [&] { worst = std::max(worst, renewer->statuses()[0].alarm); });
  EXPECT_EQ(stored_file("sip.current.pem"), first);
  EXPECT_EQ(worst, Alarm::late);
  EXPECT_NE(log_text().find("ALARM certificate sip: late"), std::string::npos);
  run(*renewer, due + kDay + 7 * kHour);
  EXPECT_NE(stored_file("sip.current.pem"), first) << log_text();
  EXPECT_EQ(ca.counts().orders, before + 1);
  EXPECT_EQ(renewer->statuses()[0].alarm, Alarm::good);
}

TEST_F(Installation, PermanentErrorsRaiseTheAlarmsInOrderLongBeforeExpiry) {
  Authority& ca = start_authority();
  const auto renewer = this->make_renewer();
  run(*renewer, now() + kHour);
  const Validity held = *renewer->statuses()[0].validity;
  ca.add({Fault::unavailable, "", -1, now(), Instant::max()});
  std::vector<std::pair<Alarm, Seconds>> seen;
  run(*renewer, held.ends + kDay, [&] {
    const Alarm alarm = renewer->statuses()[0].alarm;
    if (seen.empty() || seen.back().first != alarm) seen.emplace_back(alarm, held.ends - now());
  });
  ASSERT_EQ(seen.size(), 5u);
  for (std::size_t i = 0; i < seen.size(); ++i) EXPECT_EQ(seen[i].first, static_cast<Alarm>(i));
  EXPECT_GE(seen[2].second, 22 * kDay);
  EXPECT_GE(seen[3].second, 11 * kDay);
  EXPECT_LE(seen[4].second, Seconds(0));
  EXPECT_NE(log_text().find("ALARM certificate sip: expired"), std::string::npos);
  // An expired certificate is still served; a client may accept it.
  EXPECT_FALSE(handshake(registry->server(), "").certificate.empty());
}

TEST_F(Installation, FallsBackToTheSecondAuthorityWithinTheRateLimitsOfTheFirst) {
  settings.authorities.resize(2);
  standin::Options options;
  settings.policy.orders.most = 4;
  options.new_orders = {5, 3 * kHour};
  options.rejections = {5, kHour};
  options.duplicates = {5, 7 * kDay};
  Authority& first = start_authority(options);
  Authority& second = start_authority();
  first.add({Fault::reject_challenge, "", -1, Instant::min(), Instant::max()});
  const auto renewer = this->make_renewer();
  run(*renewer, now() + kDay);
  EXPECT_EQ(second.counts().certificates, 1) << log_text();
  EXPECT_EQ(first.counts().certificates, 0);
  EXPECT_EQ(log_text().find("rate limited"), std::string::npos)
      << "a rate limit of the authority was exceeded\n"
      << log_text();
}

TEST_F(Installation, NothingIsOrderedWithAWrongClock) {
  Authority& ca = start_authority();
  const auto renewer = this->make_renewer();
  run(*renewer, now() + kHour);
  const std::string first = stored_file("sip.current.pem");
  const Instant start_time = now();
  std::int64_t offset = 0;
  settings.directory = folder.file("certs");
  acme::Environment skewed = environment();
  skewed.now = [&] { return Instant(Seconds(time.load() + offset)); };
  acme::CertificateRenewer skewed_renewer(settings, log, registry, skewed);
  for (const std::int64_t each : {365 * 86400L, -86400L}) {
    offset = each;
    for (int i = 0; i < 20; ++i) {
      const Instant next = skewed_renewer.run_pass();
      time += std::min<std::int64_t>(std::max<std::int64_t>((next - skewed.now()).count(), 1), 3600);
    }
  }
  EXPECT_EQ(ca.counts().orders, 1) << log_text();
  EXPECT_EQ(stored_file("sip.current.pem"), first);
  offset = 0;
  run(skewed_renewer, start_time + 80 * kDay);
  EXPECT_EQ(ca.counts().orders, 2) << "the wrong clock left state behind that delays renewal\n" << log_text();
}

// ---- Files on disk

TEST_F(Installation, TornAndForeignFilesAreLoggedAndQuarantined) {
  Authority& ca = start_authority();
  ASSERT_EQ(make_renewer()->renew_now("sip"), "");
  const std::string schedule = settings.directory + "/sip.schedule.json",
                    current = settings.directory + "/sip.current.pem";
  const std::string whole = read_file(schedule);
  acme::replace_file(schedule, whole.substr(0, whole.size() / 2));
  acme::replace_file(settings.directory + "/sip.order.json", "{\"url\":\"https://somewhere.example/\"}");
  acme::replace_file(current, read_file(current).substr(0, 400));
  const auto renewer = this->make_renewer();
  EXPECT_EQ(renewer->renew_now("sip"), "") << log_text();
  EXPECT_EQ(count_files_with("aside-1"), 3u);
  EXPECT_NE(log_text().find("sip.schedule.json: torn"), std::string::npos);
  EXPECT_NE(log_text().find("sip.order.json: not a record of this program"), std::string::npos);
  EXPECT_EQ(ca.counts().certificates, 2);
}

TEST_F(Installation, FilesWithUnsafeModeOwnerOrTypeAreRejected) {
  start_authority();
  ASSERT_EQ(make_renewer()->renew_now("sip"), "");
  const std::string current = settings.directory + "/sip.current.pem";
  ::chmod(current.c_str(), 0644);
  try {
    make_renewer();
    FAIL() << "a key that others may read was accepted";
  } catch (const acme::StateError& error) {
    EXPECT_NE(std::string(error.what()).find("mode 0644"), std::string::npos);
  }
  ::chmod(current.c_str(), 0600);
  std::filesystem::rename(current, current + ".real");
  std::filesystem::create_symlink(current + ".real", current);
  EXPECT_THROW(make_renewer(), acme::StateError);
  std::filesystem::rename(current + ".real", current);
  if (::geteuid() == 0) {
    ASSERT_EQ(::chown(current.c_str(), 65534, 65534), 0);
    EXPECT_THROW(make_renewer(), acme::StateError);
    ASSERT_EQ(::chown(current.c_str(), 0, 0), 0);
  }
  ::chmod(settings.directory.c_str(), 0755);
  EXPECT_THROW(make_renewer(), acme::StateError);
}

// On a full disk no order is placed, because its URL could not be stored; the first attempt with free space
// succeeds.
TEST_F(Installation, AFullDiskPreventsTheOrderAndKeepsTheOldFiles) {
  Authority& ca = start_authority();
  const auto renewer = this->make_renewer();
  ASSERT_EQ(renewer->renew_now("sip"), "");
  const std::string before = stored_file("sip.current.pem");
  set_time(now() + 70 * kDay);
  rlimit old{};
  ::getrlimit(RLIMIT_FSIZE, &old);
  ::signal(SIGXFSZ, SIG_IGN);
  // The lease (a short file) still fits; orders, keys and chains do not.
  const rlimit none{200, old.rlim_max};
  std::fflush(log_file);
  std::FILE* const nowhere = std::fopen("/dev/null", "w");
  Logger quiet(nowhere);
  acme::CertificateRenewer limited(settings, quiet, registry, environment());
  ::setrlimit(RLIMIT_FSIZE, &none);
  for (int i = 0; i < 5; ++i) set_time(limited.run_pass());
  ::setrlimit(RLIMIT_FSIZE, &old);
  EXPECT_EQ(ca.counts().orders, 1);
  EXPECT_EQ(stored_file("sip.current.pem"), before);
  EXPECT_EQ(count_files_with(".new."), 0u) << "a temporary file was left";
  run(limited, now() + kDay);
  EXPECT_EQ(ca.counts().orders, 2);
  EXPECT_NE(stored_file("sip.current.pem"), before);
  std::fclose(nowhere);
}

// A child process is killed with SIGKILL at each step of a renewal in turn; the next process resumes the same
// order with the same key.
TEST_F(Installation, AProcessKilledAtAnyStepLosesOrDuplicatesNoOrder) {
  standin::Options options;
  options.validation_attempts = 1000;  // it retries while the challenge is not answered (RFC 8555, 8.2)
  Authority& ca = start_authority(options);
  const auto spawn = [&](int kill_at) {
    const pid_t pid = ::fork();
    if (pid == 0) {
      const std::string at = std::to_string(kill_at), clock = std::to_string(time.load());
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
    const auto before = ca.counts();
    time += 60;
    const int status = spawn(step);
    if (WIFEXITED(status)) {
      EXPECT_EQ(WEXITSTATUS(status), 0);
      break;
    }
    ASSERT_EQ(WTERMSIG(status), SIGKILL);
    std::string key;  // of the open order, if there is one already
    for (const std::string& each : files()) {
      if (each.find(".key-") != std::string::npos) key = stored_file(each);
    }
    time += 60;  // the lease of the killed process expires
    const int second = spawn(0);
    ASSERT_TRUE(WIFEXITED(second) && WEXITSTATUS(second) == 0) << "step " << step;
    EXPECT_EQ(ca.counts().orders - before.orders, 1) << "step " << step;
    EXPECT_EQ(ca.counts().certificates - before.certificates, 1) << "step " << step;
    EXPECT_LE(ca.counts().accounts - before.accounts, 1) << "step " << step;
    const std::string current = stored_file("sip.current.pem");
    EXPECT_TRUE(acme::matches_key(acme::first_certificate(current), acme::key_from_pem(current)));
    if (!key.empty()) {
      EXPECT_TRUE(acme::matches_key(acme::first_certificate(current), acme::key_from_pem(key)))
          << "another key after step " << step;
    }
    EXPECT_EQ(count_files_with(".order.json") + count_files_with(".key-") + count_files_with("aside"), 0u)
        << "step " << step;
  }
  EXPECT_GT(step, 15);
}

// ---- Several instances

TEST_F(Installation, OfTwoConcurrentInstancesOneRenewsAndBothServeTheCertificate) {
  Authority& ca = start_authority();
  const auto other_registry = std::make_shared<tls::Registry>();
  acme::CertificateRenewer a(settings, log, registry, environment()),
      b(settings, log, other_registry, environment());
  std::jthread first([&] { a.run_pass(); }), second([&] { b.run_pass(); });
  first.join();
  second.join();
  a.sync();
  b.sync();
  EXPECT_EQ(ca.counts().orders, 1) << log_text();
  const std::string served = handshake(registry->server(), "sip.lab.example").certificate;
  EXPECT_FALSE(served.empty());
  EXPECT_EQ(handshake(other_registry->server(), "sip.lab.example").certificate, served);
}

// The lease expires in the middle of a pass and another instance acquires it; when the first instance goes
// on, it must not change anything.
TEST_F(Installation, AnInstanceWhoseLeaseExpiredChangesNothing) {
  Authority& ca = start_authority();
  const auto other_registry = std::make_shared<tls::Registry>();
  acme::Environment without_hook = environment();
  without_hook.step = {};
  acme::CertificateRenewer b(settings, log, other_registry, without_hook);
  bool once = false;
  on_step = [&](const char* what) {
    if (std::string(what) != "fetched" || std::exchange(once, true)) return;
    EXPECT_GT(b.run_pass(), now() + Seconds(1)) << "two held the lease";
    set_time(now() + settings.lease + Seconds(1));
    b.run_pass();
  };
  acme::CertificateRenewer a(settings, log, registry, environment());
  a.run_pass();
  EXPECT_NE(log_text().find("the lease went to another instance"), std::string::npos);
  EXPECT_EQ(ca.counts().orders, 1) << log_text();
  EXPECT_EQ(ca.counts().certificates, 1);
  a.sync();
  EXPECT_EQ(handshake(registry->server(), "").certificate,
            handshake(other_registry->server(), "").certificate);
  EXPECT_EQ(count_files_with(".order.json") + count_files_with(".key-"), 0u);
}

// ---- On the SIP TLS port

TEST(Registry, SelectsByServerNameAndSessionTicketsDoNotOutliveACertificate) {
  standin::Ca ca(std::chrono::floor<Seconds>(std::chrono::system_clock::now()));
  const Instant now = std::chrono::floor<Seconds>(std::chrono::system_clock::now());
  const auto make_identity = [&](const std::string& name, Seconds left, std::string* fingerprint) {
    const acme::Key key = acme::new_key();
    const auto issued = ca.issue(key, {name}, {now - kDay, now + left});
    *fingerprint = acme::fingerprint(issued.leaf);
    return acme::pem_of(key).text() + issued.chains[0];
  };
  std::string a, b, renewed, expired_print;  // fingerprints
  for (const int version : {TLS1_2_VERSION, TLS1_3_VERSION}) {
    tls::Registry registry;
    EXPECT_FALSE(handshake(registry.server(), "a.example", "", {}, version).done);
    registry.put("a", make_identity("a.example", kDay, &a));
    registry.put("b", make_identity("*.b.example", kDay, &b));
    EXPECT_EQ(handshake(registry.server(), "A.example", "", {}, version).certificate, a);
    EXPECT_EQ(handshake(registry.server(), "x.b.example", "", {}, version).certificate, b);
    EXPECT_EQ(handshake(registry.server(), "", "", {}, version).certificate, a);
    const auto one = handshake(registry.server(), "a.example", "", {}, version);
    const auto two = handshake(registry.server(), "x.b.example", "", {}, version);
    EXPECT_TRUE(handshake(registry.server(), "a.example", "", one.session, version).resumed);
    registry.put("a", make_identity("a.example", kDay, &renewed));
    const auto after = handshake(registry.server(), "a.example", "", one.session, version);
    EXPECT_FALSE(after.resumed) << "a session ticket outlived the old certificate";
    EXPECT_EQ(after.certificate, renewed);
    EXPECT_TRUE(handshake(registry.server(), "x.b.example", "", two.session, version).resumed);
    registry.put("a", make_identity("a.example", Seconds(-60), &expired_print));
    const auto expired = handshake(registry.server(), "a.example", "", {}, version);
    EXPECT_EQ(expired.certificate, expired_print);
    EXPECT_FALSE(handshake(registry.server(), "a.example", "", expired.session, version).resumed);
    EXPECT_THROW(registry.put("a", "nonsense"), tls::TlsError);
    EXPECT_EQ(handshake(registry.server(), "a.example", "", {}, version).certificate, expired_print);
    registry.add_challenge("a.example",
                           acme::create_challenge_certificate("a.example", "token.print").view());
    EXPECT_EQ(handshake(registry.server(), "a.example", "acme-tls/1", {}, version).protocol, "acme-tls/1");
    EXPECT_EQ(handshake(registry.server(), "a.example", "sip", {}, version).certificate, expired_print);
    registry.remove_challenge("a.example");
    EXPECT_EQ(handshake(registry.server(), "a.example", "acme-tls/1", {}, version).protocol, "");
  }
}

// SIP over TLS calls on a persistent connection and on new connections, while certificates are renewed
// repeatedly by tls-alpn-01 on the same port: no call fails, and new connections get the new certificates.
TEST_F(Installation, RenewalOnTheTlsPortFailsNoCall) {
  // The node's loop and each gateway run on threads of their own; renewals run on this thread.
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
  Authority& ca = start_authority(options);
  const auto renewer = this->make_renewer();
  ASSERT_EQ(renewer->renew_now("sip"), "") << log_text();
  std::atomic<int> calls = 0, failed = 0, renewed = 0;
  std::mutex mutex;
  std::set<std::string> seen;
  const auto place_calls = [&](bool persistent) {
    standin::Gateway gateway({*tls_alpn, true, "sip.lab.example", ca.root(), "voice", milliseconds(20000)});
    for (int i = 0; renewed < 3 || i < 3; ++i) {
      if ((!persistent || !gateway.connected()) && !gateway.connect()) {
        ++failed;
        continue;
      }
      if (i == 0 || !persistent) {
        const std::lock_guard lock(mutex);
        seen.insert(gateway.certificate());
      }
      const auto outcome = gateway.invite("7f3a");
      ++calls;
      if (outcome.status != 200 || gateway.bye(outcome, "7f3a") != 200) ++failed;
    }
  };
  std::jthread on_one_connection([&] { place_calls(true); }), on_new_connections([&] { place_calls(false); });
  for (int i = 0; i < 3; ++i) {
    const int before = calls;
    EXPECT_EQ(renewer->renew_now("sip"), "") << log_text();
    while (calls < before + 4) std::this_thread::sleep_for(milliseconds(1));
    ++renewed;
  }
  on_one_connection.join();
  on_new_connections.join();
  EXPECT_EQ(failed, 0);
  EXPECT_EQ(ca.counts().certificates, 4);
  EXPECT_GE(seen.size(), 3u) << "new handshakes did not see the new certificates";
  EXPECT_EQ(server.counts().duplicate_offers, 0u);
}

// ---- Settings

TEST(AcmeSettings, ErrorsNameTheLineAndTheKey) {
  const std::string good =
      "directory = \"certs\"\n[[authority]]\ndirectory = \"https://ca.example/d\"\n"
      "[[certificate]]\nid = \"sip\"\nnames = [\"sip.lab.example\"]\n";
  EXPECT_EQ(acme::parse_settings(good).certificates.size(), 1u);
  const auto error_of = [](const std::string& text) {
    try {
      acme::parse_settings(text);
      return std::string();
    } catch (const acme::SettingsError& error) {
      return std::string(error.what());
    }
  };
  const std::pair<std::string, const char*> bad[] = {
      {"directory = ", "line 1: invalid TOML"},
      {"direktory = \"x\"\n" + good, "line 1: \"direktory\" is unknown"},
      {good.substr(good.find('\n')), "\"directory\" is missing"},
      {good + "key = \"dsa\"\n", "line 7: \"certificate.key\" is none of"},
      {good + "[[certificate]]\nid = \"sip\"\nnames = [\"b.example\"]\n",
       "line 7: \"certificate.id\" is duplicated"},
      {good + "[[certificate]]\nid = \"../x\"\nnames = [\"b.example\"]\n",
       "line 8: \"certificate.id\" may have"},
      {good + "[[certificate]]\nid = \"x\"\nnames = [\"b,DNS:c\"]\n",
       "line 9: \"certificate.names\" contains an invalid host name"},
      {good + "[renewal]\nlate_share = 0.5\n", "line 7: \"renewal\" needs"},
      {good + "[renewal]\nfirst_wait_s = 0\n", "line 8: \"renewal.first_wait_s\" is not within 1 and 86400"},
      {"challenges = [\"dns-01\"]\n" + good, "line 1: \"challenges\" contains an unknown challenge type"},
      {"challenges = [\"http-01\"]\n" + good, "line 1: \"challenges\" has http-01, which needs"},
      {good + "[[authority]]\ndirectory = \"http://ca.example\"\n",
       "line 8: \"authority.directory\" is not an https URL"},
      {good + "[[authority]]\ndirectory = \"https://x\"\neab_kid = \"k\"\n",
       "line 7: \"authority.eab_kid\" and"},
  };
  for (const auto& [text, expected] : bad)
    EXPECT_NE(error_of(text).find(expected), std::string::npos) << error_of(text);
  EXPECT_TRUE(rc::check("malformed settings", [&](const std::string& text) { error_of(good + text); }));
}

// ---- The program as a process

class CertsProcess : public Process {
 protected:
  // Runs `certs ...` and returns its output; its exit code goes to `code`.
  std::string certs(std::vector<std::string> arguments, int* code) {
    arguments.insert(arguments.begin(), "certs");
    *code = exit_code_of(spawn(arguments, "certs-output"));
    return read_file(directory + "/certs-output");
  }
};

// Without certificate management the program has one thread and does not load libcurl. With it, the program
// obtains a certificate by tls-alpn-01 on its own port, applies a valid settings file on SIGHUP and keeps the
// old settings after an invalid one.
TEST_F(CertsProcess, ManagesItsCertificateAndTheCommandsReportIt) {
  const sockaddr_in tls_port = free_address();
  Authority::Config setup;
  setup.listen = any_port();
  setup.tls_alpn = tls_port;
  Authority ca(setup);
  const std::string file = directory + "/certs.toml";
  const auto settings = [&](const std::string& names) {
    return "directory = \"" + directory + "/certs\"\npoll_ms = 20\n[[authority]]\ndirectory = \"" +
           ca.directory() + "\"\nca_file = \"" + directory +
           "/roots\"\n[[certificate]]\nid = \"sip\"\nnames = " + names + "\n";
  };
  acme::replace_file(directory + "/roots", ca.root());
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
  standin::Gateway gateway({tls_port, true, "sip.lab.example", ca.root(), "voice", milliseconds(20000)});
  wait_until([&] { return gateway.connect(); }, "a certificate that can be trusted");
  const std::string first = gateway.certificate();
  const std::string status = certs({"status", "--json", "--file", file}, &code);
  EXPECT_EQ(code, 0);
  EXPECT_NE(status.find("\"alarm\":\"good\""), std::string::npos) << status;
  EXPECT_NE(status.find(first), std::string::npos) << status;
  // Renewal on the command line: the running process answers the challenge and serves the new certificate.
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
        standin::Gateway other({tls_port, true, "two.lab.example", ca.root(), "voice", milliseconds(20000)});
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

// The child process of the kill test: renews and kills itself at step `kill_at`; 0: never.
int renew_until_killed(char** arguments) {
  acme::Settings settings;
  settings.directory = arguments[0];
  settings.challenges = {"http-01"};
  settings.http01 = parse_address(arguments[3]);
  settings.step_timeout = Seconds(60);
  settings.poll_interval = milliseconds(2);
  settings.lease = Seconds(30);
  settings.authorities.resize(1);
  settings.authorities[0].access.directory = arguments[1];
  settings.authorities[0].access.ca_file = arguments[2];
  settings.certificates = {{"sip", {"sip.lab.example"}, "ecdsa-p256"}};
  const int kill_at = std::atoi(arguments[4]);
  const Instant now(Seconds(std::atoll(arguments[5])));
  int step = 0;
  acme::Environment environment = acme::Environment::real({});
  environment.now = [now] { return now; };
  environment.step = [&](const char*) {
    if (++step == kill_at) ::raise(SIGKILL);
  };
  Logger log;
  acme::CertificateRenewer renewer(settings, log, nullptr, environment);
  renewer.run_pass();
  return renewer.statuses()[0].validity ? 0 : 1;
}

// Guards against: a client that is killed while the stand-in authority answers it ends the test process. The
// authority asks for the time before it answers, and waits there until the client has gone.
TEST(StandinAuthority, AClientThatGoesBeforeItsAnswerEndsNothing) {
  std::signal(SIGPIPE, SIG_DFL);
  std::atomic<bool> held = false;
  Authority::Config setup;
  setup.listen = any_port();
  setup.now = [&held] {
    while (held) std::this_thread::yield();
    return std::chrono::floor<Seconds>(std::chrono::system_clock::now());
  };
  std::optional<Authority> authority(std::in_place, std::move(setup));
  const std::string url = authority->directory();
  Peer client = Peer::connect(*parse_address(url.substr(8, url.find('/', 8) - 8)));
  const std::unique_ptr<SSL_CTX, tls::OpenSslDeleter> context(SSL_CTX_new(TLS_client_method()));
  SSL_CTX_set_max_proto_version(context.get(), TLS1_2_VERSION);  // no tickets are left unread
  const std::unique_ptr<SSL, tls::OpenSslDeleter> session(SSL_new(context.get()));
  SSL_set_fd(session.get(), client.descriptor());
  ASSERT_EQ(SSL_connect(session.get()), 1);
  held = true;
  const std::string request = "GET /directory HTTP/1.1\r\n\r\n";
  ASSERT_GT(SSL_write(session.get(), request.data(), static_cast<int>(request.size())), 0);
  client.close();
  held = false;
  authority.reset();  // once it has answered
  std::signal(SIGPIPE, SIG_IGN);
}

}  // namespace
}  // namespace quartzarch::test

int main(int argc, char** argv) {
  if (argc == 8 && std::string_view(argv[1]) == "--renew-and-die")
    return quartzarch::test::renew_until_killed(argv + 2);
  ::setenv("RC_PARAMS", "seed=20261201", 1);  // reproducible cases
  ::testing::InitGoogleTest(&argc, argv);
  return RUN_ALL_TESTS();
}
