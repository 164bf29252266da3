// The certificates of a serving process: the keeper on a thread of its own, and what it serves on the TLS
// port.
#pragma once

#include <atomic>
#include <memory>
#include <mutex>
#include <optional>
#include <thread>

#include "acme/keeper.hpp"
#include "config.hpp"

namespace quartzarch {

class Certificates {
 public:
  // Throws ConfigError if the file is bad, std::runtime_error if the state cannot be trusted. `tls_port`:
  // whether the process has one, which tls-alpn-01 is answered on.
  Certificates(Logger& log, const char* path, bool tls_port);
  ~Certificates() { stop(); }

  static acme::Settings read(const char* path);

  // Begins to renew. The TLS port must be listened on by now: the authority is asked to look at it.
  void begin();
  const char* path() const { return path_; }
  const std::shared_ptr<tls::Registry>& registry() const { return registry_; }
  // New settings, taken up by the thread: the caller does not wait.
  void take(acme::Settings settings);
  // Tells the thread to end; the caller does not wait for it.
  void stop() { thread_.request_stop(); }

 private:
  void run(const std::stop_token& stop);

  Logger& log_;
  const char* path_;
  std::shared_ptr<tls::Registry> registry_ = std::make_shared<tls::Registry>();
  std::mutex mutex_;
  std::optional<acme::Settings> fresh_{};
  std::stop_source round_{};  // ends when settings have come, or the thread is told to stop
  std::unique_ptr<acme::Keeper> keeper_{};
  std::jthread thread_{};  // last: ends before what it uses
};

}  // namespace quartzarch
