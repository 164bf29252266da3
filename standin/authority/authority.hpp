// A simulated ACME server on a loopback address. It serves HTTPS under its own root certificate, checks
// nonces, URLs and signatures, validates http-01 and tls-alpn-01 challenges, and issues the requested
// certificates. Faults are injected by the rules of a FaultScript. Each connection has its own thread; mutex_
// guards the script and the model.
#pragma once

#include <netinet/in.h>

#include <atomic>
#include <list>
#include <memory>
#include <mutex>
#include <thread>

#include "authority/model.hpp"
#include "net/fd.hpp"
#include "tls/registry.hpp"

namespace quartzarch::standin {

class Authority {
 public:
  struct Config {
    Options options{};
    sockaddr_in listen{};  // port 0: the system chooses a free port
    // Addresses at which challenges are validated, whatever the name to be validated.
    std::optional<sockaddr_in> http01{}, tls_alpn{};
    std::function<Instant()> now{};  // empty: the system's clock
  };

  explicit Authority(Config config);
  ~Authority();

  // The directory URL, where an ACME client starts.
  std::string directory() const { return base_ + "/directory"; }
  // The root certificates in PEM.
  const std::string& root() const { return ca_.root(); }
  Ca& ca() { return ca_; }
  void add(FaultRule rule);
  void clear_rules();
  Counts counts() const;

 private:
  struct Connection {
    std::jthread thread{};
    std::atomic<bool> done = false;
  };

  void run(const std::stop_token& stop);
  void serve(const std::stop_token& stop, const Fd& fd);
  // These validate a challenge; they return the error, or an empty string if the challenge is valid.
  std::string validate(const PendingChallenge& challenge) const;
  std::string validate_http01(const PendingChallenge& challenge) const;
  std::string validate_tls_alpn01(const PendingChallenge& challenge) const;

  Config config_;
  Ca ca_;
  tls::Registry certificates_{};
  Fd listener_;
  std::string base_;
  mutable std::mutex mutex_;
  FaultScript script_{};
  Model model_;
  std::list<Connection> connections_{};
  std::jthread thread_;  // declared last, so that it is joined before the members it uses are destroyed
};

}  // namespace quartzarch::standin
