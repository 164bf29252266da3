// The stand-in authority: an ACME server on loopback that really verifies. HTTPS with a root of its own; it
// checks nonces, URLs and signatures, looks at http-01 and tls-alpn-01 answers, and signs what a request asks
// for.
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
  struct Setup {
    Options options{};
    sockaddr_in listen{};  // port 0: any
    // Where the answers to challenges are looked at, whatever the name.
    std::optional<sockaddr_in> http01{}, tls_alpn{};
    std::function<Instant()> now{};  // the system's clock if empty
  };

  explicit Authority(Setup setup);
  ~Authority();

  std::string directory() const { return base_ + "/directory"; }
  const std::string& root() const { return ca_.root(); }
  Ca& ca() { return ca_; }
  void add(Rule rule);
  void clear();  // of all rules
  Counts counts() const;

 private:
  struct Connection {
    std::jthread thread{};
    std::atomic<bool> done = false;
  };

  void run(const std::stop_token& stop);
  void serve(const std::stop_token& stop, const Fd& fd);
  std::string look_at(const Look& look) const;
  std::string look_http(const Look& look) const;
  std::string look_tls(const Look& look) const;

  Setup setup_;
  Ca ca_;
  tls::Registry certificates_{};
  Fd listener_;
  std::string base_;
  mutable std::mutex mutex_;
  Script script_{};
  Model model_;
  std::list<Connection> connections_{};
  std::jthread thread_;  // last: ends before what it uses
};

}  // namespace quartzarch::standin
