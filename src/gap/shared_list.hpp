// Interface to the list of gap rules that the controllers of a fleet share.
#pragma once

#include <functional>
#include <string>
#include <vector>

#include "gap/list_replica.hpp"
#include "net/loop.hpp"

namespace quartzarch::gap {

class SharedList {
 public:
  using UpdateHandler = std::function<void(const std::vector<ListReplica::Update>& updates)>;
  // An entry that this process stored before its restart.
  struct LocalEntry {
    std::string id{};
    Entry entry{};
    bool agreed = false;  // the list had the entry
  };

  virtual ~SharedList() = default;
  // Starts to follow the list, given the entries that this process has stored. Updates go to `on_update` on
  // the loop's thread; an empty update means that a local change has been written to the list. Waits a
  // bounded time for the list while the loop keeps running; returns false if the list is out of reach, in
  // which case it is applied later.
  virtual bool begin(Loop& loop, std::vector<LocalEntry> known, UpdateHandler on_update) = 0;
  // Records a local change, to be written to the list.
  virtual void change(const std::string& id, Entry entry) = 0;
  // Whether the list has the entry as it is here.
  virtual bool agreed(const std::string& id) const = 0;
};

}  // namespace quartzarch::gap
