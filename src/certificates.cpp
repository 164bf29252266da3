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

Certificates::Certificates(Logger& log, const std::string& path, bool tls_port, KeepIn keep_in)
    : log_(log), path_(path), keep_in_(std::move(keep_in)) {
  acme::Settings settings = read(path);
  const auto& ways = settings.challenges;
  if (!tls_port && std::find(ways.begin(), ways.end(), "http-01") == ways.end()) {
    throw ConfigError(
        "\"challenges\" has tls-alpn-01 only, which needs a TLS port (\"tls\" in the file of --sip)");
  }
  // The first renewer is created on the caller's thread, so that stored certificates are served from the
  // first connection on.
  keeper_ = keeper(std::move(settings), round_.get_token());
}

std::unique_ptr<acme::CertificateRenewer> Certificates::keeper(acme::Settings settings,
                                                               std::stop_token round) const {
  acme::SharedState kept = keep_in_ ? keep_in_(settings, [round] { return round.stop_requested(); })
                                    : acme::open_state_on_disk(settings, log_);
  return std::make_unique<acme::CertificateRenewer>(
      std::move(settings), log_, registry_, acme::Environment::real(std::move(round)), std::move(kept));
}

void Certificates::start() {
  thread_ = std::jthread([this](const std::stop_token& stop) { run(stop); });
}

std::function<void()> Certificates::reload() {
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
      keeper_ = keeper(std::move(*fresh), round);
    } catch (const std::exception& error) {
      log_.line("certificates: %s; the old settings go on", error.what());
      // The renewer in use was created with the stop token of the finished run, so it needs a replacement
      // too.
      keeper_ = keeper(keeper_->settings(), round);
    }
  }
}

}  // namespace quartzarch
