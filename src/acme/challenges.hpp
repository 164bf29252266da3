// Publishes challenge responses in the shared store. The instance that places an order publishes them, and
// every instance answers them, whichever one the authority connects to.
#pragma once

#include <map>
#include <memory>
#include <string>

#include "acme/environment.hpp"
#include "acme/responder.hpp"
#include "acme/settings.hpp"
#include "log.hpp"
#include "tls/registry.hpp"

namespace quartzarch::acme {

class Challenges {
 public:
  // `registry` may be null; tls-alpn-01 is then not answered by this process.
  Challenges(Store& store, const Settings& settings, Logger& log, std::shared_ptr<tls::Registry> registry)
      : store_(store), settings_(settings), log_(log), registry_(std::move(registry)) {}
  ~Challenges();

  // `authorization` is the key authorization (RFC 8555, 8.1). The challenge expires after two step timeouts
  // plus the publish delay.
  void publish(Instant now, const std::string& name, const std::string& type, const std::string& token,
               const std::string& authorization);
  void withdraw(Instant now, const std::string& name);
  // Starts answering the challenges that any instance has published, and stops answering the withdrawn ones.
  void sync(Instant now);

 private:
  struct Published {
    std::string stamp{}, name{}, type{};
  };

  Store& store_;
  const Settings& settings_;
  Logger& log_;
  std::shared_ptr<tls::Registry> registry_;
  std::unique_ptr<Responder> responder_{};
  std::map<std::string, Published> published_{};  // by the file name of the challenge record
  bool responder_error_logged_ = false;
};

}  // namespace quartzarch::acme
