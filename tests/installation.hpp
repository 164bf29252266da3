// The fixture of the certificate tests: a state directory, stand-in authorities and a clock set by the test.
// Real time passes only while an authority validates challenges over loopback.
#pragma once

#include <gtest/gtest.h>

#include <atomic>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <thread>

#include "acme/certificate_renewer.hpp"
#include "authority/authority.hpp"
#include "config.hpp"
#include "loopback.hpp"

namespace quartzarch::test {

using acme::Alarm;
using acme::Instant;
using acme::Seconds;
using standin::Authority;
using standin::Fault;

constexpr Seconds kHour = std::chrono::hours(1), kDay = std::chrono::hours(24);

// A temporary directory, removed with its contents on destruction.
class TemporaryFolder {
 public:
  TemporaryFolder() {
    std::string pattern = (std::filesystem::temp_directory_path() / "acme-XXXXXX").string();
    path = ::mkdtemp(pattern.data());
  }
  ~TemporaryFolder() { std::filesystem::remove_all(path); }
  std::string file(const std::string& name) const { return path + "/" + name; }
  std::string path;
};

class Installation : public ::testing::Test {
 protected:
  Installation() {
    ::signal(SIGPIPE, SIG_IGN);
    settings.directory = folder.file("certs");
    settings.http01 = free_address();
    settings.challenges = {"http-01"};
    settings.step_timeout = Seconds(600);
    settings.authorities.resize(1);
    settings.certificates = {{"sip", {"sip.lab.example"}, "ecdsa-p256"}};
  }
  // Starts a stand-in authority and enters it in the settings.
  Authority& start_authority(standin::Options options = {}) {
    Authority::Config setup;
    setup.options = std::move(options);
    setup.listen = any_port();
    setup.http01 = settings.http01;
    setup.tls_alpn = tls_alpn;
    setup.now = [this] { return now(); };
    authorities.push_back(std::make_unique<Authority>(std::move(setup)));
    Authority& added = *authorities.back();
    auto& access = settings.authorities.at(authorities.size() - 1);
    access.name = "authority " + std::to_string(authorities.size());
    access.access.directory = added.directory();
    access.access.ca_file = folder.file("roots-" + std::to_string(authorities.size()));
    access.access.http_timeout = milliseconds(20000);
    std::ofstream(access.access.ca_file) << added.root();
    return added;
  }
  // An environment with the test's clock, where waiting advances the clock.
  acme::Environment environment() {
    acme::Environment result;
    result.now = [this] { return now(); };
    result.stopped = [] { return false; };
    result.seed = 42;
    result.pause = [this](milliseconds duration) {
      time += std::chrono::ceil<Seconds>(duration).count();
      std::this_thread::sleep_for(milliseconds(2));  // lets the authority validate meanwhile
      return true;
    };
    result.step = [this](const char* what) {
      if (on_step) on_step(what);
    };
    return result;
  }
  std::unique_ptr<acme::CertificateRenewer> make_renewer() {
    return std::make_unique<acme::CertificateRenewer>(settings, log, registry, environment());
  }
  // Runs passes, each at the time that the previous one returned, until `end`; calls `each` after each pass.
  void run(acme::CertificateRenewer& renewer, Instant end, const std::function<void()>& each = {}) {
    while (now() < end) {
      const Instant next = renewer.run_pass();
      if (each) each();
      set_time(std::min(std::max(next, now() + Seconds(1)), end));
    }
  }
  Instant now() const { return Instant(Seconds(time.load())); }
  void set_time(Instant to) { time = to.time_since_epoch().count(); }
  // The log so far.
  std::string log_text() const {
    std::fflush(log_file);
    return read_file(folder.file("log"));
  }
  // The contents of a file in the state directory.
  std::string stored_file(const std::string& name) const {
    return read_file(settings.directory + "/" + name);
  }
  std::vector<std::string> files() const {
    std::vector<std::string> names;
    for (const auto& each : std::filesystem::directory_iterator(settings.directory)) {
      names.push_back(each.path().filename().string());
    }
    return names;
  }
  // The number of files whose name contains `part`.
  std::size_t count_files_with(const std::string& part) const {
    const auto all = files();
    return static_cast<std::size_t>(std::count_if(all.begin(), all.end(), [&](const std::string& each) {
      return each.find(part) != std::string::npos;
    }));
  }

  TemporaryFolder folder;
  std::atomic<std::int64_t> time{
      std::chrono::floor<Seconds>(std::chrono::system_clock::now()).time_since_epoch().count()};
  std::FILE* log_file = std::fopen(folder.file("log").c_str(), "w");
  Logger log{log_file};
  std::shared_ptr<tls::Registry> registry = std::make_shared<tls::Registry>();
  std::optional<sockaddr_in> tls_alpn;
  acme::Settings settings;
  std::vector<std::unique_ptr<Authority>> authorities;
  std::function<void(const char*)> on_step;
};

}  // namespace quartzarch::test
