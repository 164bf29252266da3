// Certificates shared by a fleet: three serving processes, one authority, and faults in the middle of an
// order.
#include <gtest/gtest.h>

#include <set>

#include "authority/authority.hpp"
#include "fleet/seal.hpp"
#include "fleet_process.hpp"

namespace quartzarch::test {
namespace {

using standin::Fault;

TEST(Seal, OpensOnlyWhatItSealedUnderTheSameNameAndKey) {
  const auto seal = fleet::Seal::from_hex(std::string(64, 'a'));
  ASSERT_TRUE(seal);
  const std::string closed = seal->encrypt("certificate/sip.current.pem", "a key");
  EXPECT_EQ(closed.find("a key"), std::string::npos);
  EXPECT_EQ(seal->decrypt("certificate/sip.current.pem", closed)->view(), "a key");
  EXPECT_NE(closed, seal->encrypt("certificate/sip.current.pem", "a key"));
  EXPECT_FALSE(seal->decrypt("certificate/other.pem", closed));
  EXPECT_FALSE(
      fleet::Seal::from_hex(std::string(63, 'a') + "b")->decrypt("certificate/sip.current.pem", closed));
  for (std::size_t at = 0; at < closed.size(); ++at) {
    std::string changed = closed;
    changed[at] = static_cast<char>(changed[at] ^ 1);
    EXPECT_FALSE(seal->decrypt("certificate/sip.current.pem", changed)) << at;
    EXPECT_FALSE(seal->decrypt("certificate/sip.current.pem", closed.substr(0, at))) << at;
  }
  EXPECT_FALSE(fleet::Seal::from_hex("aa"));
  EXPECT_FALSE(fleet::Seal::from_hex(std::string(63, 'a') + "x"));
}

class FleetCertificates : public FleetProcess {
 protected:
  FleetCertificates() {
    standin::Authority::Config setup;
    setup.listen = any_port();
    setup.http01 = http01_;
    authority.emplace(std::move(setup));
    acme::replace_file(directory + "/roots", authority->root());
    write_secret("fleet.key", 'a');
    extra_fleet_settings = "secret_file = \"" + directory + "/fleet.key\"\nstart_wait_ms = 300\n";
  }
  void write_secret(const std::string& file, char digit) {
    acme::replace_file(directory + "/" + file, std::string(64, digit) + "\n");
  }
  std::string certs_file(const std::string& who) {
    const std::string path = directory + "/" + who + ".certs.toml";
    acme::replace_file(path,
                       "directory = \"" + directory + "/" + who + ".certs\"\nchallenges = [\"http-01\"]\n" +
                           "http01 = \"" + address_text(http01_) +
                           "\"\nlease_s = 5\npoll_ms = 50\nsettle_ms = 700\n[[authority]]\ndirectory = \"" +
                           authority->directory() + "\"\nhttp_timeout_ms = 1500\nca_file = \"" + directory +
                           "/roots\"\n[[certificate]]\nid = \"sip\"\nnames = [\"sip.lab.example\"]\n" +
                           "[renewal]\nfirst_wait_s = 1\n");
    return path;
  }
  std::vector<std::string> extra_options(const std::string& who) override {
    if (without_certificates.count(who) > 0) return {};
    return {"--certs", certs_file(who)};
  }
  std::set<std::string> without_certificates;
  std::string certificate(const std::string& who) const {
    std::ifstream file(directory + "/" + who + ".certs/sip.current.pem");
    return {std::istreambuf_iterator<char>(file), {}};
  }
  // Waits until all three have the same certificate, other than `before`.
  void wait_for_same_certificate(const std::string& before = "") {
    wait_until(
        [&] {
          const std::string a = certificate("a");
          return !a.empty() && a != before && a == certificate("b") && a == certificate("c");
        },
        "the same certificate everywhere");
  }
  std::string holder() {
    const std::string text = run_command({"duty", "show", "certificates", "--json"});
    const auto at = text.find("\"holder\":\"");
    return at == std::string::npos ? "" : text.substr(at + 10, text.find('"', at + 10) - at - 10);
  }
  // Waits for a holder whose finalized order the authority does not complete, and returns it. The challenge
  // is over by then, so that stopping the process does not block the port on which challenges are answered.
  std::string wait_for_stuck_order() {
    std::string who;
    wait_until(
        [&] {
          for (const char* const each : {"a", "b", "c"}) {
            std::ifstream file(directory + "/" + each + ".certs/sip.order.json");
            const std::string order(std::istreambuf_iterator<char>(file), {});
            if (order.find("\"finalized\":1") != std::string::npos && holder() == each) who = each;
          }
          return !who.empty();
        },
        "an order");
    return who;
  }

