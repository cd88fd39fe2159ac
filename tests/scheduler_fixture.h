// Fixtures of the scheduler's tests. The test itself plays the part of the agents, the key-value
// store and the cloud. A suite that needs no fixture of its own uses an alias:
// `using PlacementTest = SchedulerTest;`.
#pragma once

#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "builders.h"
#include "mosspath/cluster/cluster_state.h"
#include "mosspath/scheduler/scheduler.h"

namespace mosspath::scheduler {

// Takes batches of records from the scheduler until no batch is left. Acknowledges each batch at
// time 0 and under store revision 1, which is lower than the leader's token.
inline void MakeRecordsDurable(Scheduler& scheduler) {
  while (!scheduler.TakeRecords(test::kMaxBatchPacks, test::kMaxBatchBytes).empty()) {
    scheduler.OnRecordsWritten(1, 0);
  }
}

// Has a leader that was elected at time 0 with fencing token 10, and one machine type with 4 CPUs.
class SchedulerTest : public ::testing::Test {
 protected:
  SchedulerTest()
      : settings_(test::SchedulerSettings()),
        derived_(settings_),
        scheduler_(settings_, derived_, kToken, 0),
        type_(test::BoxType(/*cpus=*/4, /*memory_gb=*/16)) {
    type_.price = 1;
    type_.boot_s = 10;
    type_.zones = {"a", "b"};
    scheduler_.SetMachineTypes({type_});
  }

  // Returns a job of the team "t" and of a class without an objective.
  wire::JobSpec Job(int number, uint32_t tasks, double cpus, wire::Priority priority) {
    wire::JobSpec spec = test::MakeJobSpec("req-" + std::to_string(number), "t", tasks, cpus);
    spec.job_class = "c";
    spec.memory_gb = 1;
    spec.priority = priority;
    spec.image = "img";
    spec.image_gb = 1;
    spec.estimated_run_s = 30;
    return spec;
  }

  // Returns the machine's next heartbeat, without tasks.
  wire::Heartbeat NextHeartbeat(const std::string& id, uint64_t agent_epoch) {
    wire::Heartbeat heartbeat =
        test::MakeHeartbeat(id, agent_epoch, ++sequences_[id], /*fencing_token=*/kToken);
    heartbeat.address = "10.0.0.9:1";
    heartbeat.zone = "a";
    return heartbeat;
  }

  // Delivers the machine's next heartbeat, with agent epoch 1, and returns the leader's answer.
  HeartbeatAnswer SendHeartbeat(const std::string& id, double now,
                                std::vector<wire::TaskStatus> tasks = {}, uint64_t token = kToken) {
    wire::Heartbeat heartbeat = NextHeartbeat(id, 1);
    heartbeat.fencing_token = token;
    heartbeat.tasks = std::move(tasks);
    scheduler_.Place(now);  // In production, the leader service runs placement passes.
    return scheduler_.OnHeartbeat(heartbeat, now);
  }

  // Adds the machine by a heartbeat and makes its record durable, so that the leader may start
  // tasks on the machine.
  void AddReadyMachine(const std::string& id, double now) {
    SendHeartbeat(id, now);
    scheduler_.Tick(now);
    MakeRecordsDurable(scheduler_);
  }

  // Each of these functions returns the commands of one type in the leader's answer.
  static std::vector<wire::Command> Starts(const HeartbeatAnswer& answer) {
    return CommandsOfType(answer, wire::CommandType::kStart);
  }
  static std::vector<wire::Command> Stops(const HeartbeatAnswer& answer) {
    return CommandsOfType(answer, wire::CommandType::kStop);
  }
  static std::vector<wire::Command> Forgets(const HeartbeatAnswer& answer) {
    return CommandsOfType(answer, wire::CommandType::kForget);
  }
  static std::vector<wire::Command> CommandsOfType(const HeartbeatAnswer& answer,
                                                   wire::CommandType type) {
    std::vector<wire::Command> commands;
    for (const auto& command : answer.commands) {
      if (command.type == type) commands.push_back(command);
    }
    return commands;
  }

  static constexpr uint64_t kToken = 10;

  config::Settings settings_;
  config::DerivedSettings derived_;
  Scheduler scheduler_;
  wire::MachineType type_;
  // The sequence number of each machine's last heartbeat.
  std::map<std::string, uint64_t> sequences_;
};

// Fixture for agents whose heartbeats reach the leader, but which receive nothing from the leader.
class OneWayPartitionTest : public SchedulerTest {
 protected:
  // Delivers the machine's next heartbeat, which lists no tasks and confirms `token`, and returns
  // the leader's answer.
  HeartbeatAnswer SendHeartbeatUnderToken(const std::string& id, double now, uint64_t agent_epoch,
                                          uint64_t token) {
    wire::Heartbeat heartbeat = NextHeartbeat(id, agent_epoch);
    heartbeat.fencing_token = token;
    scheduler_.Place(now);
    return scheduler_.OnHeartbeat(heartbeat, now);
  }
  bool IsScaledIn(const std::string& id, double now) {
    const auto scale_in = scheduler_.PlanScaling(now).scale_in;
    return std::find(scale_in.begin(), scale_in.end(), id) != scale_in.end();
  }
  bool IsSchedulable(const std::string& id, double now) {
    return cluster::ClusterState(settings_, derived_)
        .IsSchedulable(scheduler_.machines().at(id), now);
  }
};

}  // namespace mosspath::scheduler
