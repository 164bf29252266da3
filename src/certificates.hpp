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
  using KeepIn =
      std::function<acme::SharedState(const acme::Settings& settings, std::function<bool()> stopped)>;

  // Throws ConfigError if the settings file is invalid, std::runtime_error if the stored state cannot be
  // trusted. `tls_port`: whether the process has a TLS port, on which it can answer tls-alpn-01 challenges.
  // `keep_in`: empty for the state directory of the settings.
  Certificates(Logger& log, const std::string& path, bool tls_port, KeepIn keep_in = {});
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
  std::unique_ptr<acme::CertificateRenewer> keeper(acme::Settings settings, std::stop_token round) const;
  void take(acme::Settings settings);
  void run(const std::stop_token& stop);

  Logger& log_;
  std::string path_;
  KeepIn keep_in_;
  std::shared_ptr<tls::Registry> registry_ = std::make_shared<tls::Registry>();
  std::mutex mutex_;
  std::optional<acme::Settings> fresh_{};
  std::stop_source round_{};  // ends the renewer's run when new settings arrive or the thread must stop
  std::unique_ptr<acme::CertificateRenewer> keeper_{};
  std::jthread thread_{};  // last member: joined before the members that it uses are destroyed
};

}  // namespace quartzarch
