#include "register/node.hpp"

#include <algorithm>
#include <cstring>
#include <deque>
#include <stdexcept>
#include <utility>

#include "register/wire.hpp"

extern "C" {
#include <raft.h>
}

namespace quartzarch::reg {
namespace {

unsigned ms(Duration duration) { return static_cast<unsigned>(duration / std::chrono::milliseconds(1)); }

// Copies bytes into memory that the library frees.
void* raft_copy(std::string_view bytes) {
  void* const copy = raft_malloc(std::max<std::size_t>(bytes.size(), 1));
  if (!copy) throw std::bad_alloc();
  std::memcpy(copy, bytes.data(), bytes.size());
  return copy;
}

raft_buffer raft_bytes(std::string_view bytes) { return {raft_copy(bytes), bytes.size()}; }

std::string_view view(const raft_buffer& buffer) {
  return {static_cast<const char*>(buffer.base), buffer.len};
}

Voters voters_of(const raft_configuration& configuration) {
  Voters voters;
  for (unsigned i = 0; i < configuration.n; ++i) {
    const raft_server& server = configuration.servers[i];
    voters.push_back({server.id, server.address, server.role == RAFT_VOTER});
  }
  return voters;
}

void fill_configuration(raft_configuration& configuration, const Voters& voters) {
  raft_configuration_init(&configuration);
  for (const Voter& voter : voters) {
    const int role = voter.votes ? RAFT_VOTER : RAFT_SPARE;
    const int error = raft_configuration_add(&configuration, voter.id, voter.address.c_str(), role);
    if (error != 0) throw std::runtime_error(std::string("voters: ") + raft_strerror(error));
  }
}

// The entries share one contiguous batch of bytes, as the library frees it.
raft_entry* raft_entries(const std::vector<LogEntry>& entries) {
  if (entries.empty()) return nullptr;
  std::size_t size = 0;
  for (const LogEntry& entry : entries) size += entry.bytes.size();
  auto* const list = static_cast<raft_entry*>(raft_malloc(entries.size() * sizeof(raft_entry)));
  auto* const batch = static_cast<char*>(raft_malloc(std::max<std::size_t>(size, 1)));
  if (!list || !batch) throw std::bad_alloc();
  char* at = batch;
  for (std::size_t i = 0; i < entries.size(); ++i) {
    std::memcpy(at, entries[i].bytes.data(), entries[i].bytes.size());
    list[i] = {entries[i].term, entries[i].type, {at, entries[i].bytes.size()}, batch};
    at += entries[i].bytes.size();
  }
  return list;
}

std::vector<LogEntry> log_entries(const raft_entry* entries, std::size_t count) {
  std::vector<LogEntry> list;
  for (std::size_t i = 0; i < count; ++i) {
    list.push_back({entries[i].term, entries[i].type, std::string(view(entries[i].buf))});
  }
  return list;
}

raft_snapshot* raft_snapshot_of(const Snapshot& snapshot) {
  auto* const copy = static_cast<raft_snapshot*>(raft_malloc(sizeof(raft_snapshot)));
  if (!copy) throw std::bad_alloc();
  copy->index = snapshot.index;
  copy->term = snapshot.term;
  fill_configuration(copy->configuration, snapshot.voters);
  copy->configuration_index = snapshot.voters_index;
  copy->bufs = static_cast<raft_buffer*>(raft_malloc(sizeof(raft_buffer)));
  if (!copy->bufs) throw std::bad_alloc();
  copy->bufs[0] = raft_bytes(snapshot.bytes);
  copy->n_bufs = 1;
  return copy;
}

}  // namespace

// Election timeouts that a snapshot may take to arrive.
constexpr unsigned kSnapshotElectionTimeouts = 10;

class Node::Impl {
 public:
  Impl(NodeSettings settings, Storage& storage, Transport& transport, std::uint64_t seed, Time now)
      : settings_(std::move(settings)),
        storage_(storage),
        transport_(transport),
        random_(seed),
        now_(now),
        state_(settings_.bounds, settings_.defects) {
    io_.version = 1;
    io_.impl = this;  // raft_io::data is used by the library itself
    io_.init = [](raft_io*, raft_id, const char*) { return 0; };
    io_.close = [](raft_io* io, raft_io_close_cb done) { self(io).defer([io, done] { done(io); }); };
    io_.load = load;
    io_.start = [](raft_io* io, unsigned, raft_io_tick_cb on_tick, raft_io_recv_cb on_recv) {
      self(io).tick_ = on_tick;
      self(io).recv_ = on_recv;
      return 0;
    };
    io_.bootstrap = bootstrap;
    io_.recover = [](raft_io*, const raft_configuration*) { return RAFT_INVALID; };
    io_.set_term = [](raft_io* io, raft_term term) {
      return self(io).persist([&] { self(io).storage_.set_term(term); });
    };
    io_.set_vote = [](raft_io* io, raft_id vote) {
      if (self(io).settings_.forgets_vote) return 0;
      return self(io).persist([&] { self(io).storage_.set_vote(vote); });
    };
    io_.send = send;
    io_.append = append;
    io_.truncate = [](raft_io* io, raft_index index) {
      return self(io).persist([&] {
        self(io).storage_.truncate(index);
        self(io).next_index_ = std::min(self(io).next_index_, index);
      });
    };
    io_.snapshot_put = snapshot_put;
    io_.snapshot_get = snapshot_get;
    io_.time = [](raft_io* io) {
      return static_cast<raft_time>(self(io).now_ / std::chrono::milliseconds(1));
    };
    io_.random = [](raft_io* io, int min, int max) {
      return std::uniform_int_distribution<int>(min, max - 1)(self(io).random_);
    };
    fsm_.version = 1;
    fsm_.data = this;
    fsm_.apply = apply;
    fsm_.snapshot = snapshot;
    fsm_.restore = restore;
    check(raft_init(&raft_, &io_, &fsm_, settings_.id, settings_.address.c_str()), "init");
    raft_.data = this;
    raft_set_election_timeout(&raft_, ms(settings_.election));
    raft_set_heartbeat_timeout(&raft_, ms(settings_.heartbeat));
    // A lost snapshot is sent again after this. The library's default of 30 s would leave the register
    // without a majority where the voter that waits for the snapshot is needed for one.
    raft_set_install_snapshot_timeout(&raft_, kSnapshotElectionTimeouts * ms(settings_.election));
    raft_set_snapshot_threshold(&raft_, settings_.snapshot_after);
    raft_set_snapshot_trailing(&raft_, settings_.trailing);
    // Pre-vote is off. In libraft 0.15 a refused pre-vote reports the request's term instead of the
    // refuser's, so that of two remaining voters, one with the longer log and one with the higher term,
    // neither is ever elected. Without pre-vote, a voter that returns with a higher term costs an election,
    // but its request is refused by every voter that hears from a leader.
    raft_set_pre_vote(&raft_, false);
    try {
      if (!settings_.initial_voters.empty()) {
        raft_configuration first;
        fill_configuration(first, settings_.initial_voters);
        const int error = raft_bootstrap(&raft_, &first);
        raft_configuration_close(&first);
        check(error, "bootstrap");
      }
      check(raft_start(&raft_), "start");
    } catch (...) {
      close();
      throw;
    }
    run_deferred();
  }

