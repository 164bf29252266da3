#include "faults/fleet_simulation.hpp"

#include <algorithm>
#include <deque>
#include <functional>
#include <map>
#include <queue>

#include "faults/history.hpp"
#include "faults/memory_disk.hpp"
#include "register/client_protocol.hpp"
#include "register/commands.hpp"
#include "register/service.hpp"

namespace quartzarch::faults {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Duration kVoterTick = milliseconds(20);
constexpr Duration kEffectInterval = milliseconds(70);
constexpr Duration kHistoryInterval = milliseconds(250);
constexpr Duration kCounterInterval = milliseconds(300);
constexpr Duration kDisconnectDelay = milliseconds(150);  // until a client notices that its connection broke

// The simulation: an event queue in virtual time, the simulated processes, the network and the checks.
class FleetSimulation {
 public:
  explicit FleetSimulation(const SimulationSettings& settings) : settings_(settings), random_(settings.seed) {
    const unsigned endpoints = settings_.voters + settings_.controllers;
    blocked_.assign(endpoints, std::vector<bool>(endpoints, false));
    for (unsigned i = 0; i < settings_.voters; ++i) {
      Voter& voter = *voters_.emplace_back(std::make_unique<Voter>());
      voter.number = i;
      voter.id = ++last_voter_id_;
      voter.clock = random_clock();
      initial_voters_.push_back({voter.id, address(i), true});
    }
    for (auto& voter : voters_) start(*voter, true);
    for (unsigned i = 0; i < settings_.controllers; ++i) {
      Controller& controller = *controllers_.emplace_back(std::make_unique<Controller>());
      controller.number = i;
      controller.clock = random_clock();
      start(controller);
    }
  }

  WalkResult run() {
    for (auto& voter : voters_) tick(*voter);
    for (auto& controller : controllers_) tick(*controller);
    if (settings_.partition_third) {
      set_third_partitioned(true, seconds(10));
      set_third_partitioned(false, seconds(40));
    } else if (settings_.flapping_links) {
      toggle_links(true);
    } else {
      schedule_fault();
      if (settings_.leadership_transfers) schedule_leadership_transfer();
    }
    while (now_ < settings_.fault_phase && violation_.empty()) next_event();
    heal();
    const Time healed = now_;
    bool settled = false;
    while (now_ < healed + settings_.settle_timeout && violation_.empty()) {
      next_event();
      if (!settled && all_held()) {
        settled = true;
        result_.settling_time = now_ - healed;
      }
    }
    if (violation_.empty() && !all_held()) report_violation("a duty has no holder after all faults ended");
    if (violation_.empty()) check_counter();
    check_history();
    if (!violation_.empty()) result_.violation = violation_;
    return std::move(result_);
  }

 private:
  // A simulated clock: its offset from the virtual time and its rate.
  struct Clock {
    Duration offset{};
    double rate = 1;
    Time at(Time real) const {
      return offset + Duration{static_cast<Duration::rep>(static_cast<double>(real.count()) * rate)};
    }
  };

  struct Voter : reg::Transport {
    void send(reg::VoterId to, const std::string&, std::string bytes) override {
      simulation->send_between_voters(*this, to, std::move(bytes));
    }
    FleetSimulation* simulation = nullptr;
    unsigned number = 0;
    reg::VoterId id = 0;
    Clock clock;
    MemoryDisk disk;
    std::unique_ptr<reg::Node> node;
    std::unique_ptr<reg::Service> service;
    unsigned incarnation = 0;  // number of its starts; events of an earlier start are dropped
    Time paused_until{};
    reg::Revision checked_revision = 0;
    bool joining = false;
    std::string last_logged_state{};  // as written to the timeline
  };

  // A duty that a controller is holding.
  struct HeldDuty {
    reg::Token token = 0;
    Time next_effect{};
    std::optional<Time> ends_at{};
  };
  struct Controller {
    unsigned number = 0;
    Clock clock;
    unsigned incarnation = 0;
    unsigned connection = 0;
    int connected_to = -1;
    Time paused_until{};
    std::unique_ptr<duty::LeaseManager> leases;
    std::unique_ptr<reg::ClientProtocol> client;
    std::map<std::string, HeldDuty> held_duties;
    Time next_increment{};
    bool incrementing = false;
    std::unique_ptr<Recorder> recorder;
    Time next_operation{};
    std::deque<std::function<void()>> deferred_events;  // events that arrived during a pause
  };

