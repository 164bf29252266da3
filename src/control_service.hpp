// The service behind the control connection: operators announce, lift, list and test gap rules on a running
// instance.
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

// Settings of the control connection, from a file like deploy/control.toml.
struct ControlSettings {
  sockaddr_in listen{};     // loopback
  std::string directory{};  // holds the rules in force and the audit log; mode 0700
  gap::Table::Bounds gaps{};
  gap::GapGate::SketchSettings sketch{};
};
// Throws ConfigError: "line N: key: what is wrong".
ControlSettings parse_control(std::string_view toml);

class ControlService : public Extension {
 public:
  // Loads the rules in force before any call arrives: those of the fleet's `shared_list`, which may be null,
  // or if the list is out of reach those of the local file. Throws std::system_error or acme::StateError.
  ControlService(Loop& loop, Logger& log, Planner& planner, const ControlSettings& settings,
                 std::uint64_t seed, std::unique_ptr<gap::SharedList> shared_list = nullptr);
  ~ControlService() override;

  sockaddr_in address() const { return control_.address(); }
  gap::GapGate& gate() { return gate_; }

 private:
  using Element = simdjson::dom::element;

  // Handlers of the commands; each returns the members of the reply.
  std::string add(Element request);
  std::string lift(Element request);
  std::string list(Element request);
  std::string test(Element request);
  std::string suggest(Element request);
  // Loads the rules and liftings of the local file; returns them as entries for the shared list.
  std::vector<gap::SharedList::LocalEntry> restore_rules();
  void start_sharing(std::vector<gap::SharedList::LocalEntry> stored);
  // Applies updates of the shared list.
  void apply_updates(const std::vector<gap::ListReplica::Update>& updates);
  // Applies newly announced rules to the calls that wait for a server.
  void refuse_held_calls(const std::vector<std::string>& new_ids);
  void save_rules();  // queues a write of the rules in force to the local file
  void audit(const std::string& what, const std::string& id, std::uint64_t revision, const std::string& who,
             const std::string& why);
  // Removes rules past their end time; runs periodically.
  void sweep();

  Loop& loop_;
  Logger& log_;
  Planner& planner_;
  acme::StateDirectory state_;
  gap::GapGate gate_;
  // Revisions of lifted rules, kept on disk so that older announcements do not win after a restart either.
  std::map<std::string, std::uint64_t> lifted_revisions_{};
  control::Writer writer_;
  control::Server control_;
  Loop::TimerId sweep_timer_ = 0;
  bool save_due_ = false;
  std::unique_ptr<gap::SharedList> shared_list_;
};

}  // namespace quartzarch
