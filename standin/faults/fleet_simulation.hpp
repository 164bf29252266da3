// A deterministic simulation of a fleet in virtual time. It runs the production voters, register clients and
// lease managers on a simulated network and simulated clocks. A random walk derives from its seed the lost
// and delayed messages, partitions, pauses, crashes, disk losses, leadership transfers and operator commands.
// The invariants are checked after every event; a violation is reported with the seed that reproduces it.
#pragma once

#include <cstdint>
#include <cstdio>
#include <memory>
#include <string>

#include "duty/lease_manager.hpp"
#include "register/node.hpp"

namespace quartzarch::faults {

struct SimulationSettings {
  std::uint64_t seed = 1;
  unsigned voters = 3;
  unsigned controllers = 5;
  unsigned duties = 3;
  // How long faults are injected. Then all faults end and every duty must get a holder within settle_timeout.
  Duration fault_phase = std::chrono::seconds(40);
  Duration settle_timeout = std::chrono::seconds(20);
  Duration ttl = std::chrono::milliseconds(1500);
  double drift = 0.05;  // largest difference between the rates of two clocks, and what the lease allows for
  double faults_per_second = 1.5;
  double loss_share = 0.01;        // share of the messages between voters that are lost
  double late_share = 0.004;       // share of messages that are delayed by up to 3 s and overtaken by others
  bool voter_faults_only = false;  // only crashes of voters and partitions
  bool controller_pauses_only = false;  // only pauses of controllers and partitions
  bool leadership_transfers = true;     // planned leadership transfers, every 1.5 s on average
  // For benchmarks of large fleets: the only fault is that every third controller is partitioned from all
  // voters from 10 s to 40 s. To save time the holders are checked only once in 50 ms.
  bool partition_third = false;
  // The only fault is that the links between all controllers and all voters are alternately down for 200 ms
  // and up for 200 ms until the end.
  bool flapping_links = false;
  std::FILE* timeline = nullptr;  // log of faults, leaders and voter changes, one per line; null: none
  // Deliberate defects, to show that the checks detect them.
  reg::Defects defects{};
  bool check_history_only = false;       // checks only the history of the clients
  bool forgets_vote = false;             // voters do not store their votes
  bool lease_from_reply = false;         // leases start at the reply instead of the request
  bool resource_ignores_tokens = false;  // the resource that duties write to ignores fencing tokens
};

// The result of a walk.
struct WalkResult {
  std::string violation{};                          // the first violated invariant; empty: none
  std::uint64_t effects = 0, rejected_effects = 0;  // writes at the resource that duties write to
  std::uint64_t answered_operations = 0;            // operations at the register that got a reply
  std::uint64_t increments = 0;                     // acknowledged increments of the shared counter
  std::uint64_t holdings = 0;                       // times that a controller became holder of a duty
  std::uint64_t faults = 0;
  std::uint64_t leadership_transfers = 0;  // leadership transfers that were started
  std::uint64_t messages = 0, bytes = 0;
  std::uint64_t leader_messages = 0, leader_bytes = 0;  // sent by the leader
  // Those of `messages` that are requests of the lease managers: sessions, acquisitions, renewals, releases.
  std::uint64_t duty_messages = 0;
  std::uint64_t client_messages = 0, client_bytes = 0;  // sent by controllers
  std::vector<Duration> gaps{};                         // each period in which a duty had no holder
  Duration settling_time{};  // from the end of the faults until all duties had holders
};

// Runs one walk to its end or to the first violation.
WalkResult walk(const SimulationSettings& settings);

}  // namespace quartzarch::faults
