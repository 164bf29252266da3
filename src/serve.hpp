// Wiring of a serving process: the fronts, the planner or the link to planners, the certificates and the
// stop.
#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "log.hpp"
#include "tls/registry.hpp"

namespace quartzarch {

// Issues and renews the certificates of the process. The implementation is passed in through ServeOptions, so
// that a program without certificates does not link it.
class CertificateManager {
 public:
  virtual ~CertificateManager() = default;
  virtual const std::string& path() const = 0;
  virtual std::shared_ptr<tls::Registry> registry() const = 0;
  // Starts renewals. The TLS port must be listening by now, since the certificate authority connects to it to
  // validate a challenge.
  virtual void start() = 0;
  // Reads the settings file again and returns the function that applies it, which does not block. Throws
  // ConfigError.
  virtual std::function<void()> reload() = 0;
  // Requests the end of the renewals; does not wait for it.
  virtual void stop() = 0;
};

class Loop;
class Planner;

// An optional component of a serving process, such as the control connection or the membership of a fleet;
// lives as long as the process serves.
class Extension {
 public:
  virtual ~Extension() = default;
  // The process has begun to stop; must not block.
  virtual void stop() {}
};

struct ServeOptions {
  std::optional<std::string> sip{};      // settings file of the SIP front
  std::optional<std::string> levels{};   // file with the addresses of the planners
  std::optional<std::string> certs{};    // settings file of the certificates
  std::optional<std::string> control{};  // settings file of the control connection and the gaps
  std::optional<std::string> fleet{};    // settings file of the fleet: its register and duties
  std::optional<std::size_t> planner{};
  bool forwarder = false;
  // Throws ConfigError if the file is invalid. `tls_port`: whether the process listens for TLS.
  std::function<std::unique_ptr<CertificateManager>(Logger& log, const std::string& path, bool tls_port)>
      make_certificates{};
  // Reads the control file and makes the control service, which filters the calls of the planner; called
  // before any call arrives. Throws ConfigError.
  std::function<std::unique_ptr<Extension>(Loop&, Logger&, Planner&, const std::string& path,
                                           std::uint64_t seed)>
      make_control_service{};
  // Joins the fleet, on a thread of its own. Made before the other components, which may use it, and
  // destroyed after them. Throws ConfigError.
  std::function<std::unique_ptr<Extension>(Logger&, const std::string& path, const std::string& name,
                                           std::uint64_t seed)>
      make_fleet{};
};

// Serves until a signal stops the process. Returns the exit code: 0 after a stop, 2 for an invalid
// configuration (logged as one line), 1 for any other error.
int serve(Logger& log, const ServeOptions& options);

}  // namespace quartzarch
