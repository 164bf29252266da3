#include "faults/history.hpp"

#include <algorithm>
#include <limits>
#include <set>
#include <unordered_set>

#include "register/commands.hpp"

namespace quartzarch::faults {
namespace {

// The search is aborted, with an error, after this many states: the history has too many concurrent
// operations to be checked.
constexpr std::size_t kMaxVisited = 4'000'000;
constexpr std::size_t kAbsent = std::numeric_limits<std::size_t>::max();

std::string describe(const Operation& o) {
  const auto value = [](const std::optional<std::string>& v) { return v ? *v : "nothing"; };
  std::string description = "client " + std::to_string(o.client);
  if (o.kind == OperationKind::read) description += " read " + value(o.seen);
  if (o.kind == OperationKind::put) description += " put " + o.value;
  if (o.kind == OperationKind::swap) description += " put " + o.value + " for " + value(o.expected);
  if (o.refused) description += ", found " + value(o.seen);
  if (!o.returned) description += ", no reply";
  return description + " (" + std::to_string(o.invoked / std::chrono::milliseconds(1)) + " to " +
         (o.returned ? std::to_string(*o.returned / std::chrono::milliseconds(1)) : "-") + " ms)";
}

// Searches for a valid sequential order of the operations at one key among all orders that their times allow.
class LinearizabilitySearch {
 public:
  explicit LinearizabilitySearch(std::vector<Operation> operations) : operations_(std::move(operations)) {
    for (std::size_t i = 0; i < operations_.size(); ++i) {
      if (operations_[i].kind != OperationKind::read) write_of_value_[operations_[i].value] = i;
    }
    // The revision of a write is taken from every operation that returned it or its value, so it may be known
    // for a write without a reply too.
    revision_.assign(operations_.size(), 0);
    for (std::size_t i = 0; i < operations_.size(); ++i) {
      const Operation& o = operations_[i];
      const bool wrote = o.kind != OperationKind::read && !o.refused;
      const std::optional<std::string>& value = wrote ? std::optional<std::string>(o.value) : o.seen;
      if (o.revision == 0 || !value) continue;
      const auto by = write_of_value_.find(*value);
      if (by == write_of_value_.end()) continue;
      reg::Revision& known = revision_[by->second];
      if (known != 0 && known != o.revision && error_.empty()) {
        error_ = *value + " was returned at revision " + std::to_string(known) + " and at " +
                 std::to_string(o.revision);
      }
      known = o.revision;
    }
  }

  std::string run() {
    if (!error_.empty()) return error_;
    build_events();
    std::vector<bool> done(operations_.size(), false);
    std::unordered_set<std::string> visited;
    struct Step {
      std::size_t event;
      std::size_t state;
    };
    std::vector<Step> path;
    std::size_t state = kAbsent, longest_path = 0;
    std::string violation;
    std::size_t at = events_[0].next;
    while (events_[0].next != kEnd) {
      const Event& event = events_[at];
      if (event.call) {
        const auto next_state = apply(state, event.operation);
        if (next_state) {
          done[event.operation] = true;
          if (visited.size() > kMaxVisited) return "too many concurrent operations to check the history";
          if (visited.insert(cache_key(done, *next_state)).second) {
            path.push_back({at, state});
            state = *next_state;
            remove_operation(at);
            at = events_[0].next;
            continue;
          }
          done[event.operation] = false;
        }
        at = event.next;
        continue;
      }
      // This operation has returned, but no order on this path lets it take effect before that. Backtrack.
      if (path.size() >= longest_path) {
        longest_path = path.size();
        violation = describe(operations_[event.operation]) + " after " +
                    (state == kAbsent ? std::string("no write") : describe(operations_[state]));
      }
      if (path.empty()) return violation;
      at = path.back().event;
      done[events_[at].operation] = false;
      state = path.back().state;
      path.pop_back();
      restore_operation(at);
      at = events_[at].next;
    }
    return {};
  }

 private:
  // A call or a return of an operation, in a doubly linked list in the order of time.
  struct Event {
    std::size_t operation = 0;
    bool call = false;
    std::size_t other = 0;  // for a call: the index of its return
    std::size_t next = 0, previous = 0;
  };
  static constexpr std::size_t kEnd = 0;  // index of the head of the circular list

  void build_events() {
    struct At {
      Time time;
      bool call;
      std::size_t operation;
    };
    std::vector<At> order;
    for (std::size_t i = 0; i < operations_.size(); ++i) {
      order.push_back({operations_[i].invoked, true, i});
      order.push_back({operations_[i].returned.value_or(Time::max()), false, i});
    }
    // At equal times calls come before returns, so that the two operations count as concurrent.
    std::stable_sort(order.begin(), order.end(), [](const At& a, const At& b) {
      return a.time != b.time ? a.time < b.time : a.call && !b.call;
    });
    events_.assign(order.size() + 1, {});
    std::vector<std::size_t> call_of(operations_.size());
    for (std::size_t i = 0; i < order.size(); ++i) {
      events_[i + 1] = {order[i].operation, order[i].call, 0, (i + 2) % events_.size(), i};
      if (order[i].call) {
        call_of[order[i].operation] = i + 1;
      } else {
        events_[call_of[order[i].operation]].other = i + 1;
      }
    }
    events_[0].next = events_.size() > 1 ? 1 : 0;
    events_[0].previous = events_.size() - 1;
  }
  void unlink_event(std::size_t at) {
    events_[events_[at].previous].next = events_[at].next;
    events_[events_[at].next].previous = events_[at].previous;
  }
  void relink_event(std::size_t at) {
    events_[events_[at].previous].next = at;
    events_[events_[at].next].previous = at;
  }
  void remove_operation(std::size_t call) {
    unlink_event(call);
    unlink_event(events_[call].other);
  }
  void restore_operation(std::size_t call) {
    relink_event(events_[call].other);
    relink_event(call);
  }

