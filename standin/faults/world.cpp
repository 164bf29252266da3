#include "faults/world.hpp"

#include <algorithm>
#include <deque>
#include <functional>
#include <map>
#include <queue>

#include "faults/history.hpp"
#include "faults/memory_disk.hpp"
#include "register/client_protocol.hpp"
#include "register/service.hpp"

namespace quartzarch::faults {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Duration kStep = milliseconds(20);
constexpr Duration kEffectEvery = milliseconds(70);
constexpr Duration kRecordEvery = milliseconds(250);
constexpr Duration kCountEvery = milliseconds(300);
constexpr Duration kBreakTold = milliseconds(150);  // until a client notices that its connection broke

// The simulation: an event queue in virtual time, the simulated processes, the network and the checks.
class World {
 public:
  explicit World(const SimulationSettings& settings) : settings_(settings), random_(settings.seed) {
    const unsigned parties = settings_.voters + settings_.controllers;
    cut_.assign(parties, std::vector<bool>(parties, false));
    for (unsigned i = 0; i < settings_.voters; ++i) {
      Voter& voter = *voters_.emplace_back(std::make_unique<Voter>());
      voter.number = i;
      voter.id = ++last_identity_;
      voter.clock = draw_clock();
      first_voters_.push_back({voter.id, address(i), true});
    }
    for (auto& voter : voters_) start(*voter, true);
    for (unsigned i = 0; i < settings_.controllers; ++i) {
      Controller& controller = *controllers_.emplace_back(std::make_unique<Controller>());
      controller.number = i;
      controller.clock = draw_clock();
      start(controller);
    }
  }

  WalkResult run() {
    for (auto& voter : voters_) step(*voter);
    for (auto& controller : controllers_) step(*controller);
    if (settings_.partition_third) {
      cut_third(true, seconds(10));
      cut_third(false, seconds(40));
    } else if (settings_.flapping_links) {
      flap(true);
    } else {
      draw_fault();
      if (settings_.leadership_transfers) draw_hand_over();
    }
    while (now_ < settings_.fault_phase && fault_.empty()) next_event();
    heal();
    const Time healed = now_;
    bool settled = false;
    while (now_ < healed + settings_.settle_timeout && fault_.empty()) {
      next_event();
      if (!settled && all_held()) {
        settled = true;
        result_.settling_time = now_ - healed;
      }
    }
    if (fault_.empty() && !all_held()) fault("a duty has no holder after all faults ended");
    if (fault_.empty()) check_counter();
    judge_history();
    if (!fault_.empty()) result_.violation = fault_;
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
      world->between_voters(*this, to, std::move(bytes));
    }
    World* world = nullptr;
    unsigned number = 0;
    reg::VoterId id = 0;
    Clock clock;
    MemoryDisk disk;
    std::unique_ptr<reg::Node> node;
    std::unique_ptr<reg::Service> service;
    unsigned life = 0;  // number of its starts; events of an earlier start are dropped
    Time stopped_until{};
    reg::Revision checked = 0;
    bool joining = false;
    std::string told{};  // last state in the timeline
  };

  // A duty that a controller is holding.
  struct Work {
    reg::Token token = 0;
    Time next_effect{};
    std::optional<Time> ends_at{};
  };
  struct Controller {
    unsigned number = 0;
    Clock clock;
    unsigned life = 0;
    unsigned connection = 0;
    int connected_to = -1;
    Time stopped_until{};
    std::unique_ptr<duty::LeaseManager> leases;
    std::unique_ptr<reg::ClientProtocol> access;
    std::map<std::string, Work> works;
    Time next_count{};
    bool counting = false;
    std::unique_ptr<Recorder> recorder;
    Time next_record{};
    std::deque<std::function<void()>> held_up;  // events that arrived during a pause
  };

  struct Event {
    Time at;
    std::uint64_t order;
    std::function<void()> step;
    bool operator<(const Event& other) const { return std::tie(at, order) > std::tie(other.at, other.order); }
  };

