// What operators do to a running instance: the control connection, and the gaps that are announced over it.
#pragma once

#include <memory>
#include <optional>
#include <string>

#include "acme/state.hpp"
#include "control/server.hpp"
#include "control/writer.hpp"
#include "core/planner.hpp"
#include "gap/gate.hpp"
#include "serve.hpp"

namespace quartzarch {

// deploy/control.toml.
struct ControlSettings {
  sockaddr_in listen{};     // loopback
  std::string directory{};  // of the rules in force and the audit log; mode 0700
  gap::Table::Bounds gaps{};
  gap::GapGate::Sketch sketch{};
};
// Throws ConfigError: "line N: key: what is wrong".
ControlSettings parse_control(std::string_view toml);

class Operation : public Extension {
 public:
  // Takes up the rules in force before any call comes. Throws std::system_error or acme::StateError.
  Operation(Loop& loop, Logger& log, Planner& planner, const ControlSettings& settings, std::uint64_t seed);
  ~Operation() override;

  sockaddr_in address() const { return control_.address(); }
  gap::GapGate& gate() { return gate_; }

 private:
  using Element = simdjson::dom::element;

  std::string add(Element request);
  std::string lift(Element request);
  std::string list(Element request);
  std::string test(Element request);
  std::string suggest(Element request);
  void restore();
  void keep();  // the rules in force, on disk
  void audit(const std::string& what, const std::string& id, std::uint64_t revision, const std::string& who,
             const std::string& why);
  void sweep();

  Loop& loop_;
  Logger& log_;
  Planner& planner_;
  acme::StateDirectory state_;
  gap::GapGate gate_;
  std::map<std::string, std::uint64_t>
      lifted_{};  // so that older announcements do not win after a restart either
  control::Writer writer_;
  control::Server control_;
  Loop::TimerId sweep_timer_ = 0;
};

}  // namespace quartzarch
