// Several controllers and their machines in simulated time.
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

// The deployment that scenarios start from: three controllers in two zones, a team without and one
// with a quota, short heartbeat intervals.
config::Settings SmallSettings();
wire::MachineType SmallType();

// Owns the controllers and the world around them, plays faults, and checks the rules every half
// second of simulated time.
class SimulatedCluster {
 public:
  // The controllers are named hut-0, hut-1, ...; their clocks drift apart as far as the protocol
  // allows.
  SimulatedCluster(const config::Settings& settings, const std::vector<wire::MachineType>& types,
                   size_t controller_count, uint64_t seed);
  virtual ~SimulatedCluster() = default;
  SimulatedCluster(const SimulatedCluster&) = delete;
  SimulatedCluster& operator=(const SimulatedCluster&) = delete;

  // Schedules the faults; called before the day begins.
  void ScheduleFaults(const std::vector<Fault>& faults);
  // Called for the faults that consist in what users do.
  std::function<void(const Fault&)> on_user_fault;
  // Whoever campaigns or leads when that many more messages were sent by such controllers crashes
  // right after the last of them, for that long.
  void RestartAfterMessages(uint64_t messages, double downtime_s);

  // The first controller that leads; if none does, the one of that number, modulo their count.
  SimulatedController& Leader(uint64_t fallback = 0);

  SimulatedEnvironment world;
  std::vector<std::unique_ptr<SimulatedController>> controllers;

 protected:
  // Called every half second; an override calls this one too.
  virtual void Check();

 private:
  // Since when, without a pause, a new leader has been finding out what runs where.
  struct Recovery {
    uint64_t token = 0;
    double since = 0;
    bool reported = false;  // as a breach
  };

  void AddControllers(size_t count);
  void CheckLoop();
  // Checks that leaders know where all tasks are after a bounded time.
  void CheckRecovery();
  // Checks the users' rule on tasks that wait beside room, by the state of the machines themselves.
  void CheckRoom();
  std::vector<std::string> MachinesWithRoom(const RuleChecker::WaitingJob& waiting) const;
  void OnMessageSent(const std::string& from);

  std::map<std::string, Recovery> recoveries_;  // by the leader's name
  uint64_t checks_ = 0;
  uint64_t messages_until_restart_ = 0;  // 0: no restart is due
  double restart_downtime_s_ = 0;
};

}  // namespace mosspath::simulation