  struct Event {
    Time at;
    std::uint64_t order;
    std::function<void()> step;
    bool operator<(const Event& other) const { return std::tie(at, order) > std::tie(other.at, other.order); }
  };

  // ---- Virtual time and random choices

  void schedule(Time when, std::function<void()> step) {
    events_.push({std::max(when, now_), ++last_order_, std::move(step)});
  }
  void next_event() {
    Event event = events_.top();
    events_.pop();
    now_ = event.at;
    event.step();
    check_holders();
  }
  int random_below(int limit) { return std::uniform_int_distribution<int>(0, limit - 1)(random_); }
  bool chance(double share) { return std::uniform_real_distribution<double>(0, 1)(random_) < share; }
  Clock random_clock() {
    // The rates of any two clocks differ by at most the drift.
    const double rate =
        1 + (std::uniform_real_distribution<double>(0, 1)(random_) - 0.5) * settings_.drift * 0.95;
    return {milliseconds(random_below(100000)), rate};
  }
  Duration random_delay() {
    if (!healed_ && chance(settings_.late_share)) return milliseconds(200 + random_below(3000));
    return Duration{500 + random_below(9500)};
  }

  static std::string address(unsigned number) { return "v" + std::to_string(number); }
  static std::string duty_name(unsigned number) { return "d" + std::to_string(number); }

  void log(const std::string& what) const {
    if (settings_.timeline) {
      std::fprintf(settings_.timeline, "%7lld ms %s\n", static_cast<long long>(now_ / milliseconds(1)),
                   what.c_str());
    }
  }
  // Writes the voter's state to the timeline if it has changed.
  void log_state(Voter& voter) const {
    if (!settings_.timeline || !voter.node) return;
    const auto status = voter.node->status();
    std::string text = address(voter.number) + " " + std::to_string(voter.id) +
                       (status.leader ? " leads term " : " term ") + std::to_string(status.term) + ", voters";
    for (const auto& each : status.voters)
      text += " " + std::to_string(each.id) + (each.votes ? "" : " (non-voting)");
    if (!status.voters_committed) text += ", not committed";
    if (text == voter.last_logged_state) return;
    voter.last_logged_state = text;
    log(text + ", log " + std::to_string(status.last_index) + ", committed " +
        std::to_string(status.commit_index));
  }

  void report_violation(const std::string& what) {
    if (!violation_.empty() || settings_.check_history_only) return;
    violation_ = what + " (at " + std::to_string(now_ / milliseconds(1)) + " ms, seed " +
                 std::to_string(settings_.seed) + ")";
  }

  // ---- Voters

  void start(Voter& voter, bool first) {
    voter.simulation = this;
    ++voter.incarnation;
    reg::NodeSettings settings;
    settings.id = voter.id;
    settings.address = address(voter.number);
    if (first) settings.initial_voters = initial_voters_;
    settings.election = milliseconds(300);
    settings.heartbeat = milliseconds(60);
    settings.snapshot_after = 64;
    settings.trailing = 16;
    settings.bounds.history = 200;
    settings.defects = settings_.defects;
    settings.forgets_vote = settings_.forgets_vote;
    try {
      voter.node = std::make_unique<reg::Node>(settings, voter.disk, voter, random_(), voter.clock.at(now_));
    } catch (const std::exception& error) {
      return report_violation(std::string("a voter failed to restart: ") + error.what());
    }
    voter.service =
        std::make_unique<reg::Service>(*voter.node, [this, &voter](std::uint64_t client, std::string bytes) {
          send_to_client(voter, client, std::move(bytes));
        });
    voter.node->on_applied([this, &voter] { check_applied(voter); });
  }

  void kill(Voter& voter) {
    log("voter " + address(voter.number) + " crashes");
    ++voter.incarnation;
    voter.service.reset();
    voter.node.reset();
    for (auto& controller : controllers_) {
      if (controller->connected_to == static_cast<int>(voter.number)) break_connection(*controller);
    }
  }

