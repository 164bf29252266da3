#include "register/voter_server.hpp"

#include <algorithm>
#include <filesystem>
#include <random>

namespace quartzarch::reg {
namespace {

using std::chrono::milliseconds;

constexpr std::size_t kMaxConnections = 2048;
// Limit of unsent segments to one voter. What exceeds it is dropped, as on a network; the consensus library
// sends it again.
constexpr std::size_t kMaxUnsentSegments = 512;
constexpr std::size_t kMaxOutputBytes = 32u << 20;
constexpr Duration kConnectTimeout = milliseconds(500);
constexpr Duration kReconnectDelay = milliseconds(100);
constexpr Duration kJoinInterval = milliseconds(1000);
constexpr Duration kDiskRetryInterval =
    milliseconds(2000);  // between checks whether a full disk takes writes again

std::uint64_t hash(std::string_view text, std::uint64_t from) {
  std::uint64_t value = from;
  for (const char c : text) value = (value ^ static_cast<unsigned char>(c)) * 1099511628211u;
  // Positive in SQLite's signed integers, and never 0, which stands for no voter.
  return (value >> 2) | 1;
}

}  // namespace

VoterId first_identity(const std::string& name) { return hash(name, 14695981039346656037u); }

VoterId fresh_identity(const std::string& name) {
  std::random_device random;
  return hash(name, (std::uint64_t{random()} << 32 | random()) ^ 14695981039346656037u);
}

std::optional<VoterChange> next_change(const Voters& voters, const std::string& name, VoterId id) {
  const auto old = std::find_if(voters.begin(), voters.end(),
                                [&](const auto& voter) { return voter.address == name && voter.id != id; });
  if (old != voters.end()) return VoterChange{true, old->id};
  const auto present = std::find_if(voters.begin(), voters.end(), [&](const auto& v) { return v.id == id; });
  if (present != voters.end() && present->votes) return std::nullopt;
  return VoterChange{false, id};
}

VoterServer::VoterServer(Loop& loop, Logger& log, const Settings& settings, std::uint64_t seed)
    : loop_(loop),
      log_(log),
      settings_(settings),
      disk_(settings.directory),
      acceptor_(loop, listen_on(settings.listen)) {
  id_ = disk_.identity();
  if (id_ == 0) {
    id_ = fresh_identity(settings_.name);
    disk_.set_identity(id_);
    log_.line("register: this voter's disk is new: it asks to be added with identity %llx",
              static_cast<unsigned long long>(id_));
  }
  NodeSettings node;
  node.id = id_;
  node.address = settings_.name;
  node.election = settings_.election;
  node.heartbeat = settings_.heartbeat;
  node_ = std::make_unique<Node>(node, disk_, static_cast<Transport&>(*this), seed ^ id_, loop_.now());
  service_ = std::make_unique<Service>(
      *node_, [this](std::uint64_t client, std::string frame) { send_to_client(client, std::move(frame)); });
  loop_.watch(*this, Priority::servers);
  tick();
}

VoterServer::~VoterServer() {
  loop_.unwatch(*this);
  loop_.cancel(timer_);
  service_.reset();
  for (auto& [stream, connection] : connections_) connection.stream->close();
  for (auto& [name, outgoing] : outgoing_) {
    if (outgoing.stream) outgoing.stream->close();
  }
}

void VoterServer::init(const Settings& settings) {
  std::error_code error;
  if (std::filesystem::create_directories(settings.directory, error)) {
    std::filesystem::permissions(settings.directory, std::filesystem::perms::owner_all, error);
  }
  Disk disk(settings.directory);
  if (disk.identity() != 0 || disk.used())
    throw StorageError(settings.directory + ": already holds a register");
  NodeSettings node;
  node.id = first_identity(settings.name);
  node.address = settings.name;
  for (const auto& [name, address] : settings.addresses)
    node.initial_voters.push_back({first_identity(name), name, true});
  class NullTransport : public Transport {
    void send(VoterId, const std::string&, std::string) override {}
  } null_transport;
  disk.set_identity(node.id);
  Node first(node, disk, null_transport, 1, Time{});
}

// ---- Voters

void VoterServer::send(VoterId, const std::string& address, std::string bytes) {
  send_to(address, std::move(bytes));
}

void VoterServer::send_to(const std::string& name, std::string bytes) {
  const auto address = settings_.addresses.find(name);
  if (address == settings_.addresses.end()) return;
  Outgoing& out = outgoing_[name];
  if (!out.stream) {
    if (loop_.now() < out.retry_at) return;
    out.stream = std::make_shared<Stream>(loop_, address->second, kConnectTimeout,
                                          static_cast<Stream::Owner&>(*this), Priority::servers);
    out.stream->limit_output(kMaxOutputBytes);
    out.stream->send({frame(FrameType::hello, id_, {settings_.name}), {}, 0});
  }
  if (out.stream->unsent().size() >= kMaxUnsentSegments) return;
  out.stream->send({std::move(bytes), {}, 0});
}

// ---- Incoming connections

void VoterServer::on_ready(short) {
  while (true) {
    Fd fd = acceptor_.accept();
    if (!fd) return;
    if (connections_.size() >= kMaxConnections) continue;
    auto stream =
        std::make_shared<Stream>(loop_, std::move(fd), static_cast<Stream::Owner&>(*this), Priority::servers);
    Stream& accepted = *stream;
    accepted.limit_output(kMaxOutputBytes);
    Connection& connection = connections_[&accepted];
    connection.stream = std::move(stream);
    connection.client = ++last_client_;
    clients_[connection.client] = &accepted;
  }
}

void VoterServer::on_data(Stream& stream) {
  while (stream.alive()) {
    const auto found = connections_.find(&stream);
    if (found == connections_.end()) return;  // a connection to another voter: nothing is received on it
    Connection& from = found->second;
    link::LinkMessage message;
    std::size_t length = 0;
    const auto taken = link::decode(stream.input(), message, length,
                                    from.peer ? wire::kMaxMessageBytes : link::kLongestMessage);
    if (taken == link::Taken::part) return;
    if (taken == link::Taken::malformed || !handle_frame(from, message, stream.input().substr(0, length))) {
      log_.line("register: malformed message from %s, connection closed",
                from.name.empty() ? "a client" : from.name.c_str());
      stream.close();
      return on_disconnected(stream, DisconnectReason::closed);
    }
    if (stream.alive()) stream.consume(length);
  }
}

bool VoterServer::handle_frame(Connection& from, const link::LinkMessage& message, std::string_view bytes) {
  switch (type_of(message)) {
    case FrameType::hello:
      if (message.values.size() != 1 || message.call == 0) return false;
      if (settings_.addresses.count(std::string(message.text(0))) == 0) return false;
      from.peer = message.call;
      from.name = message.text(0);
      return true;
    case FrameType::consensus:
      if (from.peer == 0) return false;
      node_->receive(loop_.now(), from.peer, from.name, bytes);
      return true;
    case FrameType::join:
      return handle_join(from);
    case FrameType::status:
      from.stream->send({status(), {}, 0});
      return true;
    case FrameType::remove:
      return handle_remove(from, message);
    case FrameType::lead:
      return handle_lead(from, message);
    default:
      return service_->received(loop_.now(), from.client, message);
  }
}

// A voter without a vote asks all others repeatedly; the leader takes the next step.
bool VoterServer::handle_join(const Connection& from) {
  if (from.peer == 0) return false;
  if (!node_->leads()) return true;
  const auto change = next_change(node_->status().voters, from.name, from.peer);
  if (!change) return true;
  const std::string description = (change->remove ? "remove the old " : "add ") + from.name;
  const auto done = [this, description](const std::string& error) {
    log_.line("register: voters: %s: %s", description.c_str(), error.empty() ? "done" : error.c_str());
  };
  if (change->remove) {
    node_->remove_voter(loop_.now(), change->id, done);
  } else {
    node_->add_voter(loop_.now(), change->id, from.name, done);
  }
  return true;
}

// An operator's removal of a voter. One that the settings file names is refused, since it would ask to be
// added again at once.
bool VoterServer::handle_remove(const Connection& from, const link::LinkMessage& message) {
  if (message.values.size() != 1) return false;
  const std::string name(message.text(0));
  const auto answer = [this, client = from.client](const std::string& error) {
    send_to_client(client, frame(FrameType::remove, 0, {error}));
  };
  const Voters voters = node_->status().voters;
  const auto found =
      std::find_if(voters.begin(), voters.end(), [&](const Voter& voter) { return voter.address == name; });
  if (!node_->leads()) {
    answer("this voter is not the leader");
  } else if (settings_.addresses.count(name) > 0) {
    answer("the leader's settings file names it, so it would come back");
  } else if (found == voters.end()) {
    answer("there is no such voter");
  } else {
    node_->remove_voter(loop_.now(), found->id, [this, name, answer](const std::string& error) {
      log_.line("register: voters: remove %s, requested by an operator: %s", name.c_str(),
                error.empty() ? "done" : error.c_str());
      answer(error);
    });
  }
  return true;
}

// An operator's transfer of leadership, for example before maintenance of a voter's machine.
bool VoterServer::handle_lead(const Connection& from, const link::LinkMessage& message) {
  if (message.values.size() != 1) return false;
  const std::string name(message.text(0));
  const Node::Status status = node_->status();
  const auto found = std::find_if(status.voters.begin(), status.voters.end(),
                                  [&](const Voter& voter) { return voter.address == name && voter.votes; });
  std::string error;
  if (!status.leader) {
    error = "this voter is not the leader";
  } else if (!name.empty() && found == status.voters.end()) {
    error = "there is no such voter with a vote";
  } else if (name == settings_.name) {
    error = "it is already the leader";
  } else if (!node_->transfer_leadership(loop_.now(), name.empty() ? 0 : found->id)) {
    error = "the leader has no contact with it";
  }
  log_.line("register: leadership transfer to %s requested by an operator: %s",
            name.empty() ? "any other" : name.c_str(), error.empty() ? "started" : error.c_str());
  send_to_client(from.client, frame(FrameType::lead, 0, {error}));
  return true;
}

bool VoterServer::resign() {
  const Node::Status status = node_->status();
  if (!status.leader) return resigning_ && status.leader_id == 0;
  if (node_->transfer_leadership(loop_.now()) && !std::exchange(resigning_, true)) {
    log_.line("register: term %llu, leadership is transferred before this voter stops",
              static_cast<unsigned long long>(status.term));
  }
  return resigning_;
}

void VoterServer::on_disconnected(Stream& stream, DisconnectReason) {
  if (const auto found = connections_.find(&stream); found != connections_.end()) {
    const Connection gone = std::move(found->second);
    connections_.erase(found);
    clients_.erase(gone.client);
    loop_.keep_until_pass_end(gone.stream);
    service_->client_disconnected(gone.client);
    return;
  }
  for (auto& [name, out] : outgoing_) {
    if (out.stream.get() != &stream) continue;
    loop_.keep_until_pass_end(std::exchange(out.stream, nullptr));
    out.retry_at = loop_.now() + kReconnectDelay;
  }
}

void VoterServer::send_to_client(std::uint64_t client, std::string frame) {
  const auto found = clients_.find(client);
  if (found != clients_.end()) found->second->send({std::move(frame), {}, 0});
}

// ---- Time

void VoterServer::tick() {
  service_->tick(loop_.now());
  log_changes();
  if (node_->failure_is_retryable() && loop_.now() >= disk_retry_at_) recover();
  if (!node_->failed() && loop_.now() >= join_retry_at_) {
    join_retry_at_ = loop_.now() + kJoinInterval;
    // A voter that is cut off does not know whether it has its vote; asking is harmless.
    if (next_change(node_->status().voters, settings_.name, id_)) {
      for (const auto& [name, address] : settings_.addresses) {
        if (name != settings_.name) send_to(name, frame(FrameType::join, id_, {settings_.name}));
      }
    }
  }
  timer_ = loop_.at(loop_.now() + Node::kTick, [this] { tick(); });
}

void VoterServer::recover() {
  disk_retry_at_ = loop_.now() + kDiskRetryInterval;
  try {
    disk_.reopen();
    node_->restart_from_disk();
    logged_failure_ = false;
    log_.line("register: the disk accepts writes again: this voter resumes");
  } catch (const std::runtime_error&) {
    // Still full: logged once, retried later.
  }
}

void VoterServer::log_changes() {
  if (node_->failed() && !std::exchange(logged_failure_, true)) {
    disk_retry_at_ = loop_.now() + kDiskRetryInterval;
    log_.line("register: the disk failed: this voter does not vote until %s",
              node_->failure_is_retryable() ? "there is free space" : "it is restarted");
  }
  const auto status = node_->status();
  if (status.leader_id == logged_leader_ && status.term == logged_term_) return;
  logged_leader_ = status.leader_id;
  logged_term_ = status.term;
  if (status.leader_id != 0) {
    log_.line("register: term %llu, the leader is %s", static_cast<unsigned long long>(status.term),
              status.leader_address.c_str());
  }
}

std::string VoterServer::status() const {
  const auto status = node_->status();
  std::vector<std::string> values = {settings_.name,
                                     std::to_string(status.leader),
                                     std::to_string(status.term),
                                     status.leader_address,
                                     std::to_string(status.last_index),
                                     std::to_string(status.commit_index),
                                     std::to_string(status.applied_index),
                                     std::to_string(node_->failed()),
                                     std::to_string(node_->state().sessions().size()),
                                     std::to_string(node_->state().revision())};
  for (const auto& voter : status.voters) {
    values.push_back(voter.address);
    values.push_back(std::to_string(voter.id));
    values.push_back(voter.votes ? "1" : "0");
  }
  return frame(FrameType::status, id_, values);
}

}  // namespace quartzarch::reg
