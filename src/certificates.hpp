// Certificates of a serving process: runs the ACME keeper, which obtains and renews them, on a thread of its
// own and makes them available to the TLS port.
#pragma once

#include <atomic>
#include <memory>
#include <mutex>
#include <optional>
#include <thread>

#include "acme/keeper.hpp"
#include "config.hpp"
#include "serve.hpp"

namespace quartzarch {

class Certificates : public CertificateManager {
 public:
  // Makes the store of a keeper's state, once for each new keeper. `stopped`: whether operations that wait
  // should give up.
  using StoreFactory =
      std::function<acme::Kept(const acme::Settings& settings, std::function<bool()> stopped)>;

  // Throws ConfigError if the file is invalid, std::runtime_error if the stored state cannot be trusted.
  // `tls_port`: whether the process has a TLS port, which the challenge tls-alpn-01 needs. `make_store`:
  // empty to store the state in the directory of the settings.
  Certificates(Logger& log, const std::string& path, bool tls_port, StoreFactory make_store = {});
  ~Certificates() override { stop(); }

  // Reads the settings file. Throws ConfigError.
  static acme::Settings read(const std::string& path);

  const std::string& path() const override { return path_; }
  std::shared_ptr<tls::Registry> registry() const override { return registry_; }
  void start() override;
  std::function<void()> reload() override;
  void stop() override { thread_.request_stop(); }

 private:
  std::unique_ptr<acme::Keeper> make_keeper(acme::Settings settings, std::stop_token round) const;
  // Hands new settings to the thread, which restarts the keeper with them.
  void replace_settings(acme::Settings settings);
  void run(const std::stop_token& stop);

  Logger& log_;
  std::string path_;
  StoreFactory make_store_;
  std::shared_ptr<tls::Registry> registry_ = std::make_shared<tls::Registry>();
  std::mutex mutex_;
  std::optional<acme::Settings> new_settings_{};
  std::stop_source round_{};  // stopped when new settings arrive or the thread is stopped
  std::unique_ptr<acme::Keeper> keeper_{};
  std::jthread thread_{};  // last member: joined before the members it uses are destroyed
};

}  // namespace quartzarch
