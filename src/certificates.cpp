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

Certificates::Certificates(Logger& log, const std::string& path, bool tls_port, StoreFactory make_store)
    : log_(log), path_(path), make_store_(std::move(make_store)) {
  acme::Settings settings = read(path);
  const auto& ways = settings.challenges;
  if (!tls_port && std::find(ways.begin(), ways.end(), "http-01") == ways.end()) {
    throw ConfigError(
        "\"challenges\" has tls-alpn-01 only, which needs a TLS port (\"tls\" in the file of --sip)");
  }
  // The first keeper is made on the caller's thread, so that certificates on disk are served from the first
  // connection on.
  keeper_ = make_keeper(std::move(settings), round_.get_token());
}

std::unique_ptr<acme::Keeper> Certificates::make_keeper(acme::Settings settings,
                                                        std::stop_token round) const {
  acme::Kept kept = make_store_ ? make_store_(settings, [round] { return round.stop_requested(); })
                                : acme::kept_on_disk(settings, log_);
  return std::make_unique<acme::Keeper>(std::move(settings), log_, registry_,
                                        acme::Environment::real(std::move(round)), std::move(kept));
}

void Certificates::start() {
  thread_ = std::jthread([this](const std::stop_token& stop) { run(stop); });
}

std::function<void()> Certificates::reload() {
  return [this, new_settings = read(path_)] { replace_settings(new_settings); };
}

void Certificates::replace_settings(acme::Settings settings) {
  const std::lock_guard lock(mutex_);
  new_settings_ = std::move(settings);
  round_.request_stop();
}

void Certificates::run(const std::stop_token& stop) {
  const std::stop_callback on_stop(stop, [this] {
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
    std::optional<acme::Settings> new_settings;
    {
      const std::lock_guard lock(mutex_);
      if (stop.stop_requested()) return;
      new_settings = std::exchange(new_settings_, std::nullopt);
      round_ = std::stop_source();
      round = round_.get_token();
    }
    if (!new_settings) continue;
    try {
      keeper_ = make_keeper(std::move(*new_settings), round);
    } catch (const std::exception& error) {
      log_.line("certificates: %s; the old settings go on", error.what());
      // The old keeper's environment was stopped together with its round, so a new keeper is made with the
      // old settings.
      keeper_ = make_keeper(keeper_->settings(), round);
    }
  }
}

}  // namespace quartzarch
