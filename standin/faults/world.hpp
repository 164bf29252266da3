// A fleet in virtual time: the real voters, clients and lease managers on a network and clocks of the world's
// own. A walk draws losses, delays, cuts, stops, deaths, disk losses and operators' wishes from its seed;
// what is seen is judged as it happens, and a fault is told with the seed that shows it again.
#pragma once

#include <cstdint>
#include <cstdio>
#include <memory>
#include <string>

#include "duty/lease_manager.hpp"
#include "register/node.hpp"

namespace quartzarch::faults {

struct WorldSettings {
  std::uint64_t seed = 1;
  unsigned voters = 3;
  unsigned controllers = 5;
  unsigned duties = 3;
  Duration length = std::chrono::seconds(40);  // with faults; then all is healed and has to settle
  Duration settling = std::chrono::seconds(20);
  Duration ttl = std::chrono::milliseconds(1500);
  double drift = 0.05;  // clocks run up to so much apart, and the lease allows for it
  double faults_a_second = 1.5;
  double loss = 0.01;
  double late = 0.004;       // share of messages that come up to 3 s late, overtaken by others
  bool voters_only = false;  // all faults are deaths of voters, and cuts
  bool stops_only = false;   // all faults are controllers that stand still, and cuts
  bool hand_overs = true;    // leaders are told to hand over in order, every second and a half or so
  // For fleets to be measured: no other faults, but every third controller cut off from all voters from 10 s
  // on for 30 s; who holds is looked at once in 50 ms.
  bool third_cut_off = false;
  // No other faults, but the links of all controllers to all voters are cut for 200 ms, whole for 200 ms, and
  // so on to the end.
  bool flapping = false;
  std::FILE* timeline = nullptr;  // where faults, leaders and changes of voters are told, line by line
  reg::Defects defects{};
  bool judges_history_alone = false;  // nothing but what the clients did and saw
  bool forgets_vote = false;
  bool counts_from_answer = false;
  bool resource_takes_all = false;  // the place that a duty writes to looks at no token
};

struct Seen {
  std::string fault{};                             // empty: nothing wrong was seen
  std::uint64_t effects = 0, refused_effects = 0;  // at the place that duties write to
  std::uint64_t history = 0;                       // operations at the register that got an answer
  std::uint64_t increments = 0;                    // of the shared counter, acknowledged
  std::uint64_t holdings = 0;                      // taken up
  std::uint64_t faults = 0;
  std::uint64_t hand_overs = 0;  // of the leadership, begun
  std::uint64_t messages = 0, bytes = 0;
  std::uint64_t leader_messages = 0, leader_bytes = 0;  // sent by it
  std::uint64_t duty_messages = 0;  // of those the lease managers': sessions, renewals, acquiring, handing on
  std::uint64_t client_messages = 0, client_bytes = 0;  // sent by controllers
  std::vector<Duration> gaps{};                         // without a holder, duty by duty, each time
  Duration settled_after{};                             // all duties held again, from the healing on
};

// Runs one walk to its end or to the first fault.
Seen walk(const WorldSettings& settings);

}  // namespace quartzarch::faults
