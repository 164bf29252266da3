// The program that serves: the fronts, the planner or the link to planners, and the certificates, wired up.
#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "log.hpp"
#include "tls/registry.hpp"

namespace quartzarch {

// The certificates that a process keeps itself, as serving sees them. What makes them is given from above, so
// that a program that keeps none carries nothing of it.
class CertificateManager {
 public:
  virtual ~CertificateManager() = default;
  virtual const std::string& path() const = 0;
  virtual std::shared_ptr<tls::Registry> registry() const = 0;
  // Begins to renew. The TLS port must be listened on by now: the authority is asked to look at it.
  virtual void start() = 0;
  // Reads the file again; the step that takes it up, which does not wait. Throws ConfigError.
  virtual std::function<void()> reload() = 0;
  // Tells it to end; does not wait.
  virtual void stop() = 0;
};

class Loop;
class Planner;

// What else a process that decides has beside its fronts; lives as long as it serves, on its loop.
class Extension {
 public:
  virtual ~Extension() = default;
  // The process was told to end; does not wait.
  virtual void stop() {}
};

struct ServeOptions {
  std::optional<std::string> sip{};      // the SIP front's file
  std::optional<std::string> levels{};   // the planners' addresses
  std::optional<std::string> certs{};    // the certificates that the program keeps itself
  std::optional<std::string> control{};  // the control connection and the gaps
  std::optional<std::string> fleet{};    // the register and the duties of a fleet
  std::optional<std::size_t> planner{};
  bool forwarder = false;
  // Throws ConfigError if the file is bad. `tls_port`: whether the process has one.
  std::function<std::unique_ptr<CertificateManager>(Logger& log, const std::string& path, bool tls_port)>
      make_certificates{};
  // Reads its file and attaches what operators need; before any call comes. Throws ConfigError.
  std::function<std::unique_ptr<Extension>(Loop&, Logger&, Planner&, const std::string& path,
                                           std::uint64_t seed)>
      make_operation{};
  // Begins the process's part in its fleet, on a thread of its own; before the others are made, which may use
  // it, and ended after them. Throws ConfigError.
  std::function<std::unique_ptr<Extension>(Logger&, const std::string& path, const std::string& name,
                                           std::uint64_t seed)>
      make_fleet{};
};

// Serves until it is told to stop. The exit code: 0, 2 after a bad configuration (one line said so), 1
// otherwise.
int serve(Logger& log, const ServeOptions& options);

}  // namespace quartzarch