  void tick(Voter& voter) {
    if (voter.node && now_ >= voter.paused_until) {
      voter.service->tick(voter.clock.at(now_));
      log_state(voter);
      if (voter.node->failed()) {
        if (!voter.disk.take_injected_failure()) report_violation("a voter failed without a disk failure");
        kill(voter);
        schedule(now_ + milliseconds(500), [this, &voter] {
          if (!voter.node) start(voter, false);
        });
      } else if (voter.joining) {
        join(voter);
      }
    }
    schedule(now_ + kVoterTick, [this, &voter] { tick(voter); });
  }

  // Does what an operator does for a voter that restarted with an empty disk: the leader removes the old
  // voter id, then adds the new one, as two membership changes.
  void join(Voter& voter) {
    for (auto& other : voters_) {
      if (!other->node || !other->node->leads() || now_ < other->paused_until || other.get() == &voter)
        continue;
      const auto status = other->node->status();
      bool known = false;
      reg::VoterId old = 0;
      for (const auto& each : status.voters) {
        if (each.id == voter.id) known = each.votes && status.voters_committed;
        if (each.address == address(voter.number) && each.id != voter.id) old = each.id;
      }
      if (known) voter.joining = false;
      if (known || now_ < next_join_) return;
      next_join_ = now_ + seconds(1);
      const Time local = other->clock.at(now_);
      if (old != 0) {
        other->node->remove_voter(local, old, [](const std::string&) {});
      } else {
        other->node->add_voter(local, voter.id, address(voter.number), [](const std::string&) {});
      }
      return;
    }
  }

  void send_between_voters(Voter& from, reg::VoterId to, std::string bytes) {
    ++result_.messages;
    result_.bytes += bytes.size();
    if (from.node && from.node->leads()) ++result_.leader_messages, result_.leader_bytes += bytes.size();
    const auto found =
        std::find_if(voters_.begin(), voters_.end(), [&](const auto& v) { return v->id == to; });
    if (found == voters_.end()) return;
    Voter& target = **found;
    if (blocked_[from.number][target.number] || chance(settings_.loss_share)) return;
    schedule(now_ + random_delay(),
             [this, &target, to, from_id = from.id, number = from.number, bytes = std::move(bytes)] {
               if (!target.node || target.id != to || blocked_[number][target.number]) return;
               if (now_ < target.paused_until) {
                 schedule(target.paused_until, [this, &target, to, from_id, number, bytes] {
                   if (target.node && target.id == to)
                     target.node->receive(target.clock.at(now_), from_id, address(number), bytes);
                 });
                 return;
               }
               target.node->receive(target.clock.at(now_), from_id, address(number), bytes);
             });
  }

  // ---- Controllers

  std::string name(const Controller& controller) const { return "c" + std::to_string(controller.number); }
  unsigned endpoint(const Controller& controller) const { return settings_.voters + controller.number; }

  void start(Controller& controller) {
    ++controller.incarnation;
    ++controller.connection;
    controller.connected_to = -1;
    controller.held_duties.clear();
    if (!controller.recorder) {
      const auto ask = [this, &controller](reg::Command command, reg::ClientProtocol::Done done) {
        controller.client->ask(controller.clock.at(now_), std::move(command), std::move(done));
      };
      controller.recorder = std::make_unique<Recorder>(history_, controller.number, ask, random_());
    }
    controller.recorder->abandon();
    controller.deferred_events.clear();
    controller.incrementing = false;
    duty::Settings settings;
    settings.name = name(controller);
    settings.incarnation = (std::uint64_t{controller.incarnation} << 32) + 1;
    settings.ttl = settings_.ttl;
    settings.drift = settings_.drift;
    settings.min_back_off = milliseconds(300);
    settings.max_back_off = milliseconds(2000);
    settings.lease_from_reply = settings_.lease_from_reply;
    std::vector<duty::DutySettings> duties;
    for (unsigned i = 0; i < settings_.duties; ++i) duties.push_back({duty_name(i), true, {}});
    controller.leases = std::make_unique<duty::LeaseManager>(settings, duties, random_());
    reg::ClientProtocol::Settings client_settings;
    for (unsigned i = 0; i < settings_.voters; ++i) client_settings.voters.push_back(address(i));
    controller.client = std::make_unique<reg::ClientProtocol>(client_settings, random_());
    controller.client->watch(
        std::string(reg::kDutyPrefix), [this, &controller](reg::Revision, const auto& changes, bool) {
          for (const reg::Change& change : changes) {
            if (!change.value) continue;
            controller.leases->on_duty_changed(controller.clock.at(now_),
                                               change.key.substr(reg::kDutyPrefix.size()), change.revision,
                                               reg::parse_duty(*change.value));
          }
        });
  }

