// The gaps of a fleet: announced at any controller and in force at all of them, through the register. The
// controller that holds the duty removes entries that have ended.
#pragma once

#include <memory>
#include <optional>

#include "fleet/membership.hpp"
#include "gap/shared_list.hpp"

namespace quartzarch::fleet {

inline constexpr const char* kGapsDuty = "gaps";

// A controller's view of the shared list; runs on its main loop.
class GapList : public gap::SharedList {
 public:
  // `start_timeout`: how long begin() waits for the list. The membership must outlive this object.
  GapList(Logger& log, Membership& fleet, Duration start_timeout);
  ~GapList() override;

  bool begin(Loop& loop, std::vector<LocalEntry> known, UpdateHandler take) override;
  void change(const std::string& id, gap::Entry entry) override;
  bool agreed(const std::string& id) const override { return ledger_.agreed(id); }

 private:
  void on_changes(const std::vector<reg::Change>& changes, bool complete);
  void on_reply(const std::string& id, const std::optional<reg::Reply>& reply);
  void pump();
  void write(const gap::ListReplica::Write& write, std::optional<reg::Fence> fence);
  void sweep();
  std::optional<gap::ListReplica::ListedEntry> parse_change(const std::string& key,
                                                            const std::optional<std::string>& value,
                                                            reg::Revision revision);

  Logger& log_;
  Membership& fleet_;
  const Duration start_timeout_;
  gap::ListReplica ledger_{{}};
  Loop* loop_ = nullptr;
  UpdateHandler take_;
  // Shared with callbacks that run on the fleet's thread.
  std::shared_ptr<Mailbox> mailbox_;
  std::optional<Loop::TimerId> retry_timer_, sweep_timer_;
  bool list_received_ = false;
  bool logged_refusal_ = false;
};

}  // namespace quartzarch::fleet