  // ---- Virtual time and random choices

  void at(Time when, std::function<void()> step) {
    events_.push({std::max(when, now_), ++order_, std::move(step)});
  }
  void next_event() {
    Event event = events_.top();
    events_.pop();
    now_ = event.at;
    event.step();
    check_holders();
  }
  int draw(int most) { return std::uniform_int_distribution<int>(0, most - 1)(random_); }
  bool chance(double share) { return std::uniform_real_distribution<double>(0, 1)(random_) < share; }
  Clock draw_clock() {
    // The rates of any two clocks differ by at most the drift.
    const double rate =
        1 + (std::uniform_real_distribution<double>(0, 1)(random_) - 0.5) * settings_.drift * 0.95;
    return {milliseconds(draw(100000)), rate};
  }
  Duration draw_delay() {
    if (!healed_ && chance(settings_.late_share)) return milliseconds(200 + draw(3000));
    return Duration{500 + draw(9500)};
  }

  static std::string address(unsigned number) { return "v" + std::to_string(number); }
  static std::string duty_name(unsigned number) { return "d" + std::to_string(number); }

  void tell(const std::string& what) const {
    if (settings_.timeline) {
      std::fprintf(settings_.timeline, "%7lld ms %s\n", static_cast<long long>(now_ / milliseconds(1)),
                   what.c_str());
    }
  }
  // Writes the voter's state to the timeline if it has changed.
  void tell_state(Voter& voter) const {
    if (!settings_.timeline || !voter.node) return;
    const auto status = voter.node->status();
    std::string text = address(voter.number) + " " + std::to_string(voter.id) +
                       (status.leader ? " leads term " : " term ") + std::to_string(status.term) + ", voters";
    for (const auto& each : status.voters)
      text += " " + std::to_string(each.id) + (each.votes ? "" : " (non-voting)");
    if (!status.voters_committed) text += ", not committed";
    if (text == voter.told) return;
    voter.told = text;
    tell(text + ", log " + std::to_string(status.last_index) + ", committed " +
         std::to_string(status.commit_index));
  }

  void fault(const std::string& what) {
    if (!fault_.empty() || settings_.check_history_only) return;
    fault_ = what + " (at " + std::to_string(now_ / milliseconds(1)) + " ms, seed " +
             std::to_string(settings_.seed) + ")";
  }

  // ---- Voters

