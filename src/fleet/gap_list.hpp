// The gaps of a fleet: announced at any controller, in force at all of them, through the register. One
// controller, which holds the duty, takes out what is over.
#pragma once

#include <memory>
#include <optional>

#include "fleet/membership.hpp"
#include "gap/shared_list.hpp"

namespace quartzarch::fleet {

inline constexpr const char* kGapsDuty = "gaps";

class GapList : public gap::SharedList {
 public:
  // `patience`: how long a start waits for the list. The membership must live longer.
  GapList(Logger& log, Membership& fleet, Duration patience);
  ~GapList() override;

  bool begin(Loop& loop, std::vector<LocalEntry> known, UpdateHandler take) override;
  void change(const std::string& id, gap::Entry entry) override;
  bool agreed(const std::string& id) const override { return ledger_.agreed(id); }

 private:
  void told(const std::vector<reg::Change>& changes, bool whole);
  void answered(const std::string& id, const std::optional<reg::Reply>& reply);
  void pump();
  void write(const gap::ListReplica::Write& write, std::optional<reg::Fence> fence);
  void sweep();
  std::optional<gap::ListReplica::ListedEntry> shown(const std::string& key,
                                                     const std::optional<std::string>& value,
                                                     reg::Revision revision);

  Logger& log_;
  Membership& fleet_;
  const Duration patience_;
  gap::ListReplica ledger_{{}};
  Loop* loop_ = nullptr;
  UpdateHandler take_;
  // Shared with what runs on the fleet's thread.
  std::shared_ptr<Mailbox> mailbox_;
  std::optional<Loop::TimerId> again_, sweep_;
  bool known_ = false;
  bool told_refused_ = false;
};

}  // namespace quartzarch::fleet