  void tick(Controller& controller) {
    if (controller.leases && now_ >= controller.paused_until) {
      for (auto& event : std::exchange(controller.deferred_events, {})) event();
      run_controller(controller);
    }
    schedule(now_ + kVoterTick / 2, [this, &controller] { tick(controller); });
  }

  void run_controller(Controller& controller) {
    const Time local = controller.clock.at(now_);
    const unsigned incarnation = controller.incarnation;
    for (auto& request : controller.leases->due(local)) {
      ++result_.duty_messages;
      controller.client->ask(
          local, std::move(request.command),
          [this, &controller, incarnation, id = request.id](const std::optional<reg::Reply>& reply) {
            if (controller.incarnation != incarnation) return;
            const Time then = controller.clock.at(now_);
            if (reply) {
              controller.leases->on_reply(then, id, *reply);
            } else {
              controller.leases->on_no_reply(then, id);
            }
          });
    }
    for (const duty::Action& action : controller.leases->take_actions()) {
      log(name(controller) + " " + action.duty +
          (action.kind == duty::Action::Kind::begin
               ? " begins"
               : std::string(" ends: ") + duty::end_reason_text(action.reason)) +
          " token " + std::to_string(action.token));
      if (action.kind == duty::Action::Kind::begin) {
        ++result_.holdings;
        controller.held_duties[action.duty] = {action.token, now_, std::nullopt};
      } else if (const auto held = controller.held_duties.find(action.duty);
                 held != controller.held_duties.end()) {
        held->second.ends_at = now_ + milliseconds(random_below(100));
      }
    }
    for (auto each = controller.held_duties.begin(); each != controller.held_duties.end();) {
      auto& [duty, held] = *each;
      if (held.ends_at && now_ >= *held.ends_at) {
        controller.leases->ended(local, duty, held.token, false);
        each = controller.held_duties.erase(each);
        continue;
      }
      if (now_ >= held.next_effect) write_effect(controller, duty, held);
      ++each;
    }
    if (now_ >= controller.next_operation && !settings_.partition_third) {
      controller.next_operation = now_ + kHistoryInterval;
      controller.recorder->step([this] { return now_; });
    }
    if (now_ >= controller.next_increment && !controller.incrementing) increment_counter(controller);
    for (std::string& bytes : controller.client->due(controller.clock.at(now_)))
      send_to_voter(controller, std::move(bytes));
  }

  // The holder of a duty writes to an external resource. The write can be delayed after the check of the
  // lease, so the resource has to reject writes with an older fencing token.
  void write_effect(Controller& controller, const std::string& duty, HeldDuty& held) {
    held.next_effect = now_ + kEffectInterval;
    const auto token = controller.leases->holds(controller.clock.at(now_), duty);
    if (!token) return;
    const Duration delay =
        chance(0.02) ? milliseconds(random_below(4000)) : Duration{500 + random_below(3000)};
    schedule(now_ + delay, [this, duty, written = *token] {
      reg::Token& newest = newest_token_[duty];
      if (written < newest && !settings_.resource_ignores_tokens) {
        ++result_.rejected_effects;
        return;
      }
      ++result_.effects;
      if (written < newest)
        return report_violation("an effect of an older holding of " + duty +
                                " was applied after one of a newer");
      newest = written;
    });
  }

  // Increments a shared counter by compare-and-set. All acknowledged increments must be in it at the end, and
  // a read must never be older than a revision that a client already knew when the read began.
  void increment_counter(Controller& controller) {
    controller.next_increment = now_ + kCounterInterval;
    controller.incrementing = true;
    const unsigned incarnation = controller.incarnation;
    const reg::Revision known_before = newest_known_revision_;
    controller.client->ask(
        controller.clock.at(now_), reg::read_value("count"),
        [this, &controller, incarnation, known_before](const std::optional<reg::Reply>& reply) {
          if (controller.incarnation != incarnation) return;
          controller.incrementing = false;
          if (!reply) return;
          if (reply->revision < known_before)
            report_violation("a read returned an older revision than one known before it began");
          newest_known_revision_ = std::max(newest_known_revision_, reply->revision);
          const auto count = reply->items.empty() ? 0 : std::stoull(reply->items.front().value);
          reg::Command put = reg::put_value("count", std::to_string(count + 1));
          put.expected = reply->items.empty() ? 0 : reply->items.front().revision;
          controller.incrementing = true;
          ++unanswered_increments_;
          controller.client->ask(controller.clock.at(now_), put,
                                 [this, &controller, incarnation](const std::optional<reg::Reply>& written) {
                                   if (written) --unanswered_increments_;
                                   if (written && written->code == reg::Code::ok) ++result_.increments;
                                   if (written)
                                     newest_known_revision_ =
                                         std::max(newest_known_revision_, written->revision);
                                   if (controller.incarnation == incarnation) controller.incrementing = false;
                                 });
        });
  }

