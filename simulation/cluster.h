// A cluster of several controllers and their machines in simulated time.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "simulation/controller.h"
#include "simulation/faults.h"

namespace mosspath::simulation {

// The default deployment of scenarios: three controllers, two zones, one team without a quota and
// one with a quota, and short heartbeat intervals.
config::Settings SmallSettings();
wire::MachineType SmallType();

// Owns the controllers and their environment, injects faults, and checks the rules every half
// second of simulated time.
class SimulatedCluster {
 public:
  // The controllers are named hut-0, hut-1, and so on. Their clocks drift apart as far as the
  // protocol allows.
  SimulatedCluster(const config::Settings& settings, const std::vector<wire::MachineType>& types,
                   size_t controller_count, uint64_t seed);
  virtual ~SimulatedCluster() = default;
  SimulatedCluster(const SimulatedCluster&) = delete;
  SimulatedCluster& operator=(const SimulatedCluster&) = delete;

  // Schedules the faults. Must be called before the simulated day begins.
  void ScheduleFaults(const std::vector<Fault>& faults);
  // Called for faults that consist of user requests.
  std::function<void(const Fault&)> on_user_fault;
  // Counts the messages that controllers send while they campaign or lead. The sender of the
  // `messages`-th message from now crashes right after it, for `downtime_s`.
  void RestartAfterMessages(uint64_t messages, double downtime_s);

  // Returns the first controller that leads; if none leads, the controller with the index
  // `fallback` modulo the number of controllers.
  SimulatedController& Leader(uint64_t fallback = 0);

  SimulatedEnvironment world;
  std::vector<std::unique_ptr<SimulatedController>> controllers;

 protected:
  // Called every half second. An override must call the base implementation.
  virtual void Check();

 private:
  // The current recovery of a leader, in which it determines which tasks run on which machines.
  struct Recovery {
    uint64_t token = 0;
    double since = 0;
    bool reported = false;  // as a rule violation
  };

  void AddControllers(size_t count);
  void CheckLoop();
  // Checks that the recovery of each leader completes within a bounded time.
  void CheckRecovery();
  // Reports to the rule checker which machines could run each waiting job, by the machines' own
  // state rather than the controllers' view. No task may wait for long while a machine has room for
  // it.
  void CheckRoom();
  std::vector<std::string> MachinesWithRoom(const RuleChecker::WaitingJob& waiting) const;
  void OnMessageSent(const std::string& from);

  std::map<std::string, Recovery> recoveries_;  // by the leader's name
  uint64_t checks_ = 0;
  uint64_t messages_until_restart_ = 0;  // 0: no restart is due
  double restart_downtime_s_ = 0;
};

}  // namespace mosspath::simulation