  ~Impl() { close(); }

  void tick(Time now) {
    now_ = std::max(now_, now);
    if (!failed_ && tick_) tick_(&io_);
    run_deferred();
  }

  void receive(Time now, VoterId from, const std::string& address, std::string_view bytes) {
    now_ = std::max(now_, now);
    if (failed_ || !recv_) return;
    auto decoded = wire::decode(bytes);
    if (!decoded) return;  // another version's or a damaged message: treated as lost
    if (decoded->type == RAFT_IO_APPEND_ENTRIES) {
      skip_snapshotted(*decoded);
      record_match(*decoded);
    }
    raft_message message{};
    if (!to_raft(*decoded, message)) return;
    message.server_id = from;
    message.server_address = address.c_str();
    // The candidate counts this vote by the voters that it knows of. The library refuses the request where
    // this voter has not yet learned that it has a vote, although its vote may be the missing one (in Raft
    // each voter answers by term and log alone). So its role is set to voter for the call.
    raft_server* const own = message.type == RAFT_IO_REQUEST_VOTE ? find_server(settings_.id) : nullptr;
    const int role = own ? own->role : RAFT_VOTER;
    if (own && own->role != RAFT_VOTER) drop_silent_leader();
    if (own) own->role = RAFT_VOTER;
    recv_(&io_, &message);
    if (own) own->role = role;
    run_deferred();
  }

