#include "certificates.hpp"

#include <algorithm>
#include <utility>

namespace quartzarch {

acme::Settings Certificates::read(const std::string& path) {
  try {
    return acme::parse_settings(read_file(path));
  } catch (const acme::SettingsError& error) {
    throw ConfigError(error.what());
  }
}

Certificates::Certificates(Logger& log, const std::string& path, bool tls_port) : log_(log), path_(path) {
  acme::Settings settings = read(path);
  const auto& ways = settings.challenges;
  if (!tls_port && std::find(ways.begin(), ways.end(), "http-01") == ways.end()) {
    throw ConfigError(
        "\"challenges\" has tls-alpn-01 only, which needs a TLS port (\"tls\" in the file of --sip)");
  }
  // The first one on the caller's thread: what is on disk is served from the first connection on.
  keeper_ = std::make_unique<acme::Keeper>(std::move(settings), log, registry_,
                                           acme::Environment::real(round_.get_token()));
}

void Certificates::begin() {
  thread_ = std::jthread([this](const std::stop_token& stop) { run(stop); });
}

std::function<void()> Certificates::read_again() {
  return [this, fresh = read(path_)] { take(fresh); };
}

void Certificates::take(acme::Settings settings) {
  const std::lock_guard lock(mutex_);
  fresh_ = std::move(settings);
  round_.request_stop();
}

void Certificates::run(const std::stop_token& stop) {
  const std::stop_callback told(stop, [this] {
    const std::lock_guard lock(mutex_);
    round_.request_stop();
  });
  for (;;) {
    std::stop_token round;
    {
      const std::lock_guard lock(mutex_);
      round = round_.get_token();
    }
    keeper_->run(round);
    std::optional<acme::Settings> fresh;
    {
      const std::lock_guard lock(mutex_);
      if (stop.stop_requested()) return;
      fresh = std::exchange(fresh_, std::nullopt);
      round_ = std::stop_source();
      round = round_.get_token();
    }
    if (!fresh) continue;
    try {
      keeper_ =
          std::make_unique<acme::Keeper>(std::move(*fresh), log_, registry_, acme::Environment::real(round));
    } catch (const std::exception& error) {
      log_.line("certificates: %s; the old settings go on", error.what());
      // Its environment ended with the round that it was made for.
      keeper_ = std::make_unique<acme::Keeper>(keeper_->settings(), log_, registry_,
                                               acme::Environment::real(round));
    }
  }
}

}  // namespace quartzarch
