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
#include "gap/shared_list.hpp"
#include "serve.hpp"

namespace quartzarch {

// deploy/control.toml.
struct ControlSettings {
  sockaddr_in listen{};     // loopback
  std::string directory{};  // of the rules in force and the audit log; mode 0700
  gap::Table::Bounds gaps{};
  gap::GapGate::SketchSettings sketch{};
};
// Throws ConfigError: "line N: key: what is wrong".
ControlSettings parse_control(std::string_view toml);

class ControlService : public Extension {
 public:
  // Takes up the rules in force before any call comes: those of `sharing`, which may be null, or if they are
  // out of reach its own of before. Throws std::system_error or acme::StateError.
  ControlService(Loop& loop, Logger& log, Planner& planner, const ControlSettings& settings,
                 std::uint64_t seed, std::unique_ptr<gap::SharedList> shared_list = nullptr);
  ~ControlService() override;

  sockaddr_in address() const { return control_.address(); }
  gap::GapGate& gate() { return gate_; }

 private:
  using Element = simdjson::dom::element;

  std::string add(Element request);
  std::string lift(Element request);
  std::string list(Element request);
  std::string test(Element request);
  std::string suggest(Element request);
  std::vector<gap::SharedList::LocalEntry> restore_rules();
  void start_sharing(std::vector<gap::SharedList::LocalEntry> stored);
  void apply_updates(const std::vector<gap::ListReplica::Update>& updates);
  void refuse_held_calls(const std::vector<std::string>& new_ids);
  void save_rules();  // the rules in force, on disk
  void audit(const std::string& what, const std::string& id, std::uint64_t revision, const std::string& who,
             const std::string& why);
  void sweep();

  Loop& loop_;
  Logger& log_;
  Planner& planner_;
  acme::StateDirectory state_;
  gap::GapGate gate_;
  std::map<std::string, std::uint64_t>
      lifted_revisions_{};  // so that older announcements do not win after a restart either
  control::Writer writer_;
  control::Server control_;
  Loop::TimerId sweep_timer_ = 0;
  bool save_due_ = false;
  std::unique_ptr<gap::SharedList> shared_list_;
};

}  // namespace quartzarch