  // Returns the index from which a leader's message undoes a change of voters that the library cannot undo:
  // libraft 0.15 looks in the log for the previous change and crashes if a snapshot has replaced it.
  std::optional<raft_index> conflicting_voter_change(std::string_view bytes) const {
    const raft_index change = raft_.configuration_uncommitted_index;
    if (failed_ || change == 0 || raft_.configuration_index > raft_.log.offset) return std::nullopt;
    const auto append = wire::decode(bytes);
    if (!append || append->type != RAFT_IO_APPEND_ENTRIES || append->fields.size() != 4) return std::nullopt;
    if (append->fields[0] < raft_.current_term) return std::nullopt;
    raft_index index = append->fields[1];
    for (const LogEntry& entry : append->entries) {
      if (++index > change) break;
      if (index > raft_.log.offset && index <= raft_last_index(const_cast<struct raft*>(&raft_)) &&
          term_at(index) != entry.term) {
        return index;  // the leader has a different entry there: this one was never committed
      }
    }
    return std::nullopt;
  }
  // Creates this voter anew from what its disk holds. Throws StorageError.
  std::unique_ptr<Impl> reopened() {
    NodeSettings settings = settings_;
    settings.initial_voters.clear();
    auto reopened_impl = std::make_unique<Impl>(std::move(settings), storage_, transport_, random_(), now_);
    reopened_impl->on_applied_ = on_applied_;
    return reopened_impl;
  }
  // Removes the entries from that index on and reopens the voter; nothing if the disk fails.
  std::unique_ptr<Impl> truncated_from(raft_index from) {
    std::unique_ptr<Impl> reopened_impl;
    guarded([&] {
      storage_.truncate(from);
      reopened_impl = reopened();
    });
    return reopened_impl;
  }
  bool failure_is_retryable() const { return failed_ && retryable_; }

  void propose(Time now, const std::vector<Command>& commands, std::vector<Done> done) {
    now_ = std::max(now_, now);
    if (settings_.defects.reads_locally && commands.size() == 1 && commands[0].op == Op::read && !failed_) {
      State copy = state_;
      return done[0](Outcome::done, copy.apply(commands[0]));
    }
    if (failed_ || raft_state(&raft_) != RAFT_LEADER || transferring_leadership() || commands.empty()) {
      for (const Done& each : done) each(failed_ ? Outcome::failed : Outcome::not_leader, {});
      return;
    }
    std::vector<raft_buffer> buffers;
    for (const Command& command : commands) buffers.push_back(raft_bytes(encode(command)));
    // The library calls back when the first command of a batch is applied, or when none will be. The replies
    // are therefore collected as the state machine returns them.
    auto* const request =
        new Proposal{{}, this, std::move(done), {}, commands.size(), raft_last_index(&raft_) + 1};
    request->raft.data = request;
    const int error =
        raft_apply(&raft_, &request->raft, buffers.data(), static_cast<unsigned>(buffers.size()),
                   [](struct raft_apply* req, int status, void*) {
                     auto* const proposal = static_cast<Proposal*>(req->data);
                     proposal->owner->finished(*proposal, status);
                   });
    if (error != 0) {
      for (const raft_buffer& buffer : buffers) raft_free(buffer.base);
      const std::vector<Done> refused = std::move(request->done);
      delete request;
      for (const Done& each : refused) each(Outcome::not_leader, {});
      return;
    }
    proposals_.emplace(request->first, request);
    run_deferred();
  }

  void change_voters(Time now, const VoterChangeDone& changed,
                     const std::function<int(raft_change*, raft_change_cb)>& ask,
                     const VoterChangeDone& then) {
    now_ = std::max(now_, now);
    auto* const request = new Change{{}, this, then};
    request->raft.data = request;
    const int error = ask(&request->raft, [](raft_change* req, int status) {
      const std::unique_ptr<Change> change(static_cast<Change*>(req->data));
      change->owner->defer([then = change->then, status] { then(status == 0 ? "" : raft_strerror(status)); });
    });
    if (error != 0) {
      delete request;
      changed(raft_strerror(error));
    }
    run_deferred();
  }

  // A voter is added without a vote first; assigning the vote waits until it has the log. One that an earlier
  // leader added without assigning its vote is assigned it now.
  void add_voter(Time now, VoterId id, const std::string& address, const VoterChangeDone& changed) {
    const auto assign = [this, id, changed] {
      change_voters(
          now_, changed,
          [&](raft_change* request, raft_change_cb done) {
            return raft_assign(&raft_, request, id, RAFT_VOTER, done);
          },
          changed);
    };
    const Voters voters = voters_of(raft_.configuration);
    if (std::any_of(voters.begin(), voters.end(), [id](const Voter& voter) { return voter.id == id; })) {
      now_ = std::max(now_, now);
      return assign();
    }
    change_voters(
        now, changed,
        [&](raft_change* request, raft_change_cb done) {
          return raft_add(&raft_, request, id, address.c_str(), done);
        },
        [assign, changed](const std::string& error) { error.empty() ? assign() : changed(error); });
  }

