// Stories of the certificate client with the stand-in authority.
#include <gtest/gtest.h>
#include <sys/stat.h>

#include <cstdlib>
#include <filesystem>

#include "acme/store.hpp"
#include "authority.hpp"
#include "config.hpp"
#include "loopback.hpp"

namespace quartzarch::test {
namespace {

using std::chrono::milliseconds;

class Acme : public ::testing::Test {
 protected:
  Acme() {
    std::string pattern = (std::filesystem::temp_directory_path() / "acme-XXXXXX").string();
    directory = ::mkdtemp(pattern.data());
    settings.client.names = {"sip.lab.example"};
    settings.client.poll = milliseconds(1);
    settings.client.patience = milliseconds(20);
    settings.account_key = directory + "/account.pem";
    settings.certificate = directory + "/sip.pem";
    settings.challenges = free_address();
  }
  ~Acme() override { std::filesystem::remove_all(directory); }
  std::string failure() {
    try {
      acme::renew(settings);
    } catch (const acme::AcmeError& error) {
      return error.what();
    }
    return {};
  }

  std::string directory;
  acme::Settings settings;
};

TEST_F(Acme, ACertificateIsObtainedKeptWhileGoodAndRenewedWhenDue) {
  Authority authority(settings.challenges, {});
  settings.client.directory = authority.directory();
  EXPECT_EQ(acme::renew(settings), acme::Done::renewed);
  const std::string first = read_file(settings.certificate);
  const std::string account = read_file(settings.account_key);
  EXPECT_TRUE(acme::belongs_to(acme::first_certificate(first), acme::key_from_pem(first)));
  EXPECT_TRUE(acme::names_all(acme::first_certificate(first), settings.client.names));
  struct stat info {};
  ASSERT_EQ(::stat(settings.certificate.c_str(), &info), 0);
  EXPECT_EQ(info.st_mode & 0777, 0600u) << "others may read the private key";
  EXPECT_EQ(acme::renew(settings), acme::Done::kept);
  EXPECT_EQ(authority.certificates(), 1);
  settings.renew_before = std::chrono::hours(24 * 100);
  EXPECT_EQ(acme::renew(settings), acme::Done::renewed);
  EXPECT_NE(read_file(settings.certificate), first);
  EXPECT_EQ(read_file(settings.account_key), account);
  EXPECT_EQ(authority.certificates(), 2);
}

TEST_F(Acme, AStaleNonceIsReplacedAndTheRequestMadeAgain) {
  Authority authority(settings.challenges, {.stale_nonces = 3});
  settings.client.directory = authority.directory();
  EXPECT_EQ(acme::renew(settings), acme::Done::renewed);
}

TEST_F(Acme, AnAuthorityThatTakesNoNonceIsGivenUp) {
  Authority authority(settings.challenges, {.stale_nonces = 1000});
  settings.client.directory = authority.directory();
  EXPECT_NE(failure().find("nonce"), std::string::npos);
}

// The authority asks elsewhere and finds nobody: the certificate at hand stays.
TEST_F(Acme, ARejectedChallengeLeavesTheOldCertificate) {
  acme::replace_file(settings.certificate, "old");
  Authority authority(free_address(), {});
  settings.client.directory = authority.directory();
  EXPECT_NE(failure().find("invalid"), std::string::npos);
  EXPECT_EQ(read_file(settings.certificate), "old");
  EXPECT_EQ(std::distance(std::filesystem::directory_iterator(directory), {}), 2);
}

TEST_F(Acme, AnAuthorityThatNeverDecidesIsGivenUp) {
  Authority authority(settings.challenges, {.never_decides = true});
  settings.client.directory = authority.directory();
  settings.client.patience = milliseconds(0);
  // Its Retry-After of nought must not make the wait endless either.
  EXPECT_NE(failure().find("too long"), std::string::npos);
}

TEST_F(Acme, AnAuthorityThatIsSilentTimesOut) {
  const Fd silent = listen_on(*parse_address("127.0.0.1:0"));
  settings.client.directory = "http://" + address_text(bound_address(silent)) + "/directory";
  settings.client.http_timeout = milliseconds(50);
  EXPECT_THROW(acme::renew(settings), acme::HttpError);
}

TEST(AcmeFiles, AreReplacedAsAWholeOrNotAtAll) {
  EXPECT_THROW(acme::replace_file("/nonexistent-folder/file", "x"), acme::StoreError);
}

TEST(AcmeSettings, AreDecodedAndBadOnesNamed) {
  const std::string good =
      "directory = \"http://127.0.0.1:1/d\"\naccount_key = \"a\"\ncertificate = \"c\"\nchallenges = "
      "\"127.0.0.1:2\"\n";
  EXPECT_EQ(acme::parse_settings(good + "names = [\"a.b\"]").client.names.size(), 1u);
  for (const std::string& bad :
       {good, good + "names = []", good + "names = [\"a,DNS:b\"]", std::string("directory =")}) {
    EXPECT_THROW(acme::parse_settings(bad), ConfigError) << bad;
  }
}

}  // namespace
}  // namespace quartzarch::test