  // Applies an operation to a state, which is the index of the write whose value the key has. Returns the new
  // state; empty if the operation cannot have taken effect in that state.
  std::optional<std::size_t> apply(std::size_t state, std::size_t number) const {
    const Operation& o = operations_[number];
    const auto is = [&](const std::optional<std::string>& value) {
      return value ? state != kAbsent && operations_[state].value == *value : state == kAbsent;
    };
    if (o.kind == OperationKind::read || o.refused) {
      if (!is(o.seen)) return std::nullopt;
      if (o.refused && o.seen == o.expected) return std::nullopt;
      return state;
    }
    if (o.kind == OperationKind::swap && !is(o.expected)) {
      if (o.returned) return std::nullopt;
      return state;  // it was refused, but the reply was lost
    }
    const bool order_known = state != kAbsent && revision_[state] != 0 && revision_[number] != 0;
    if (order_known && revision_[number] <= revision_[state]) return std::nullopt;
    return number;
  }

  // The entry in the cache of visited states.
  static std::string cache_key(const std::vector<bool>& done, std::size_t state) {
    std::string bits((done.size() + 7) / 8 + sizeof state, '\0');
    for (std::size_t i = 0; i < done.size(); ++i) {
      if (done[i]) bits[i / 8] = static_cast<char>(bits[i / 8] | 1 << i % 8);
    }
    std::copy_n(reinterpret_cast<const char*>(&state), sizeof state,
                bits.end() - static_cast<std::ptrdiff_t>(sizeof state));
    return bits;
  }

  std::vector<Operation> operations_;
  std::map<std::string, std::size_t> write_of_value_;
  std::vector<reg::Revision> revision_;
  std::vector<Event> events_;
  std::string error_;
};

}  // namespace

std::size_t History::begin(Operation operation) {
  operations_.push_back(std::move(operation));
  return operations_.size() - 1;
}

std::size_t History::answered() const {
  return static_cast<std::size_t>(std::count_if(operations_.begin(), operations_.end(),
                                                [](const Operation& o) { return o.returned.has_value(); }));
}

std::string History::check() const {
  std::set<std::string> seen;
  for (const Operation& o : operations_) {
    if (o.seen) seen.insert(*o.seen);
  }
  std::map<std::string, std::vector<Operation>> by_key;
  for (const Operation& o : operations_) {
    // Skips operations without a reply, except writes whose value was seen. An unseen write can be left out:
    // any valid order that contains it is also valid without it.
    if (!o.returned && (o.kind == OperationKind::read || seen.count(o.value) == 0)) continue;
    by_key[o.key].push_back(o);
  }
  for (auto& [key, operations] : by_key) {
    const std::string violation = LinearizabilitySearch(std::move(operations)).run();
    if (!violation.empty()) return key + ": " + violation;
  }
  return {};
}

// ---- A client

Recorder::Recorder(History& history, unsigned client, Ask ask, std::uint64_t seed)
    : history_(history), client_(client), ask_(std::move(ask)), random_(seed) {}

void Recorder::step(const std::function<Time()>& now) {
  if (busy_) return;
  Operation operation;
  operation.key = key(static_cast<unsigned>(random_() % kKeys));
  const auto known = known_.find(operation.key);
  const auto roll = random_() % 10;
  operation.kind = roll < 4                            ? OperationKind::read
                   : roll < 6 || known == known_.end() ? OperationKind::put
                                                       : OperationKind::swap;
  if (operation.kind != OperationKind::read) {
    operation.value = "c" + std::to_string(client_) + "." + std::to_string(++written_);
  }
  if (operation.kind == OperationKind::swap) operation.expected = known->second.value;
  ask(now, std::move(operation));
}

void Recorder::read(const std::function<Time()>& now, unsigned number) {
  Operation operation;
  operation.key = key(number);
  ask(now, std::move(operation));
}

void Recorder::abandon() {
  busy_ = false;
  known_.clear();
  ++incarnation_;
}

void Recorder::ask(const std::function<Time()>& now, Operation operation) {
  reg::Command command = operation.kind == OperationKind::read
                             ? reg::read_value(operation.key)
                             : reg::put_value(operation.key, operation.value);
  if (operation.kind == OperationKind::swap) command.expected = known_.at(operation.key).revision;
  operation.client = client_;
  operation.invoked = now();
  busy_ = true;
  const std::size_t index = history_.begin(std::move(operation));
  ask_(std::move(command),
       [this, now, index, incarnation = incarnation_](const std::optional<reg::Reply>& reply) {
         if (incarnation != incarnation_) return;
         answered(now(), index, reply);
       });
}

void Recorder::answered(Time now, std::size_t index, const std::optional<reg::Reply>& reply) {
  busy_ = false;
  if (!reply) return;
  Operation& operation = history_.at(index);
  const bool read = operation.kind == OperationKind::read;
  const bool found = reply->code == reg::Code::ok || (read && reply->code == reg::Code::absent);
  // Any other code is not a result of the operation, so it counts as unanswered.
  if (!found && reply->code != reg::Code::changed) return;
  operation.returned = now;
  operation.refused = reply->code == reg::Code::changed;
  KnownValue& known = known_[operation.key];
  if (read || operation.refused) {
    known = {};
    if (!reply->items.empty()) known = {reply->items.front().value, reply->items.front().revision};
    operation.seen = known.value;
    operation.revision = known.revision;
  } else {
    known = {operation.value, reply->revision};
    operation.revision = reply->revision;
  }
}

}  // namespace quartzarch::faults