  // ---- Connections between controllers and voters: messages arrive in order until a connection breaks

  void send_to_voter(Controller& controller, std::string bytes) {
    ++result_.messages;
    result_.bytes += bytes.size();
    ++result_.client_messages;
    result_.client_bytes += bytes.size();
    const std::string target = controller.client->voter();
    for (auto& each : voters_) {
      if (address(each->number) != target) continue;
      if (controller.connected_to != static_cast<int>(each->number)) {
        if (controller.connected_to >= 0) disconnect_from_voter(controller);
        controller.connected_to = static_cast<int>(each->number);
        ++controller.connection;
        last_arrival_at_voter_[controller.number] = last_arrival_at_client_[controller.number] = now_;
      }
      if (blocked_[endpoint(controller)][each->number] || !each->node) return break_connection(controller);
      Voter& voter = *each;
      schedule_in_order(controller, true,
                        [this, &controller, &voter, bytes = std::move(bytes),
                         connection = controller.connection, incarnation = voter.incarnation] {
                          deliver_to_voter(controller, voter, bytes, connection, incarnation);
                        });
    }
  }

  void deliver_to_voter(Controller& controller, Voter& voter, const std::string& bytes, unsigned connection,
                        unsigned incarnation) {
    if (!voter.node || voter.incarnation != incarnation || controller.connection != connection) return;
    if (now_ < voter.paused_until) {
      schedule(voter.paused_until, [this, &controller, &voter, bytes, connection, incarnation] {
        deliver_to_voter(controller, voter, bytes, connection, incarnation);
      });
      return;
    }
    link::LinkMessage message;
    std::size_t length = 0;
    if (link::decode(bytes, message, length) != link::DecodeResult::complete)
      return report_violation("a voter could not decode a client's frame");
    if (!voter.service->received(voter.clock.at(now_), client_id(controller, connection), message))
      report_violation("a voter rejected a client's frame");
  }

  static std::uint64_t client_id(const Controller& controller, unsigned connection) {
    return std::uint64_t{controller.number} << 32 | connection;
  }

  void send_to_client(Voter& voter, std::uint64_t client, std::string bytes) {
    ++result_.messages;
    result_.bytes += bytes.size();
    if (voter.node && voter.node->leads()) ++result_.leader_messages, result_.leader_bytes += bytes.size();
    Controller& controller = *controllers_[client >> 32];
    const auto connection = static_cast<unsigned>(client);
    if (controller.connection != connection) return;
    if (blocked_[voter.number][endpoint(controller)]) return break_connection(controller);
    schedule_in_order(
        controller, false,
        [this, &controller, connection, bytes = std::move(bytes), incarnation = controller.incarnation] {
          deliver_to_client(controller, connection, incarnation, bytes);
        });
  }

  void deliver_to_client(Controller& controller, unsigned connection, unsigned incarnation,
                         const std::string& bytes) {
    if (controller.incarnation != incarnation) return;
    if (now_ < controller.paused_until) {
      controller.deferred_events.push_back([this, &controller, connection, incarnation, bytes] {
        deliver_to_client(controller, connection, incarnation, bytes);
      });
      return;
    }
    if (controller.connection != connection) return;
    link::LinkMessage message;
    std::size_t length = 0;
    if (link::decode(bytes, message, length) != link::DecodeResult::complete ||
        !controller.client->received(controller.clock.at(now_), message)) {
      report_violation("a client could not decode a voter's frame");
    }
  }