  void start(Voter& voter, bool first) {
    voter.world = this;
    ++voter.life;
    reg::NodeSettings settings;
    settings.id = voter.id;
    settings.address = address(voter.number);
    if (first) settings.initial_voters = first_voters_;
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
      return fault(std::string("a voter failed to restart: ") + error.what());
    }
    voter.service =
        std::make_unique<reg::Service>(*voter.node, [this, &voter](std::uint64_t client, std::string bytes) {
          to_client(voter, client, std::move(bytes));
        });
    voter.node->on_applied([this, &voter] { check_applied(voter); });
  }

  void kill(Voter& voter) {
    tell("voter " + address(voter.number) + " crashes");
    ++voter.life;
    voter.service.reset();
    voter.node.reset();
    for (auto& controller : controllers_) {
      if (controller->connected_to == static_cast<int>(voter.number)) break_connection(*controller);
    }
  }

  void step(Voter& voter) {
    if (voter.node && now_ >= voter.stopped_until) {
      voter.service->tick(voter.clock.at(now_));
      tell_state(voter);
      if (voter.node->failed()) {
        if (!voter.disk.take_injected_failure()) fault("a voter failed without a disk failure");
        kill(voter);
        at(now_ + milliseconds(500), [this, &voter] {
          if (!voter.node) start(voter, false);
        });
      } else if (voter.joining) {
        join(voter);
      }
    }
    at(now_ + kStep, [this, &voter] { step(voter); });
  }

  // Does what an operator does for a voter that restarted with an empty disk: the leader removes the old
  // voter id, then adds the new one, as two membership changes.
  void join(Voter& voter) {
    for (auto& other : voters_) {
      if (!other->node || !other->node->leads() || now_ < other->stopped_until || other.get() == &voter)
        continue;
      const auto status = other->node->status();
      bool known = false;
      reg::VoterId old = 0;
      for (const auto& each : status.voters) {
        if (each.id == voter.id) known = each.votes && status.voters_committed;
        if (each.address == address(voter.number) && each.id != voter.id) old = each.id;
      }
      if (known) voter.joining = false;
      if (known || now_ < join_again_) return;
      join_again_ = now_ + seconds(1);
      const Time local = other->clock.at(now_);
      if (old != 0) {
        other->node->remove_voter(local, old, [](const std::string&) {});
      } else {
        other->node->add_voter(local, voter.id, address(voter.number), [](const std::string&) {});
      }
      return;
    }
  }

  void between_voters(Voter& from, reg::VoterId to, std::string bytes) {
    ++result_.messages;
    result_.bytes += bytes.size();
    if (from.node && from.node->leads()) ++result_.leader_messages, result_.leader_bytes += bytes.size();
    const auto found =
        std::find_if(voters_.begin(), voters_.end(), [&](const auto& v) { return v->id == to; });
    if (found == voters_.end()) return;
    Voter& target = **found;
    if (cut_[from.number][target.number] || chance(settings_.loss_share)) return;
    at(now_ + draw_delay(),
       [this, &target, to, from_id = from.id, number = from.number, bytes = std::move(bytes)] {
         if (!target.node || target.id != to || cut_[number][target.number]) return;
         if (now_ < target.stopped_until) {
           at(target.stopped_until, [this, &target, to, from_id, number, bytes] {
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
  unsigned party(const Controller& controller) const { return settings_.voters + controller.number; }

  void start(Controller& controller) {
    ++controller.life;
    ++controller.connection;
    controller.connected_to = -1;
    controller.works.clear();
    if (!controller.recorder) {
      const auto ask = [this, &controller](reg::Command command, reg::ClientProtocol::Done done) {
        controller.access->ask(controller.clock.at(now_), std::move(command), std::move(done));
      };
      controller.recorder = std::make_unique<Recorder>(history_, controller.number, ask, random_());
    }
    controller.recorder->abandon();
    controller.held_up.clear();
    controller.counting = false;
    duty::Settings settings;
    settings.name = name(controller);
    settings.incarnation = (std::uint64_t{controller.life} << 32) + 1;
    settings.ttl = settings_.ttl;
    settings.drift = settings_.drift;
    settings.min_back_off = milliseconds(300);
    settings.max_back_off = milliseconds(2000);
    settings.lease_from_reply = settings_.lease_from_reply;
    std::vector<duty::DutySettings> duties;
    for (unsigned i = 0; i < settings_.duties; ++i) duties.push_back({duty_name(i), true, {}});
    controller.leases = std::make_unique<duty::LeaseManager>(settings, duties, random_());
    reg::ClientProtocol::Settings access;
    for (unsigned i = 0; i < settings_.voters; ++i) access.voters.push_back(address(i));
    controller.access = std::make_unique<reg::ClientProtocol>(access, random_());
    controller.access->watch(
        std::string(reg::kDutyPrefix), [this, &controller](reg::Revision, const auto& changes, bool) {
          for (const reg::Change& change : changes) {
            if (!change.value) continue;
            controller.leases->on_duty_changed(controller.clock.at(now_),
                                               change.key.substr(reg::kDutyPrefix.size()), change.revision,
                                               reg::parse_duty(*change.value));
          }
        });
  }

  void step(Controller& controller) {
    if (controller.leases && now_ >= controller.stopped_until) {
      for (auto& held : std::exchange(controller.held_up, {})) held();
      drive(controller);
    }
    at(now_ + kStep / 2, [this, &controller] { step(controller); });
  }

  void drive(Controller& controller) {
    const Time local = controller.clock.at(now_);
    const unsigned life = controller.life;
    for (auto& request : controller.leases->due(local)) {
      ++result_.duty_messages;
      controller.access->ask(
          local, std::move(request.command),
          [this, &controller, life, id = request.id](const std::optional<reg::Reply>& reply) {
            if (controller.life != life) return;
            const Time then = controller.clock.at(now_);
            if (reply) {
              controller.leases->on_reply(then, id, *reply);
            } else {
              controller.leases->on_no_reply(then, id);
            }
          });
    }
    for (const duty::Action& action : controller.leases->take_actions()) {
      tell(name(controller) + " " + action.duty +
           (action.kind == duty::Action::Kind::begin
                ? " begins"
                : std::string(" ends: ") + duty::end_reason_text(action.reason)) +
           " token " + std::to_string(action.token));
      if (action.kind == duty::Action::Kind::begin) {
        ++result_.holdings;
        controller.works[action.duty] = {action.token, now_, std::nullopt};
      } else if (const auto work = controller.works.find(action.duty); work != controller.works.end()) {
        work->second.ends_at = now_ + milliseconds(draw(100));
      }
    }
    for (auto each = controller.works.begin(); each != controller.works.end();) {
      auto& [duty, work] = *each;
      if (work.ends_at && now_ >= *work.ends_at) {
        controller.leases->ended(local, duty, work.token, false);
        each = controller.works.erase(each);
        continue;
      }
      if (now_ >= work.next_effect) effect(controller, duty, work);
      ++each;
    }
    if (now_ >= controller.next_record && !settings_.partition_third) {
      controller.next_record = now_ + kRecordEvery;
      controller.recorder->step([this] { return now_; });
    }
    if (now_ >= controller.next_count && !controller.counting) count(controller);
    for (std::string& bytes : controller.access->due(controller.clock.at(now_)))
      to_voter(controller, std::move(bytes));
  }

  // The holder of a duty writes to an external resource. The write can be delayed after the check of the
  // lease, so the resource has to reject writes with an older fencing token.
  void effect(Controller& controller, const std::string& duty, Work& work) {
    work.next_effect = now_ + kEffectEvery;
    const auto token = controller.leases->holds(controller.clock.at(now_), duty);
    if (!token) return;
    const Duration on_way = chance(0.02) ? milliseconds(draw(4000)) : Duration{500 + draw(3000)};
    at(now_ + on_way, [this, duty, written = *token] {
      reg::Token& newest = newest_token_[duty];
      if (written < newest && !settings_.resource_ignores_tokens) {
        ++result_.rejected_effects;
        return;
      }
      ++result_.effects;
      if (written < newest)
        return fault("an effect of an older holding of " + duty + " was applied after one of a newer");
      newest = written;
    });
  }

  // Increments a shared counter by compare-and-set. All acknowledged increments must be in it at the end, and
  // a read must never be older than a revision that a client already knew when the read began.
  void count(Controller& controller) {
    controller.next_count = now_ + kCountEvery;
    controller.counting = true;
    const unsigned life = controller.life;
    const reg::Revision told_before = told_;
    reg::Command read;
    read.op = reg::Op::read;
    read.name = "count";
    controller.access->ask(
        controller.clock.at(now_), read,
        [this, &controller, life, told_before](const std::optional<reg::Reply>& reply) {
          if (controller.life != life) return;
          controller.counting = false;
          if (!reply) return;
          if (reply->revision < told_before)
            fault("a read returned an older revision than one known before it began");
          told_ = std::max(told_, reply->revision);
          reg::Command put;
          put.op = reg::Op::put;
          put.name = "count";
          put.expected = reply->items.empty() ? 0 : reply->items.front().revision;
          put.value = std::to_string(reply->items.empty() ? 1 : std::stoull(reply->items.front().value) + 1);
          controller.counting = true;
          ++unknown_;
          controller.access->ask(controller.clock.at(now_), put,
                                 [this, &controller, life](const std::optional<reg::Reply>& written) {
                                   if (written) --unknown_;
                                   if (written && written->code == reg::Code::ok) ++result_.increments;
                                   if (written) told_ = std::max(told_, written->revision);
                                   if (controller.life == life) controller.counting = false;
                                 });
        });
  }

  // ---- Connections between controllers and voters: messages arrive in order until a connection breaks

  void to_voter(Controller& controller, std::string bytes) {
    ++result_.messages;
    result_.bytes += bytes.size();
    ++result_.client_messages;
    result_.client_bytes += bytes.size();
    const std::string target = controller.access->voter();
    for (auto& each : voters_) {
      if (address(each->number) != target) continue;
      if (controller.connected_to != static_cast<int>(each->number)) {
        if (controller.connected_to >= 0) close_at_voter(controller);
        controller.connected_to = static_cast<int>(each->number);
        ++controller.connection;
        last_up_[controller.number] = last_down_[controller.number] = now_;
      }
      if (cut_[party(controller)][each->number] || !each->node) return break_connection(controller);
      Voter& voter = *each;
      ordered(controller, true,
              [this, &controller, &voter, bytes = std::move(bytes), connection = controller.connection,
               life = voter.life] { at_voter(controller, voter, bytes, connection, life); });
    }
  }

  void at_voter(Controller& controller, Voter& voter, const std::string& bytes, unsigned connection,
                unsigned life) {
    if (!voter.node || voter.life != life || controller.connection != connection) return;
    if (now_ < voter.stopped_until) {
      at(voter.stopped_until, [this, &controller, &voter, bytes, connection, life] {
        at_voter(controller, voter, bytes, connection, life);
      });
      return;
    }
    link::LinkMessage message;
    std::size_t length = 0;
    if (link::decode(bytes, message, length) != link::Taken::whole)
      return fault("a voter could not decode a client's frame");
    if (!voter.service->received(voter.clock.at(now_), client_id(controller, connection), message))
      fault("a voter rejected a client's frame");
  }

  static std::uint64_t client_id(const Controller& controller, unsigned connection) {
    return std::uint64_t{controller.number} << 32 | connection;
  }

  void to_client(Voter& voter, std::uint64_t client, std::string bytes) {
    ++result_.messages;
    result_.bytes += bytes.size();
    if (voter.node && voter.node->leads()) ++result_.leader_messages, result_.leader_bytes += bytes.size();
    Controller& controller = *controllers_[client >> 32];
    const auto connection = static_cast<unsigned>(client);
    if (controller.connection != connection) return;
    if (cut_[voter.number][party(controller)]) return break_connection(controller);
    ordered(controller, false,
            [this, &controller, connection, bytes = std::move(bytes), life = controller.life] {
              arrive(controller, connection, life, bytes);
            });
  }

  void arrive(Controller& controller, unsigned connection, unsigned life, const std::string& bytes) {
    if (controller.life != life) return;
    if (now_ < controller.stopped_until) {
      controller.held_up.push_back(
          [this, &controller, connection, life, bytes] { arrive(controller, connection, life, bytes); });
      return;
    }
    if (controller.connection != connection) return;
    link::LinkMessage message;
    std::size_t length = 0;
    if (link::decode(bytes, message, length) != link::Taken::whole ||
        !controller.access->received(controller.clock.at(now_), message)) {
      fault("a client could not decode a voter's frame");
    }
  }

  template <typename Step>
  void ordered(Controller& controller, bool up, Step step) {
    Time& last = up ? last_up_[controller.number] : last_down_[controller.number];
    last = std::max(last + Duration{1}, now_ + draw_delay());
    at(last, std::move(step));
  }

  void close_at_voter(Controller& controller) {
    Voter& voter = *voters_[static_cast<unsigned>(controller.connected_to)];
    if (voter.service) voter.service->client_disconnected(client_id(controller, controller.connection));
  }

  void break_connection(Controller& controller) {
    if (controller.connected_to < 0) return;
    if (settings_.flapping_links)
      tell(name(controller) + " loses its connection to " +
           address(static_cast<unsigned>(controller.connected_to)));
    close_at_voter(controller);
    controller.connected_to = -1;
    const unsigned connection = ++controller.connection, life = controller.life;
    at(now_ + kBreakTold, [this, &controller, connection, life] {
      const auto tell = [this, &controller, connection, life] {
        if (controller.life == life && controller.connection == connection && controller.access)
          controller.access->disconnected(controller.clock.at(now_));
      };
      if (now_ < controller.stopped_until) {
        controller.held_up.push_back(tell);
      } else {
        tell();
      }
    });
  }

  // ---- Faults

  void draw_fault() {
    at(now_ + Duration{1000 + draw(static_cast<int>(2e6 / settings_.faults_per_second))}, [this] {
      if (now_ >= settings_.fault_phase) return;
      ++result_.faults;
      inject();
      draw_fault();
    });
  }

  void draw_hand_over() {
    at(now_ + milliseconds(200 + draw(2600)), [this] {
      if (now_ >= settings_.fault_phase) return;
      for (auto& voter : voters_) {
        if (!voter->node || !voter->node->leads() || now_ < voter->stopped_until) continue;
        const reg::VoterId to = chance(0.5) ? 0 : voters_[static_cast<unsigned>(draw(3))]->id;
        const bool begun = voter->node->transfer_leadership(voter->clock.at(now_), to);
        if (begun) tell(address(voter->number) + " transfers leadership to " + std::to_string(to));
        result_.leadership_transfers += begun;
      }
      draw_hand_over();
    });
  }

  void inject() {
    Voter& voter = *voters_[static_cast<unsigned>(draw(static_cast<int>(settings_.voters)))];
    Controller& controller =
        *controllers_[static_cast<unsigned>(draw(static_cast<int>(settings_.controllers)))];
    const Duration length = milliseconds(50 + draw(4000));
    const auto until = now_ + length;
    if (settings_.voter_faults_only && chance(0.8)) {
      kill(voter);
      at(now_ + milliseconds(20 + draw(200)), [this, &voter] {
        if (!voter.node) start(voter, false);
      });
      return;
    }
    if (settings_.controller_pauses_only && chance(0.8)) {
      controller.stopped_until = std::max(controller.stopped_until, until);
      return;
    }
    switch (settings_.controller_pauses_only || settings_.voter_faults_only ? 12 : draw(13)) {
      case 0:  // a voter crashes and restarts
        kill(voter);
        at(until, [this, &voter] {
          if (!voter.node) start(voter, false);
        });
        break;
      case 1:  // a voter pauses
        voter.stopped_until = std::max(voter.stopped_until, until);
        break;
      case 2:  // a voter's next disk write fails
        tell("the disk of voter " + address(voter.number) + " fails at the next write");
        voter.disk.fail_next_write(chance(0.5) ? MemoryDisk::Fault::before : MemoryDisk::Fault::after);
        break;
      case 3:
        // A voter loses its disk. Only one at a time: without the disks of a majority, acknowledged writes
        // may be lost.
        if (std::any_of(voters_.begin(), voters_.end(), [](const auto& v) { return v->joining || !v->node; }))
          break;
        kill(voter);
        tell("voter " + address(voter.number) + " loses its disk");
        voter.disk.erase();
        voter.id = ++last_identity_;
        voter.joining = true;
        start(voter, false);
        break;
      case 4:
      case 5:  // a controller pauses, sometimes for longer than its lease
        controller.stopped_until = std::max(controller.stopped_until, until);
        break;
      case 6:  // a controller crashes and restarts
        close_if_connected(controller);
        controller.leases.reset();
        ++controller.life;
        at(until, [this, &controller] {
          if (!controller.leases) start(controller);
        });
        break;
      case 7:  // a controller drains its duties and rejoins later
        if (controller.leases) {
          controller.leases->leave(controller.clock.at(now_),
                                   "c" + std::to_string(draw(static_cast<int>(settings_.controllers))));
          at(until, [&controller] {
            if (controller.leases) controller.leases->rejoin();
          });
        }
        break;
      case 8:  // an operator's command
        operate();
        break;
      default:
        cut(length);
    }
  }

  void close_if_connected(Controller& controller) {
    if (controller.connected_to >= 0) close_at_voter(controller);
    controller.connected_to = -1;
    ++controller.connection;
  }

  void flap(bool cut) {
    for (unsigned party = settings_.voters; party < cut_.size(); ++party) {
      for (unsigned voter = 0; voter < settings_.voters; ++voter)
        cut_[party][voter] = cut_[voter][party] = cut;
    }
    at(now_ + milliseconds(200), [this, cut] {
      if (now_ < settings_.fault_phase) flap(!cut);
    });
  }

  void cut_third(bool cut, Time when) {
    at(when, [this, cut] {
      for (auto& controller : controllers_) {
        if (controller->number % 3 != 0) continue;
        for (unsigned voter = 0; voter < settings_.voters; ++voter) {
          cut_[party(*controller)][voter] = cut_[voter][party(*controller)] = cut;
        }
      }
    });
  }

  // Partitions one voter or controller from all others: in both directions, in one, or each link at random.
  void cut(Duration length) {
    const auto parties = static_cast<unsigned>(cut_.size());
    const auto one = static_cast<unsigned>(draw(static_cast<int>(parties)));
    const int how = draw(4);
    std::vector<std::pair<unsigned, unsigned>> links;
    for (unsigned other = 0; other < parties; ++other) {
      if (how == 3 && chance(0.5)) continue;
      if (how != 1) links.emplace_back(one, other);
      if (how != 2) links.emplace_back(other, one);
    }
    for (const auto& [from, to] : links) cut_[from][to] = true;
    at(now_ + length, [this, links] {
      for (const auto& [from, to] : links) cut_[from][to] = false;
    });
  }

  void operate() {
    for (auto& voter : voters_) {
      if (!voter->node || !voter->node->leads()) continue;
      reg::Command command;
      command.op = chance(0.5) ? reg::Op::pause : reg::Op::move;
      command.name = duty_name(static_cast<unsigned>(draw(static_cast<int>(settings_.duties))));
      command.number = 1;
      if (command.op == reg::Op::move)
        command.value = "c" + std::to_string(draw(static_cast<int>(settings_.controllers)));
      voter->node->propose(voter->clock.at(now_), {command}, {[](reg::Outcome, const reg::Reply&) {}});
      if (command.op == reg::Op::pause)
        at(now_ + milliseconds(draw(3000)), [this, name = command.name] { unpause(name); });
      return;
    }
  }

  // Retries until the command is committed, as the leader may change in the meantime.
  void unpause(const std::string& name) {
    for (auto& voter : voters_) {
      if (!voter->node || !voter->node->leads()) continue;
      reg::Command command;
      command.op = reg::Op::pause;
      command.name = name;
      voter->node->propose(voter->clock.at(now_), {command},
                           {[this, name](reg::Outcome outcome, const reg::Reply&) {
                             if (outcome != reg::Outcome::done)
                               at(now_ + milliseconds(200), [this, name] { unpause(name); });
                           }});
      return;
    }
    at(now_ + milliseconds(200), [this, name] { unpause(name); });
  }

  void heal() {
    healed_ = true;
    for (auto& row : cut_) std::fill(row.begin(), row.end(), false);
    settings_.loss_share = 0;
    for (auto& voter : voters_) {
      voter->stopped_until = now_;
      voter->disk.fail_next_write(MemoryDisk::Fault::none);
      if (!voter->node) start(*voter, false);
    }
    for (auto& controller : controllers_) {
      controller->stopped_until = now_;
      if (!controller->leases) start(*controller);
      controller->leases->rejoin();
    }
    for (unsigned i = 0; i < settings_.duties; ++i) unpause(duty_name(i));
  }

  // ---- Invariants

  // All voters must have applied the same change at each revision.
  void check_applied(Voter& voter) {
    const reg::State& state = voter.node->state();
    if (state.revision() == voter.checked) return;
    const auto changes = state.changes(
        std::max(voter.checked, state.revision() - std::min<reg::Revision>(state.revision(), 20)), "");
    voter.checked = state.revision();
    if (!changes) return;
    for (const reg::Change& change : *changes) {
      const std::string text = change.key + "=" + change.value.value_or("-");
      const auto [known, fresh] = changes_.emplace(change.revision, text);
      if (!fresh && known->second != text)
        fault("two voters differ at revision " + std::to_string(change.revision));
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
        if (!controller->leases || now_ < controller->stopped_until) continue;
        if (controller->leases->holds(controller->clock.at(now_), duty)) ++holders;
      }
      if (holders > 1) fault("two hold " + duty + " at once");
      Time& free_since = free_since_[duty];
      if (holders == 0 && free_since == Time{}) free_since = now_;
      if (holders > 0 && free_since != Time{}) {
        result_.gaps.push_back(now_ - free_since);
        free_since = Time{};
      }
    }
  }

  // The history must be linearizable. This includes that reads after the faults see all acknowledged writes.
  void judge_history() {
    result_.answered_operations = history_.answered();
    const std::string wrong = history_.check();
    if (!wrong.empty() && fault_.empty())
      fault_ = "the history is not linearizable: " + wrong + " (seed " + std::to_string(settings_.seed) + ")";
  }

  bool all_held() {
    return std::all_of(free_since_.begin(), free_since_.end(),
                       [](const auto& each) { return each.second == Time{}; }) &&
           free_since_.size() == settings_.duties;
  }

  void check_counter() {
    std::uint64_t kept = 0;
    for (auto& voter : voters_) {
      if (!voter->node || !voter->node->leads()) continue;
      reg::Command read;
      read.op = reg::Op::read;
      read.name = "count";
      reg::State copy = voter->node->state();
      const reg::Reply reply = copy.apply(read);
      if (!reply.items.empty()) kept = std::stoull(reply.items.front().value);
    }
    if (kept < result_.increments) {
      fault("acknowledged increments are lost: the counter is " + std::to_string(kept) + " after " +
            std::to_string(result_.increments));
    }
    if (kept > result_.increments + unknown_) fault("an increment was applied twice");
  }

  SimulationSettings settings_;
  std::mt19937_64 random_;
  Time now_{};
  std::uint64_t order_ = 0;
  std::priority_queue<Event> events_;
  std::vector<std::unique_ptr<Voter>> voters_;
  std::vector<std::unique_ptr<Controller>> controllers_;
  reg::Voters first_voters_;
  reg::VoterId last_identity_ = 0;
  Time join_again_{};
  std::vector<std::vector<bool>> cut_;  // cut_[from][to]: messages on this link are dropped
  Time holders_checked_{};
  std::map<unsigned, Time> last_up_, last_down_;
  std::map<std::string, reg::Token> newest_token_;
  std::map<std::string, Time> free_since_;
  std::map<reg::Revision, std::string> changes_;
  reg::Revision told_ = 0;
  std::uint64_t unknown_ = 0;  // increments without a reply, which may have been applied
  bool healed_ = false;
  History history_;
  std::string fault_;
  WalkResult result_;
};

}  // namespace

WalkResult walk(const SimulationSettings& settings) { return World(settings).run(); }

}  // namespace quartzarch::faults