  const sockaddr_in http01_ = free_address();
  std::optional<standin::Authority> authority;
};

TEST_F(FleetCertificates, OneControllerOrdersAllServeAndANewOneReadsTheRegister) {
  start_fleet();
  wait_for_same_certificate();
  EXPECT_EQ(authority->counts().orders, 1);
  // The voters' disks must not contain the key in plain text.
  std::ifstream disk(directory + "/a.register/register.sqlite", std::ios::binary);
  const std::string bytes(std::istreambuf_iterator<char>(disk), {});
  EXPECT_EQ(bytes.find("PRIVATE KEY"), std::string::npos);
  const std::string first = certificate("a");
  kill("c");
  std::filesystem::remove_all(directory + "/c.certs");
  start_voter(2);
  wait_for_same_certificate();
  EXPECT_EQ(certificate("c"), first);
  // Renewed by an operator on a machine that is none of the three: the duty moves there and back.
  std::filesystem::create_directory(directory + "/hand.certs");
  std::filesystem::permissions(directory + "/hand.certs", std::filesystem::perms::owner_all);
  const std::string file = fleet_file("hand", extra_fleet_settings);
  const int code =
      exit_code_of(spawn({"certs", "renew", "sip", "--file", certs_file("hand"), "--fleet", file}, "hand"));
  EXPECT_EQ(code, 0) << read_file(directory + "/hand");
  wait_for_same_certificate(first);
  EXPECT_EQ(authority->counts().certificates, 2);
}

TEST_F(FleetCertificates, TheSuccessorOfAHolderKilledDuringAnOrderCompletesTheOrder) {
  authority->add({Fault::silent, "/certificate/", -1});
  start_fleet();
  const std::string first = wait_for_stuck_order();
  kill(first);
  authority->clear_rules();
  wait_until([&] { return !certificate(first == "a" ? "b" : "a").empty(); }, "a certificate");
  EXPECT_EQ(authority->counts().orders, 1) << "a second order was made";
  start_voter(first[0] - 'a');
  wait_for_same_certificate();
}

TEST_F(FleetCertificates, AHolderStoppedDuringAnOrderChangesNothingAfterItResumes) {
  authority->add({Fault::silent, "/certificate/", -1});
  start_fleet();
  const std::string first = wait_for_stuck_order();
  signal(first, SIGSTOP);
  const std::string other = first == "a" ? "b" : "a";
  wait_until([&] { return !holder().empty() && holder() != first; }, "another holder");
  authority->clear_rules();
  wait_until([&] { return !certificate(other).empty(); }, "a certificate");
  const std::string taken = certificate(other);
  signal(first, SIGCONT);
  wait_until([&] { return certificate(first) == taken; }, "the certificate that its successor obtained");
  wait_for_same_certificate();
  EXPECT_EQ(certificate("c"), taken);
  EXPECT_EQ(authority->counts().certificates, 1);
}

TEST_F(FleetCertificates, WithoutVotersCertificatesAreServedAndNotRenewed) {
  start_fleet();
  wait_for_same_certificate();
  const std::string first = certificate("a");
  for (const char* const each : {"a", "b", "c"}) kill(each);
  start_voter(0);
  wait_until_serving("a");
  EXPECT_NE(log_of("a").find("out of reach"), std::string::npos);
  EXPECT_EQ(certificate("a"), first);
  const std::string file = fleet_file("a", extra_fleet_settings);
  EXPECT_NE(
      exit_code_of(spawn({"certs", "renew", "sip", "--file", certs_file("a"), "--fleet", file}, "hand")), 0);
  EXPECT_EQ(certificate("a"), first);
  EXPECT_EQ(authority->counts().orders, 1);
}

TEST_F(FleetCertificates, ExistingCertificatesAreSharedAndAnotherSecretChangesNothing) {
  // A single process with its own directory, before there is a fleet.
  acme::replace_file(directory + "/config.json", config());
  const pid_t alone = spawn({"--certs", certs_file("a")}, "alone");
  wait_until([&] { return !certificate("a").empty(); }, "a certificate before the fleet");
  ::kill(alone, SIGKILL);
  exit_code_of(alone);
  const std::string first = certificate("a");
  for (int i = 0; i < kVoters; ++i) init(i);
  start_voter(0);
  without_certificates = {"b"};
  start_voter(1);
  wait_until(
      [&] { return certificate("a") == first && log_of("a").find("begins with") != std::string::npos; },
      "the import into the register");
  write_secret("other.key", 'b');
  extra_fleet_settings = "secret_file = \"" + directory + "/other.key\"\nstart_wait_ms = 300\n";
  start_voter(2);
  wait_until(
      [&] { return log_of("c").find("not sealed with this controller's secret") != std::string::npos; },
      "the report of the wrong secret");
  EXPECT_EQ(certificate("c"), "");
  kill("c");
  extra_fleet_settings = "secret_file = \"" + directory + "/fleet.key\"\nstart_wait_ms = 300\n";
  start_voter(2);
  wait_until([&] { return certificate("c") == first; }, "the existing certificate");
  EXPECT_EQ(authority->counts().orders, 1);
}

}  // namespace
}  // namespace quartzarch::test
