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

  void fail_next(Fault fault) { fault_ = fault; }
  // Erases the content.
  void lose() { kept_ = {}; }
  // Whether a requested failure has occurred since the previous call.
  bool failed_as_told() { return std::exchange(failed_, false); }

  Loaded load() override { return kept_; }
  void set_term(std::uint64_t term) override {
    write([&] { kept_.term = term, kept_.vote = 0; });
  }
  void set_vote(reg::VoterId vote) override {
    write([&] { kept_.vote = vote; });
  }
  void append(std::uint64_t first_index, const std::vector<reg::LogEntry>& entries) override {
    if (first_index != next_index())
      throw reg::StorageError("the index of an appended entry does not follow the last one");
    write([&] { kept_.entries.insert(kept_.entries.end(), entries.begin(), entries.end()); });
  }
  void truncate(std::uint64_t from_index) override {
    write([&] {
      if (from_index < next_index()) kept_.entries.resize(from_index - kept_.first_index);
    });
  }
  void put_snapshot(const reg::Snapshot& snapshot, unsigned trailing) override {
    write([&] {
      kept_.snapshot = snapshot;
      const std::uint64_t from = trailing == 0
                                     ? next_index()
                                     : snapshot.index - std::min<std::uint64_t>(snapshot.index, trailing) + 1;
      const std::uint64_t drop =
          from <= kept_.first_index ? 0 : std::min(from, next_index()) - kept_.first_index;
      kept_.entries.erase(kept_.entries.begin(), kept_.entries.begin() + static_cast<std::ptrdiff_t>(drop));
      kept_.first_index += drop;
      if (kept_.entries.empty()) kept_.first_index = snapshot.index + 1;
    });
  }
  std::optional<reg::Snapshot> get_snapshot() override { return kept_.snapshot; }

 private:
  std::uint64_t next_index() const { return kept_.first_index + kept_.entries.size(); }
  template <typename Step>
  void write(const Step& step) {
    const Fault fault = std::exchange(fault_, Fault::none);
    if (fault != Fault::before) step();
    failed_ = failed_ || fault != Fault::none;
    if (fault != Fault::none) throw reg::StorageError("simulated disk failure");
  }

  Loaded kept_;
  Fault fault_ = Fault::none;
  bool failed_ = false;
};

}  // namespace quartzarch::faults
