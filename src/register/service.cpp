#include "register/service.hpp"

#include <algorithm>

namespace quartzarch::reg {
namespace {

// A frame of changes stays under the link's limit; the rest follows in the next one.
constexpr std::size_t kMaxChangesBytes = 48 * 1024;

}  // namespace

Service::Service(Node& node, Send send, Bounds bounds)
    : node_(node), send_(std::move(send)), bounds_(bounds) {}

bool Service::received(Time now, ClientId client, const link::LinkMessage& message) {
  Client& known = clients_[client];
  switch (type_of(message)) {
    case FrameType::ask:
      return ask(now, client, message);
    case FrameType::watch:
      if (message.values.size() != 1 || known.watches.size() >= bounds_.watches) return false;
      known.watches[std::string(message.text(0))] = message.call;
      notified_revision_ = 0;
      notify_watchers();
      return true;
    default:
      return false;
  }
}

bool Service::ask(Time now, ClientId client, const link::LinkMessage& message) {
  if (message.values.size() != 1) return false;
  const auto command = decode_command(message.text(0));
  // Only the leader itself proposes these.
  if (!command || command->op == Op::expire || command->op == Op::expire_reservation) return false;
  Client& known = clients_[client];
  if (known.in_flight >= bounds_.in_flight) return false;
  ++known.in_flight;
  const std::weak_ptr<bool> alive = alive_;
  node_.propose(
      now, {*command}, {[this, alive, client, id = message.call](Outcome outcome, const Reply& reply) {
        if (alive.expired()) return;
        const auto found = clients_.find(client);
        if (found == clients_.end()) return;
        --found->second.in_flight;
        if (outcome == Outcome::done) {
          send_(client, frame(FrameType::reply, id, {encode(reply)}));
        } else {
          send_(client, frame(FrameType::refused, id,
                              {std::to_string(static_cast<int>(outcome)), node_.status().leader_address}));
        }
      }});
  return true;
}

void Service::tick(Time now) {
  node_.tick(now);
  const auto due = expiry_.due(now, node_.leads(), node_.state());
  for (const Command& command : due) node_.propose(now, {command}, {[](Outcome, const Reply&) {}});
  notify_watchers();
}

void Service::notify_watchers() {
  const State& state = node_.state();
  if (std::exchange(notified_revision_, state.revision()) == state.revision()) return;
  // Frames are sent at the end, because sending may break a connection and remove its client.
  std::vector<std::pair<ClientId, std::string>> frames;
  for (auto& [id, client] : clients_) {
    for (auto each = client.watches.begin(); each != client.watches.end();) {
      auto& [prefix, known] = *each;
      // A voter that is behind what the client knows sends nothing until it has caught up.
      if (known >= state.revision()) {
        ++each;
        continue;
      }
      const auto changes = state.changes(known, prefix);
      if (!changes) {
        frames.emplace_back(id, frame(FrameType::behind, state.revision(), {prefix}));
        each = client.watches.erase(each);
        continue;
      }
      std::vector<std::string> values = {prefix};
      std::size_t bytes = 0;
      for (const Change& change : *changes) {
        if (bytes > 0 &&
            bytes + change.key.size() + (change.value ? change.value->size() : 0) > kMaxChangesBytes) {
          frames.emplace_back(id, frame(FrameType::changes, known, values));
          values = {prefix};
          bytes = 0;
        }
        values.push_back(change.key);
        values.push_back(std::to_string(change.revision));
        values.push_back(change.value ? "1" : "0");
        values.push_back(change.value.value_or(""));
        bytes += change.key.size() + values.back().size();
        known = change.revision;
      }
      known = state.revision();
      // Sent without changes too, so that the client learns the revision it is notified up to.
      if (values.size() > 1) frames.emplace_back(id, frame(FrameType::changes, known, values));
      ++each;
    }
  }
  for (auto& [id, bytes] : frames) send_(id, std::move(bytes));
}

}  // namespace quartzarch::reg