  template <typename Step>
  void schedule_in_order(Controller& controller, bool to_voter, Step step) {
    Time& last =
        to_voter ? last_arrival_at_voter_[controller.number] : last_arrival_at_client_[controller.number];
    last = std::max(last + Duration{1}, now_ + random_delay());
    schedule(last, std::move(step));
  }

  void disconnect_from_voter(Controller& controller) {
    Voter& voter = *voters_[static_cast<unsigned>(controller.connected_to)];
    if (voter.service) voter.service->client_disconnected(client_id(controller, controller.connection));
  }

  void break_connection(Controller& controller) {
    if (controller.connected_to < 0) return;
    if (settings_.flapping_links)
      log(name(controller) + " loses its connection to " +
          address(static_cast<unsigned>(controller.connected_to)));
    disconnect_from_voter(controller);
    controller.connected_to = -1;
    const unsigned connection = ++controller.connection, incarnation = controller.incarnation;
    schedule(now_ + kDisconnectDelay, [this, &controller, connection, incarnation] {
      const auto notify_client = [this, &controller, connection, incarnation] {
        if (controller.incarnation == incarnation && controller.connection == connection && controller.client)
          controller.client->disconnected(controller.clock.at(now_));
      };
      if (now_ < controller.paused_until) {
        controller.deferred_events.push_back(notify_client);
      } else {
        notify_client();
      }
    });
  }

  // ---- Faults

  void schedule_fault() {
    schedule(now_ + Duration{1000 + random_below(static_cast<int>(2e6 / settings_.faults_per_second))},
             [this] {
               if (now_ >= settings_.fault_phase) return;
               ++result_.faults;
               inject_fault();
               schedule_fault();
             });
  }

  void schedule_leadership_transfer() {
    schedule(now_ + milliseconds(200 + random_below(2600)), [this] {
      if (now_ >= settings_.fault_phase) return;
      for (auto& voter : voters_) {
        if (!voter->node || !voter->node->leads() || now_ < voter->paused_until) continue;
        const reg::VoterId to = chance(0.5) ? 0 : voters_[static_cast<unsigned>(random_below(3))]->id;
        const bool begun = voter->node->transfer_leadership(voter->clock.at(now_), to);
        if (begun) log(address(voter->number) + " transfers leadership to " + std::to_string(to));
        result_.leadership_transfers += begun;
      }
      schedule_leadership_transfer();
    });
  }

  void inject_fault() {
    Voter& voter = *voters_[static_cast<unsigned>(random_below(static_cast<int>(settings_.voters)))];
    Controller& controller =
        *controllers_[static_cast<unsigned>(random_below(static_cast<int>(settings_.controllers)))];
    const Duration length = milliseconds(50 + random_below(4000));
    const auto until = now_ + length;
    if (settings_.voter_faults_only && chance(0.8)) {
      kill(voter);
      schedule(now_ + milliseconds(20 + random_below(200)), [this, &voter] {
        if (!voter.node) start(voter, false);
      });
      return;
    }
    if (settings_.controller_pauses_only && chance(0.8)) {
      controller.paused_until = std::max(controller.paused_until, until);
      return;
    }
    switch (settings_.controller_pauses_only || settings_.voter_faults_only ? 12 : random_below(13)) {
      case 0:  // a voter crashes and restarts
        kill(voter);
        schedule(until, [this, &voter] {
          if (!voter.node) start(voter, false);
        });
        break;
      case 1:  // a voter pauses
        voter.paused_until = std::max(voter.paused_until, until);
        break;
      case 2:  // a voter's next disk write fails
        log("the disk of voter " + address(voter.number) + " fails at the next write");
        voter.disk.fail_next_write(chance(0.5) ? MemoryDisk::Fault::before : MemoryDisk::Fault::after);
        break;
      case 3:
        // A voter loses its disk. Only one at a time: without the disks of a majority, acknowledged writes
        // may be lost.
        if (std::any_of(voters_.begin(), voters_.end(), [](const auto& v) { return v->joining || !v->node; }))
          break;
        kill(voter);
        log("voter " + address(voter.number) + " loses its disk");
        voter.disk.erase();
        voter.id = ++last_voter_id_;
        voter.joining = true;
        start(voter, false);
        break;
      case 4:
      case 5:  // a controller pauses, sometimes for longer than its lease
        controller.paused_until = std::max(controller.paused_until, until);
        break;
      case 6:  // a controller crashes and restarts
        close_if_connected(controller);
        controller.leases.reset();
        ++controller.incarnation;
        schedule(until, [this, &controller] {
          if (!controller.leases) start(controller);
        });
        break;
      case 7:  // a controller drains its duties and rejoins later
        if (controller.leases) {
          controller.leases->leave(
              controller.clock.at(now_),
              "c" + std::to_string(random_below(static_cast<int>(settings_.controllers))));
          schedule(until, [&controller] {
            if (controller.leases) controller.leases->rejoin();
          });
        }
        break;
      case 8:  // an operator's command
        issue_operator_command();
        break;
      default:
        isolate_endpoint(length);
    }
  }

