// The certificates of a serving process: runs the certificate renewer on a thread of its own and provides the
// registry of certificates for the TLS port.
#pragma once

#include <atomic>
#include <memory>
#include <mutex>
#include <optional>
#include <thread>

#include "acme/certificate_renewer.hpp"
#include "config.hpp"
#include "serve.hpp"

namespace quartzarch {

class Certificates : public CertificateManager {
 public:
  // Opens the shared state of a renewer; called for each new renewer. `stopped` ends the waits inside it.
  using OpenState =
      std::function<acme::SharedState(const acme::Settings& settings, std::function<bool()> stopped)>;

  // Throws ConfigError if the settings file is invalid, std::runtime_error if the stored state cannot be
  // trusted. `tls_port`: whether the process has a TLS port, on which it can answer tls-alpn-01 challenges.
  // `open_state`: empty for the state directory of the settings.
  Certificates(Logger& log, const std::string& path, bool tls_port, OpenState open_state = {});
  ~Certificates() override { stop(); }

  // Reads a settings file. Throws ConfigError.
  static acme::Settings read(const std::string& path);

  const std::string& path() const override { return path_; }
  std::shared_ptr<tls::Registry> registry() const override { return registry_; }
  void start() override;
  // Reads the settings file again and returns a function that puts it into force. Throws ConfigError.
  std::function<void()> reload() override;
  void stop() override { thread_.request_stop(); }

 private:
  std::unique_ptr<acme::CertificateRenewer> make_renewer(acme::Settings settings,
                                                         std::stop_token run_token) const;
  // Ends the run of the renewer in use; run() then replaces it by one with these settings.
  void replace_settings(acme::Settings settings);
  // Runs renewers one after the other until `stop` is requested.
  void run(const std::stop_token& stop);

  Logger& log_;
  std::string path_;
  OpenState open_state_;
  std::shared_ptr<tls::Registry> registry_ = std::make_shared<tls::Registry>();
  std::mutex mutex_;
  std::optional<acme::Settings> pending_settings_{};  // reloaded settings that are not in use yet
  std::stop_source run_stop_{};  // ends the renewer's run when new settings arrive or the thread must stop
  std::unique_ptr<acme::CertificateRenewer> renewer_{};
  std::jthread thread_{};  // last member: joined before the members that it uses are destroyed
};

}  // namespace quartzarch