  void remove_voter(Time now, VoterId id, const VoterChangeDone& changed) {
    change_voters(
        now, changed,
        [&](raft_change* request, raft_change_cb done) { return raft_remove(&raft_, request, id, done); },
        changed);
  }

  // Chooses the successor. It is sent Raft's TimeoutNow, on which it starts an election that voters do not
  // refuse on account of the present leader. The library's own raft_transfer() is not used: it keeps a
  // request at the leader that does not survive a change of voters or of the leader meanwhile (it crashed in
  // the random walk of tests/duty_test.cpp).
  bool transfer_leadership(Time now, VoterId to) {
    now_ = std::max(now_, now);
    if (!leads()) return false;
    if (transferring_leadership() && (to == 0 || to == transfer_target_)) return true;
    const raft_configuration& known = raft_.configuration;
    std::optional<unsigned> best;
    const raft_progress* const progress = raft_.leader_state.progress;
    for (unsigned i = 0; i < known.n; ++i) {
      const raft_server& server = known.servers[i];
      if (server.id == settings_.id || server.role != RAFT_VOTER || (to != 0 && server.id != to)) continue;
      if (!progress[i].recent_recv) continue;
      if (!best || progress[i].match_index > progress[*best].match_index) best = i;
    }
    if (!best) return false;
    transfer_target_ = known.servers[*best].id;
    transfer_deadline_ = now_ + settings_.election;
    timeout_now_sent_at_.reset();
    run_deferred();
    return true;
  }

  // Sends TimeoutNow once the target has the whole log; nothing is proposed here meanwhile. The message may
  // be lost, so it is repeated with each heartbeat.
  void send_timeout_now() {
    if (!transferring_leadership() ||
        (timeout_now_sent_at_ && now_ - *timeout_now_sent_at_ < settings_.heartbeat))
      return;
    const raft_server* const successor = find_server(transfer_target_);
    if (!successor) return;
    const raft_index last = raft_last_index(&raft_);
    if (raft_.leader_state.progress[successor - raft_.configuration.servers].match_index != last) return;
    timeout_now_sent_at_ = now_;
    wire::Message message;
    message.type = RAFT_IO_TIMEOUT_NOW;
    message.fields = {raft_.current_term, last,
                      last > raft_.log.offset ? term_at(last) : raft_.log.snapshot.last_term};
    transport_.send(transfer_target_, successor->address, wire::encode(message));
  }

  Status status() const {
    Status status;
    auto* const raft = const_cast<struct raft*>(&raft_);
    status.leader = leads();
    status.term = raft_.current_term;
    const char* address = nullptr;
    raft_id id = 0;
    // A failed voter no longer hears of leaders and is none: its clients have to go on to the next voter.
    if (!failed_) raft_leader(raft, &id, &address);
    status.leader_id = id;
    if (address) status.leader_address = address;
    const raft_server* const successor = transferring_leadership() ? find_server(transfer_target_) : nullptr;
    if (successor) status.leader_address = successor->address;
    status.last_index = raft_last_index(raft);
    status.commit_index = raft_.commit_index;
    status.applied_index = raft_last_applied(raft);
    status.voters = voters_of(raft_.configuration);
    status.voters_committed = raft_.configuration_uncommitted_index == 0;
    return status;
  }
  bool leads() const { return !failed_ && raft_.state == RAFT_LEADER; }
  bool transferring_leadership() const { return leads() && now_ < transfer_deadline_; }
  bool failed() const { return failed_; }
  const State& state() const { return state_; }
  void on_applied(std::function<void()> step) { on_applied_ = std::move(step); }

 private:
  struct Proposal {
    struct raft_apply raft;
    Impl* owner;
    std::vector<Done> done;
    std::vector<Reply> replies;
    std::size_t count;
    raft_index first;
    bool called_back = false;  // the library no longer refers to it
    bool notified = false;     // its callbacks were called
  };
  struct Change {
    raft_change raft;
    Impl* owner;
    VoterChangeDone then;
  };

