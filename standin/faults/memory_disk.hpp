// A voter's storage in memory, for simulations. It outlives the voter's node as a disk outlives a process.
// Tests can make the next write fail, with or without its effect, and erase the content.
#pragma once

#include <algorithm>
#include <utility>

#include "register/storage.hpp"

namespace quartzarch::faults {

class MemoryDisk : public reg::Storage {
 public:
  enum class Fault { none, before, after };  // the next write fails before or after it takes effect

  void fail_next_write(Fault fault) { fault_ = fault; }
  // Erases the content.
  void erase() { stored_ = {}; }
  // Whether a requested failure has occurred since the previous call.
  bool take_injected_failure() { return std::exchange(injected_failure_, false); }

  Loaded load() override { return stored_; }
  void set_term(std::uint64_t term) override {
    write([&] { stored_.term = term, stored_.vote = 0; });
  }
  void set_vote(reg::VoterId vote) override {
    write([&] { stored_.vote = vote; });
  }
  void append(std::uint64_t first_index, const std::vector<reg::LogEntry>& entries) override {
    if (first_index != next_index())
      throw reg::StorageError("the index of an appended entry does not follow the last one");
    write([&] { stored_.entries.insert(stored_.entries.end(), entries.begin(), entries.end()); });
  }
  void truncate(std::uint64_t from_index) override {
    write([&] {
      if (from_index < next_index()) stored_.entries.resize(from_index - stored_.first_index);
    });
  }
  void put_snapshot(const reg::Snapshot& snapshot, unsigned trailing) override {
    write([&] {
      stored_.snapshot = snapshot;
      const std::uint64_t from = trailing == 0
                                     ? next_index()
                                     : snapshot.index - std::min<std::uint64_t>(snapshot.index, trailing) + 1;
      const std::uint64_t drop =
          from <= stored_.first_index ? 0 : std::min(from, next_index()) - stored_.first_index;
      stored_.entries.erase(stored_.entries.begin(),
                            stored_.entries.begin() + static_cast<std::ptrdiff_t>(drop));
      stored_.first_index += drop;
      if (stored_.entries.empty()) stored_.first_index = snapshot.index + 1;
    });
  }
  std::optional<reg::Snapshot> get_snapshot() override { return stored_.snapshot; }

 private:
  std::uint64_t next_index() const { return stored_.first_index + stored_.entries.size(); }
  template <typename Step>
  void write(const Step& step) {
    const Fault fault = std::exchange(fault_, Fault::none);
    if (fault != Fault::before) step();
    injected_failure_ = injected_failure_ || fault != Fault::none;
    if (fault != Fault::none) throw reg::StorageError("simulated disk failure");
  }

  Loaded stored_;
  Fault fault_ = Fault::none;
  bool injected_failure_ = false;
};

}  // namespace quartzarch::faults
