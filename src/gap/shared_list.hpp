// The list of gaps that a fleet shares, as the operators' side of a process sees it.
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
  struct LocalEntry {
    std::string id{};
    Entry entry{};
    bool agreed = false;  // the list had it
  };

  virtual ~SharedList() = default;
  // Begins with what is known here. News go to `take`, on the loop's thread; none of them: what was changed
  // here is agreed now. Waits for the list for a while,
  // in which the loop goes on; false: it is out of reach, and comes when it can.
  virtual bool begin(Loop& loop, std::vector<LocalEntry> known, UpdateHandler on_update) = 0;
  virtual void change(const std::string& id, Entry entry) = 0;
  // Whether the list has it as it is here.
  virtual bool agreed(const std::string& id) const = 0;
};

}  // namespace quartzarch::gap