  static Impl& self(raft_io* io) { return *static_cast<Impl*>(io->impl); }
  static Impl& self(raft_fsm* fsm) { return *static_cast<Impl*>(fsm->data); }

  void check(int error, const char* what) const {
    if (error == 0) return;
    throw std::runtime_error(std::string("register: ") + what + ": " +
                             (failure_.empty() ? raft_strerror(error) : failure_));
  }

  // Runs a step that uses the disk. A StorageError is returned to the library as an I/O error and ends this
  // voter's participation.
  template <typename Step>
  int guarded(const Step& step) {
    // Nothing is written after a write that failed: a vote stored without its term would count for another
    // term.
    if (failed_) return RAFT_IOERR;
    try {
      step();
      return 0;
    } catch (const StorageError& error) {
      failure_ = error.what();
      failed_ = true;
      retryable_ = error.is_retryable;
      return RAFT_IOERR;
    }
  }

  // For term, vote and truncation, whose failure the library does not survive (a candidate that could not
  // store its term frees an invalid pointer). The library is told that the step succeeded and completes what
  // it was doing; none of it gets out, since a failed voter sends and answers nothing.
  template <typename Step>
  int persist(const Step& step) {
    guarded(step);
    return 0;
  }

  // The library must not be called back from inside one of its own calls: completions are deferred until it
  // has returned.
  void defer(std::function<void()> step) { deferred_.push_back(std::move(step)); }
  void run_deferred() {
    if (std::exchange(running_deferred_, true)) return;
    do {
      while (!deferred_.empty()) {
        const auto step = std::move(deferred_.front());
        deferred_.pop_front();
        step();
      }
      reap_proposals();
    } while (!deferred_.empty());
    send_timeout_now();
    running_deferred_ = false;
  }

  void close() {
    if (std::exchange(closed_, true)) return;
    raft_close(&raft_, nullptr);
    run_deferred();
    for (auto& [index, proposal] : proposals_) delete proposal;
    proposals_.clear();
  }

  // ---- The library's I/O

  static int load(raft_io* io, raft_term* term, raft_id* vote, raft_snapshot** snapshot, raft_index* first,
                  raft_entry* entries[], std::size_t* count) {
    return self(io).guarded([&] {
      const Storage::Loaded loaded = self(io).storage_.load();
      *term = loaded.term;
      *vote = loaded.vote;
      *snapshot = loaded.snapshot ? raft_snapshot_of(*loaded.snapshot) : nullptr;
      *first = loaded.first_index;
      *entries = raft_entries(loaded.entries);
      *count = loaded.entries.size();
      self(io).next_index_ = loaded.first_index + loaded.entries.size();
    });
  }

  static int bootstrap(raft_io* io, const raft_configuration* configuration) {
    return self(io).guarded([&] {
      raft_buffer bytes{};
      if (raft_configuration_encode(configuration, &bytes) != 0) throw StorageError("voters: out of memory");
      const std::string copy(view(bytes));
      raft_free(bytes.base);
      self(io).storage_.set_term(1);
      self(io).storage_.append(1, {{1, RAFT_CHANGE, copy}});
    });
  }

  static int send(raft_io* io, raft_io_send* request, const raft_message* message, raft_io_send_cb done) {
    Impl& impl = self(io);
    if (!impl.failed_) {
      wire::Message sent = from_raft(*message);
      if (sent.type == RAFT_IO_APPEND_ENTRIES_RESULT && sent.fields[1] == 0) {
        sent.fields[2] = std::min<std::uint64_t>(sent.fields[2], impl.matched_index(sent.fields[0]));
      }
      impl.transport_.send(message->server_id, message->server_address, wire::encode(sent));
    }
    // The message is with the network; whether it arrives shows only in the replies.
    if (done) impl.defer([request, done] { done(request, 0); });
    return 0;
  }

  static int append(raft_io* io, raft_io_append* request, const raft_entry entries[], unsigned count,
                    raft_io_append_cb done) {
    Impl& impl = self(io);
    const int error = impl.guarded([&] {
      impl.storage_.append(impl.next_index_, log_entries(entries, count));
      impl.next_index_ += count;
    });
    impl.defer([request, done, error] { done(request, error); });
    return 0;
  }

