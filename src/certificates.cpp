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

Certificates::Certificates(Logger& log, const std::string& path, bool tls_port, OpenState open_state)
    : log_(log), path_(path), open_state_(std::move(open_state)) {
  acme::Settings settings = read(path);
  const auto& challenge_types = settings.challenges;
  if (!tls_port &&
      std::find(challenge_types.begin(), challenge_types.end(), "http-01") == challenge_types.end()) {
    throw ConfigError(
        "\"challenges\" has tls-alpn-01 only, which needs a TLS port (\"tls\" in the file of --sip)");
  }
  // The first renewer is created on the caller's thread, so that stored certificates are served from the
  // first connection on.
  renewer_ = make_renewer(std::move(settings), run_stop_.get_token());
}

std::unique_ptr<acme::CertificateRenewer> Certificates::make_renewer(acme::Settings settings,
                                                                     std::stop_token run_token) const {
  acme::SharedState shared = open_state_
                                 ? open_state_(settings, [run_token] { return run_token.stop_requested(); })
                                 : acme::open_state_on_disk(settings, log_);
  return std::make_unique<acme::CertificateRenewer>(
      std::move(settings), log_, registry_, acme::Environment::real(std::move(run_token)), std::move(shared));
}

void Certificates::start() {
  thread_ = std::jthread([this](const std::stop_token& stop) { run(stop); });
}

std::function<void()> Certificates::reload() {
  return [this, new_settings = read(path_)] { replace_settings(new_settings); };
}

void Certificates::replace_settings(acme::Settings settings) {
  const std::lock_guard lock(mutex_);
  pending_settings_ = std::move(settings);
  run_stop_.request_stop();
}

void Certificates::run(const std::stop_token& stop) {
  const std::stop_callback on_stop(stop, [this] {
    const std::lock_guard lock(mutex_);
    run_stop_.request_stop();
  });
  for (;;) {
    std::stop_token run_token;
    {
      const std::lock_guard lock(mutex_);
      run_token = run_stop_.get_token();
    }
    renewer_->run(run_token);
    std::optional<acme::Settings> new_settings;
    {
      const std::lock_guard lock(mutex_);
      if (stop.stop_requested()) return;
      new_settings = std::exchange(pending_settings_, std::nullopt);
      run_stop_ = std::stop_source();
      run_token = run_stop_.get_token();
    }
    if (!new_settings) continue;
    try {
      renewer_ = make_renewer(std::move(*new_settings), run_token);
    } catch (const std::exception& error) {
      log_.line("certificates: %s; the old settings go on", error.what());
      // The renewer in use was created with the stop token of the finished run, so it needs a replacement
      // too.
      renewer_ = make_renewer(renewer_->settings(), run_token);
    }
  }
}

}  // namespace quartzarch
