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

// Returns the settings of the scenarios' default deployment: three controllers, two zones, one team
// without a quota, one team with a quota, and short heartbeat intervals.
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
  // Counts, from now on, the messages that controllers send while they campaign or lead. Right
  // after the message with the number `messages`, its sender crashes for `downtime_s`.
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
    bool reported = false;  // whether it was reported as a rule violation
  };

  void AddControllers(size_t count);
  void CheckLoop();
  // Checks that the recovery of each leader completes within a bounded time.
  void CheckRecovery();
  // Reports to the rule checker which machines could run each waiting job. Reads the state of the
  // simulated machines, not what the controllers have read of the store. No task may wait for long
  // while a machine has room for the task.
  void CheckRoom();
  std::vector<std::string> MachinesWithRoom(const RuleChecker::WaitingJob& waiting) const;
  void OnMessageSent(const std::string& from);

  std::map<std::string, Recovery> recoveries_;  // by the leader's name
  uint64_t checks_ = 0;
  uint64_t messages_until_restart_ = 0;  // 0: no such restart is pending
  double restart_downtime_s_ = 0;
};

}  // namespace mosspath::simulation