  static int snapshot_put(raft_io* io, unsigned trailing, raft_io_snapshot_put* request,
                          const raft_snapshot* taken, raft_io_snapshot_put_cb done) {
    Impl& impl = self(io);
    const int error = impl.guarded([&] {
      Snapshot snapshot{
          taken->index, taken->term, voters_of(taken->configuration), taken->configuration_index, {}};
      for (unsigned i = 0; i < taken->n_bufs; ++i) snapshot.bytes += view(taken->bufs[i]);
      impl.storage_.put_snapshot(snapshot, trailing);
      if (trailing == 0) impl.next_index_ = snapshot.index + 1;
    });
    impl.defer([request, done, error] { done(request, error); });
    return 0;
  }

  static int snapshot_get(raft_io* io, raft_io_snapshot_get* request, raft_io_snapshot_get_cb done) {
    Impl& impl = self(io);
    raft_snapshot* snapshot = nullptr;
    const int error = impl.guarded([&] {
      const auto kept = impl.storage_.get_snapshot();
      if (!kept) throw StorageError("the snapshot is missing");
      snapshot = raft_snapshot_of(*kept);
    });
    impl.defer([request, done, snapshot, error] { done(request, snapshot, error); });
    return 0;
  }

  // ---- The state machine

  static int apply(raft_fsm* fsm, const raft_buffer* buffer, void** result) {
    Impl& impl = self(fsm);
    const auto command = decode_command(view(*buffer));
    // A command that this version cannot decode is refused, by all voters alike.
    Reply reply;
    reply.code = Code::malformed;
    if (command) reply = impl.state_.apply(*command);
    *result = nullptr;
    // Commands are applied in order of their index: this one belongs to the first proposal that is not
    // complete.
    impl.applied(std::move(reply));
    return 0;
  }

  void applied(Reply reply) {
    const raft_index index = raft_.last_applied + 1;
    const auto after = proposals_.upper_bound(index);
    if (after != proposals_.begin()) {
      Proposal& proposal = *std::prev(after)->second;
      if (index == proposal.first + proposal.replies.size() && proposal.replies.size() < proposal.count) {
        proposal.replies.push_back(std::move(reply));
        if (proposal.replies.size() == proposal.count) notify(proposal, Outcome::done);
      }
    }
    if (on_applied_) on_applied_();
  }

  void finished(Proposal& proposal, int status) {
    proposal.called_back = true;
    if (status != 0) notify(proposal, failed_ ? Outcome::failed : Outcome::unknown);
  }

  void notify(Proposal& proposal, Outcome outcome) {
    if (std::exchange(proposal.notified, true)) return;
    defer([outcome, done = std::move(proposal.done), replies = std::move(proposal.replies)] {
      for (std::size_t i = 0; i < done.size(); ++i) {
        done[i](outcome, outcome == Outcome::done ? replies[i] : Reply{});
      }
    });
  }

  // If the leader was deposed after the first command of a proposal, the library reports nothing of the
  // others: their outcome is unknown. Proposals that are complete are deleted.
  void reap_proposals() {
    for (auto each = proposals_.begin(); each != proposals_.end();) {
      Proposal& proposal = *each->second;
      if (proposal.called_back && raft_.state != RAFT_LEADER) notify(proposal, Outcome::unknown);
      if (!proposal.called_back || !proposal.notified) {
        ++each;
        continue;
      }
      delete each->second;
      each = proposals_.erase(each);
    }
  }

  static int snapshot(raft_fsm* fsm, raft_buffer* buffers[], unsigned* count) {
    *buffers = static_cast<raft_buffer*>(raft_malloc(sizeof(raft_buffer)));
    if (!*buffers) return RAFT_NOMEM;
    (*buffers)[0] = raft_bytes(self(fsm).state_.snapshot());
    *count = 1;
    return 0;
  }

  static int restore(raft_fsm* fsm, raft_buffer* buffer) {
    Impl& impl = self(fsm);
    try {
      impl.state_.restore(view(*buffer));
    } catch (const std::runtime_error& error) {
      impl.failure_ = error.what();
      return RAFT_CORRUPT;
    }
    raft_free(buffer->base);
    return 0;
  }

  // ---- Messages

