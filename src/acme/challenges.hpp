// The answers to the authorities' challenges: put up by the instance that orders, given by all.
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
  // `registry` may be null: tls-alpn-01 is not answered here then.
  Challenges(Store& store, const Settings& settings, Logger& log, std::shared_ptr<tls::Registry> registry)
      : store_(store), settings_(settings), log_(log), registry_(std::move(registry)) {}
  ~Challenges();

  void publish(Instant now, const std::string& name, const std::string& type, const std::string& token,
               const std::string& authorization);
  void withdraw(Instant now, const std::string& name);
  // Answers what any instance has put up, and no more.
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
  std::map<std::string, Published> published_{};  // by the record of the challenge
  bool responder_error_logged_ = false;
};

}  // namespace quartzarch::acme
