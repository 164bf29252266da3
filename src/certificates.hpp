// The certificates of a serving process: the keeper on a thread of its own, and what it serves on the TLS
// port.
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
  // Where a keeper's state is; `stopped` ends what waits. Called for each new keeper.
  using KeepIn =
      std::function<acme::SharedState(const acme::Settings& settings, std::function<bool()> stopped)>;

  // Throws ConfigError if the file is bad, std::runtime_error if the state cannot be trusted. `tls_port`:
  // whether the process has one, which tls-alpn-01 is answered on. `keep_in`: empty for the directory.
  Certificates(Logger& log, const std::string& path, bool tls_port, KeepIn keep_in = {});
  ~Certificates() override { stop(); }

  static acme::Settings read(const std::string& path);

  const std::string& path() const override { return path_; }
  std::shared_ptr<tls::Registry> registry() const override { return registry_; }
  void start() override;
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
  std::stop_source round_{};  // ends when settings have come, or the thread is told to stop
  std::unique_ptr<acme::CertificateRenewer> keeper_{};
  std::jthread thread_{};  // last: ends before what it uses
};

}  // namespace quartzarch