  static wire::Message from_raft(const raft_message& from) {
    wire::Message to;
    to.type = from.type;
    switch (from.type) {
      case RAFT_IO_APPEND_ENTRIES:
        to.fields = {from.append_entries.term, from.append_entries.prev_log_index,
                     from.append_entries.prev_log_term, from.append_entries.leader_commit};
        to.entries = log_entries(from.append_entries.entries, from.append_entries.n_entries);
        break;
      case RAFT_IO_APPEND_ENTRIES_RESULT:
        to.fields = {from.append_entries_result.term, from.append_entries_result.rejected,
                     from.append_entries_result.last_log_index};
        break;
      case RAFT_IO_REQUEST_VOTE:
        to.fields = {from.request_vote.term,           from.request_vote.candidate_id,
                     from.request_vote.last_log_index, from.request_vote.last_log_term,
                     from.request_vote.disrupt_leader, from.request_vote.pre_vote};
        break;
      case RAFT_IO_REQUEST_VOTE_RESULT:
        to.fields = {from.request_vote_result.term, from.request_vote_result.vote_granted,
                     static_cast<std::uint64_t>(from.request_vote_result.pre_vote)};
        break;
      case RAFT_IO_INSTALL_SNAPSHOT:
        to.fields = {from.install_snapshot.term, from.install_snapshot.last_index,
                     from.install_snapshot.last_term, from.install_snapshot.conf_index};
        to.voters = voters_of(from.install_snapshot.conf);
        to.snapshot = view(from.install_snapshot.data);
        break;
      case RAFT_IO_TIMEOUT_NOW:
        to.fields = {from.timeout_now.term, from.timeout_now.last_log_index, from.timeout_now.last_log_term};
        break;
      default:
        break;
    }
    return to;
  }

  // Entries up to the snapshot are committed. The library takes a delayed copy of one for new once it is gone
  // from the log, so only the entries after the snapshot are passed to it.
  void skip_snapshotted(wire::Message& append) const {
    if (append.fields.size() != 4 || append.fields[1] >= raft_.log.snapshot.last_index) return;
    const std::uint64_t known = raft_.log.snapshot.last_index - append.fields[1];
    const auto skipped = static_cast<std::ptrdiff_t>(std::min<std::uint64_t>(known, append.entries.size()));
    append.entries.erase(append.entries.begin(), append.entries.begin() + skipped);
    append.fields[1] = raft_.log.snapshot.last_index;
    append.fields[2] = raft_.log.snapshot.last_term;
  }

  // Records up to which index this voter's log matches the leader's: an append whose previous entry is
  // present matches up to its last entry. The library instead reports its last index, including entries that
  // an earlier leader left after the point compared; a new leader with entries of its own at those indexes
  // would take them for replicated.
  void record_match(const wire::Message& append) {
    if (append.fields.size() != 4 || append.fields[0] < raft_.current_term) return;
    if (std::exchange(matched_term_, append.fields[0]) != append.fields[0]) matched_ = 0;
    const raft_index previous = append.fields[1];
    const auto& log = raft_.log;
    const bool matches =
        previous == 0 ||
        (previous == log.snapshot.last_index ? append.fields[2] == log.snapshot.last_term
                                             : previous > log.offset && previous <= raft_last_index(&raft_) &&
                                                   append.fields[2] == term_at(previous));
    if (matches) matched_ = std::max(matched_, previous + append.entries.size());
  }
  // Committed entries match whoever leads.
  raft_index matched_index(raft_term term) const {
    return std::max({raft_.commit_index, raft_.log.snapshot.last_index,
                     term == matched_term_ ? matched_ : raft_index{0}});
  }

  // A voter that hears from a leader refuses votes. The library ends this when its election timer runs out,
  // but checks that timer only where the voter knows of its vote; one that has not learned of its vote would
  // refuse for ever.
  void drop_silent_leader() {
    if (raft_.state != RAFT_FOLLOWER || raft_.follower_state.current_leader.id == 0) return;
    const raft_time silence =
        static_cast<raft_time>(now_ / std::chrono::milliseconds(1)) - raft_.election_timer_start;
    if (silence < raft_.election_timeout) return;
    raft_.follower_state.current_leader.id = 0;
    raft_free(raft_.follower_state.current_leader.address);
    raft_.follower_state.current_leader.address = nullptr;
  }

  // The configuration's entry for a voter, or null.
  raft_server* find_server(VoterId id) const {
    const raft_configuration& known = raft_.configuration;
    const auto found = std::find_if(known.servers, known.servers + known.n,
                                    [id](const raft_server& each) { return each.id == id; });
    return found == known.servers + known.n ? nullptr : found;
  }

  std::uint64_t term_at(raft_index index) const {
    const auto& log = raft_.log;
    return log.entries[(log.front + (index - log.offset - 1)) % log.size].term;
  }