  void close_if_connected(Controller& controller) {
    if (controller.connected_to >= 0) disconnect_from_voter(controller);
    controller.connected_to = -1;
    ++controller.connection;
  }

  void toggle_links(bool cut) {
    for (unsigned endpoint = settings_.voters; endpoint < blocked_.size(); ++endpoint) {
      for (unsigned voter = 0; voter < settings_.voters; ++voter)
        blocked_[endpoint][voter] = blocked_[voter][endpoint] = cut;
    }
    schedule(now_ + milliseconds(200), [this, cut] {
      if (now_ < settings_.fault_phase) toggle_links(!cut);
    });
  }

  void set_third_partitioned(bool cut, Time when) {
    schedule(when, [this, cut] {
      for (auto& controller : controllers_) {
        if (controller->number % 3 != 0) continue;
        for (unsigned voter = 0; voter < settings_.voters; ++voter) {
          blocked_[endpoint(*controller)][voter] = blocked_[voter][endpoint(*controller)] = cut;
        }
      }
    });
  }

  // Partitions one voter or controller from all others: in both directions, in one, or each link at random.
  void isolate_endpoint(Duration length) {
    const auto endpoints = static_cast<unsigned>(blocked_.size());
    const auto one = static_cast<unsigned>(random_below(static_cast<int>(endpoints)));
    const int how = random_below(4);
    std::vector<std::pair<unsigned, unsigned>> links;
    for (unsigned other = 0; other < endpoints; ++other) {
      if (how == 3 && chance(0.5)) continue;
      if (how != 1) links.emplace_back(one, other);
      if (how != 2) links.emplace_back(other, one);
    }
    for (const auto& [from, to] : links) blocked_[from][to] = true;
    schedule(now_ + length, [this, links] {
      for (const auto& [from, to] : links) blocked_[from][to] = false;
    });
  }

  void issue_operator_command() {
    for (auto& voter : voters_) {
      if (!voter->node || !voter->node->leads()) continue;
      const bool pauses = chance(0.5);
      const std::string name =
          duty_name(static_cast<unsigned>(random_below(static_cast<int>(settings_.duties))));
      const reg::Command command =
          pauses ? reg::pause_duty(name) : reg::move_duty(name, random_controller_name());
      voter->node->propose(voter->clock.at(now_), {command}, {[](reg::Outcome, const reg::Reply&) {}});
      if (pauses) schedule(now_ + milliseconds(random_below(3000)), [this, name] { resume_duty(name); });
      return;
    }
  }

  std::string random_controller_name() {
    return "c" + std::to_string(random_below(static_cast<int>(settings_.controllers)));
  }

  // Retries until the command is committed, as the leader may change in the meantime.
  void resume_duty(const std::string& name) {
    for (auto& voter : voters_) {
      if (!voter->node || !voter->node->leads()) continue;
      voter->node->propose(voter->clock.at(now_), {reg::resume_duty(name)},
                           {[this, name](reg::Outcome outcome, const reg::Reply&) {
                             if (outcome != reg::Outcome::done)
                               schedule(now_ + milliseconds(200), [this, name] { resume_duty(name); });
                           }});
      return;
    }
    schedule(now_ + milliseconds(200), [this, name] { resume_duty(name); });
  }

  void heal() {
    healed_ = true;
    for (auto& row : blocked_) std::fill(row.begin(), row.end(), false);
    settings_.loss_share = 0;
    for (auto& voter : voters_) {
      voter->paused_until = now_;
      voter->disk.fail_next_write(MemoryDisk::Fault::none);
      if (!voter->node) start(*voter, false);
    }
    for (auto& controller : controllers_) {
      controller->paused_until = now_;
      if (!controller->leases) start(*controller);
      controller->leases->rejoin();
    }
    for (unsigned i = 0; i < settings_.duties; ++i) resume_duty(duty_name(i));
  }

