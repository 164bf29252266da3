// The shared helper of the certificate tests: a state directory, the stand-in authority and a clock that the
// test sets. Nothing waits for real time but for the authority's own looks on loopback.
#pragma once

#include <gtest/gtest.h>

#include <atomic>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <thread>

#include "acme/keeper.hpp"
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

class Folder {
 public:
  Folder() {
    std::string pattern = (std::filesystem::temp_directory_path() / "acme-XXXXXX").string();
    path = ::mkdtemp(pattern.data());
  }
  ~Folder() { std::filesystem::remove_all(path); }
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
    settings.patience = Seconds(600);
    settings.authorities.resize(1);
    settings.certificates = {{"sip", {"sip.lab.example"}, "ecdsa-p256"}};
  }
  Authority& authority(standin::Options options = {}) {
    Authority::Config setup;
    setup.options = std::move(options);
    setup.listen = any_port();
    setup.http01 = settings.http01;
    setup.tls_alpn = tls_alpn;
    setup.now = [this] { return now(); };
    authorities.push_back(std::make_unique<Authority>(std::move(setup)));
    Authority& made = *authorities.back();
    auto& access = settings.authorities.at(authorities.size() - 1);
    access.name = "authority " + std::to_string(authorities.size());
    access.access.directory = made.directory();
    access.access.ca_file = folder.file("roots-" + std::to_string(authorities.size()));
    access.access.http_timeout = milliseconds(20000);
    std::ofstream(access.access.ca_file) << made.root();
    return made;
  }
  acme::Environment environment() {
    acme::Environment made;
    made.now = [this] { return now(); };
    made.stopped = [] { return false; };
    made.seed = 42;
    made.pause = [this](milliseconds how_long) {
      time += std::chrono::ceil<Seconds>(how_long).count();
      std::this_thread::sleep_for(milliseconds(2));  // the authority's look goes on meanwhile
      return true;
    };
    made.step = [this](const char* what) {
      if (on_step) on_step(what);
    };
    return made;
  }
  std::unique_ptr<acme::Keeper> keeper() {
    return std::make_unique<acme::Keeper>(settings, log, registry, environment());
  }
  // Passes of the keeper, each when it asked to be called, until `end`.
  void run(acme::Keeper& keeper, Instant end, const std::function<void()>& each = {}) {
    while (now() < end) {
      const Instant next = keeper.work();
      if (each) each();
      set(std::min(std::max(next, now() + Seconds(1)), end));
    }
  }
  Instant now() const { return Instant(Seconds(time.load())); }
  void set(Instant to) { time = to.time_since_epoch().count(); }
  std::string said() const {
    std::fflush(log_file);
    return read_file(folder.file("log"));
  }
  std::string kept(const std::string& name) const { return read_file(settings.directory + "/" + name); }
  std::vector<std::string> files() const {
    std::vector<std::string> names;
    for (const auto& each : std::filesystem::directory_iterator(settings.directory)) {
      names.push_back(each.path().filename().string());
    }
    return names;
  }
  std::size_t files_with(const std::string& part) const {
    const auto all = files();
    return static_cast<std::size_t>(std::count_if(all.begin(), all.end(), [&](const std::string& each) {
      return each.find(part) != std::string::npos;
    }));
  }

  Folder folder;
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