  // Returns false if the number of fields does not fit the message's type.
  static bool to_raft(const wire::Message& from, raft_message& to) {
    static constexpr std::size_t kFieldCounts[] = {0, 4, 3, 6, 3, 4, 3};
    if (from.type < RAFT_IO_APPEND_ENTRIES || from.type > RAFT_IO_TIMEOUT_NOW) return false;
    if (from.fields.size() != kFieldCounts[from.type]) return false;
    const auto& f = from.fields;
    to.type = from.type;
    switch (from.type) {
      case RAFT_IO_APPEND_ENTRIES:
        to.append_entries = {
            f[0], f[1], f[2], f[3], raft_entries(from.entries), static_cast<unsigned>(from.entries.size())};
        break;
      case RAFT_IO_APPEND_ENTRIES_RESULT:
        to.append_entries_result = {f[0], f[1], f[2]};
        break;
      case RAFT_IO_REQUEST_VOTE:
        to.request_vote = {f[0], f[1], f[2], f[3], f[4] != 0, f[5] != 0};
        break;
      case RAFT_IO_REQUEST_VOTE_RESULT:
        to.request_vote_result = {f[0], f[1] != 0,
                                  f[2] == 1   ? raft_tribool_true
                                  : f[2] == 2 ? raft_tribool_false
                                              : raft_tribool_unknown};
        break;
      case RAFT_IO_INSTALL_SNAPSHOT: {
        raft_install_snapshot& install = to.install_snapshot;
        install.term = f[0];
        install.last_index = f[1];
        install.last_term = f[2];
        install.conf_index = f[3];
        fill_configuration(install.conf, from.voters);
        install.data = raft_bytes(from.snapshot);
        break;
      }
      default:
        to.timeout_now = {f[0], f[1], f[2]};
    }
    return true;
  }

  NodeSettings settings_;
  Storage& storage_;
  Transport& transport_;
  std::mt19937_64 random_;
  Time now_;
  State state_;
  raft_io io_{};
  raft_fsm fsm_{};
  struct raft raft_ {};
  raft_io_tick_cb tick_ = nullptr;
  raft_io_recv_cb recv_ = nullptr;
  raft_index next_index_ = 1;
  raft_index matched_ = 0;  // index up to which the log matches the leader's of matched_term_
  raft_term matched_term_ = 0;
  std::deque<std::function<void()>> deferred_;
  bool running_deferred_ = false;
  bool closed_ = false;
  bool failed_ = false;
  bool retryable_ = false;  // the failure is retryable
  VoterId transfer_target_ = 0;
  Time transfer_deadline_{};  // until then leadership is being transferred to transfer_target_
  std::optional<Time> timeout_now_sent_at_{};
  std::string failure_;
  std::map<raft_index, Proposal*> proposals_;  // by the index of their first command
  std::function<void()> on_applied_;
};

Node::Node(NodeSettings settings, Storage& storage, Transport& transport, std::uint64_t seed, Time now)
    : impl_(std::make_unique<Impl>(std::move(settings), storage, transport, seed, now)) {}
Node::~Node() = default;
void Node::tick(Time now) { impl_->tick(now); }
void Node::receive(Time now, VoterId from, const std::string& address, std::string_view bytes) {
  if (const auto conflict = impl_->conflicting_voter_change(bytes)) {
    // The message is dropped; the leader sends its entries again.
    if (auto reopened_impl = impl_->truncated_from(*conflict)) impl_ = std::move(reopened_impl);
    return;
  }
  impl_->receive(now, from, address, bytes);
}
void Node::propose(Time now, const std::vector<Command>& commands, std::vector<Done> done) {
  impl_->propose(now, commands, std::move(done));
}
void Node::add_voter(Time now, VoterId id, const std::string& address, VoterChangeDone changed) {
  impl_->add_voter(now, id, address, changed);
}
void Node::remove_voter(Time now, VoterId id, VoterChangeDone changed) {
  impl_->remove_voter(now, id, changed);
}
bool Node::transfer_leadership(Time now, VoterId to) { return impl_->transfer_leadership(now, to); }
Node::Status Node::status() const { return impl_->status(); }
bool Node::leads() const { return impl_->leads(); }
bool Node::failed() const { return impl_->failed(); }
bool Node::failure_is_retryable() const { return impl_->failure_is_retryable(); }
void Node::restart_from_disk() { impl_ = impl_->reopened(); }
const State& Node::state() const { return impl_->state(); }
void Node::on_applied(std::function<void()> step) { impl_->on_applied(std::move(step)); }

}  // namespace quartzarch::reg