  // ---- Invariants

  // All voters must have applied the same change at each revision.
  void check_applied(Voter& voter) {
    const reg::State& state = voter.node->state();
    if (state.revision() == voter.checked_revision) return;
    const auto changes = state.changes(
        std::max(voter.checked_revision, state.revision() - std::min<reg::Revision>(state.revision(), 20)),
        "");
    voter.checked_revision = state.revision();
    if (!changes) return;
    for (const reg::Change& change : *changes) {
      const std::string text = change.key + "=" + change.value.value_or("-");
      const auto [known, fresh] = changes_.emplace(change.revision, text);
      if (!fresh && known->second != text)
        report_violation("two voters differ at revision " + std::to_string(change.revision));
    }
  }

  // At any virtual time a duty has at most one holder. Paused processes do not count: a process checks its
  // clock first when it resumes.
  void check_holders() {
    if (settings_.partition_third && now_ - holders_checked_ < milliseconds(50)) return;
    holders_checked_ = now_;
    for (unsigned i = 0; i < settings_.duties; ++i) {
      const std::string duty = duty_name(i);
      int holders = 0;
      for (auto& controller : controllers_) {
        if (!controller->leases || now_ < controller->paused_until) continue;
        if (controller->leases->holds(controller->clock.at(now_), duty)) ++holders;
      }
      if (holders > 1) report_violation("two hold " + duty + " at once");
      Time& free_since = free_since_[duty];
      if (holders == 0 && free_since == Time{}) free_since = now_;
      if (holders > 0 && free_since != Time{}) {
        result_.gaps.push_back(now_ - free_since);
        free_since = Time{};
      }
    }
  }

  // The history must be linearizable. This includes that reads after the faults see all acknowledged writes.
  void check_history() {
    result_.answered_operations = history_.answered();
    const std::string violation = history_.check();
    if (!violation.empty() && violation_.empty())
      violation_ =
          "the history is not linearizable: " + violation + " (seed " + std::to_string(settings_.seed) + ")";
  }

  bool all_held() {
    return std::all_of(free_since_.begin(), free_since_.end(),
                       [](const auto& each) { return each.second == Time{}; }) &&
           free_since_.size() == settings_.duties;
  }

  void check_counter() {
    std::uint64_t counter = 0;
    for (auto& voter : voters_) {
      if (!voter->node || !voter->node->leads()) continue;
      reg::State copy = voter->node->state();
      const reg::Reply reply = copy.apply(reg::read_value("count"));
      if (!reply.items.empty()) counter = std::stoull(reply.items.front().value);
    }
    if (counter < result_.increments) {
      report_violation("acknowledged increments are lost: the counter is " + std::to_string(counter) +
                       " after " + std::to_string(result_.increments));
    }
    if (counter > result_.increments + unanswered_increments_)
      report_violation("an increment was applied twice");
  }

  SimulationSettings settings_;
  std::mt19937_64 random_;
  Time now_{};
  std::uint64_t last_order_ = 0;
  std::priority_queue<Event> events_;
  std::vector<std::unique_ptr<Voter>> voters_;
  std::vector<std::unique_ptr<Controller>> controllers_;
  reg::Voters initial_voters_;
  reg::VoterId last_voter_id_ = 0;
  Time next_join_{};
  std::vector<std::vector<bool>> blocked_;  // blocked_[from][to]: messages on this link are dropped
  Time holders_checked_{};
  std::map<unsigned, Time> last_arrival_at_voter_, last_arrival_at_client_;
  std::map<std::string, reg::Token> newest_token_;
  std::map<std::string, Time> free_since_;
  std::map<reg::Revision, std::string> changes_;
  reg::Revision newest_known_revision_ = 0;
  std::uint64_t unanswered_increments_ = 0;  // increments without a reply, which may have been applied
  bool healed_ = false;
  History history_;
  std::string violation_;
  WalkResult result_;
};

}  // namespace

WalkResult walk(const SimulationSettings& settings) { return FleetSimulation(settings).run(); }

}  // namespace quartzarch::faults
