// Tests that slow machines are quarantined, and that the failures of a crash looping job are not
// counted against machines.
#include <gtest/gtest.h>

#include <map>
#include <string>
#include <utility>
#include <vector>

#include "scheduler_fixture.h"

namespace mosspath::scheduler {
namespace {

using MachineHealthTest = SchedulerTest;

TEST_F(MachineHealthTest, AMachineThatIsFarSlowerIsQuarantined) {
  for (const char* id : {"vm-1", "vm-2", "vm-3"}) AddReadyMachine(id, 0);
  for (int i = 0; i < 4; ++i) scheduler_.AddJob(Job(10 + i, 30, 1, wire::Priority::kNormal), 11, 0);
  // vm-3 takes 60 s for tasks that take 12 s on the other machines.
  std::map<std::string, std::map<std::pair<wire::TaskId, uint64_t>, double>> started_at;
  for (double now = 1; now < 400; now += 1) {
    for (const char* id : {"vm-1", "vm-2", "vm-3"}) {
      std::vector<wire::TaskStatus> tasks;
      for (const auto& [key, since] : started_at[id]) {
        const bool ended = now - since > (std::string(id) == "vm-3" ? 60 : 12);
        tasks.push_back({key.first, key.second,
                         ended ? wire::TaskState::kExited : wire::TaskState::kRunning,
                         ended ? wire::ExitReason::kSucceeded : wire::ExitReason::kNone, false});
      }
      for (const auto& command : SendHeartbeat(id, now, tasks).commands) {
        const std::pair<wire::TaskId, uint64_t> key{command.task, command.attempt};
        if (command.type == wire::CommandType::kStart) started_at[id][key] = now;
        if (command.type == wire::CommandType::kForget || command.type == wire::CommandType::kStop)
          started_at[id].erase(key);
      }
      MakeRecordsDurable(scheduler_);
    }
    scheduler_.Tick(now + 0.5);
  }
  EXPECT_FALSE(scheduler_.machines().at("vm-1").quarantined);
  EXPECT_FALSE(scheduler_.machines().at("vm-2").quarantined);
  EXPECT_TRUE(scheduler_.machines().at("vm-3").quarantined);
}

TEST_F(MachineHealthTest, AJobThatFailsEverywhereQuarantinesNoMachineAndBacksOff) {
  for (const char* id : {"vm-1", "vm-2", "vm-3"}) AddReadyMachine(id, 0);
  scheduler_.AddJob(Job(1, 6, 1, wire::Priority::kNormal), 11, 0);
  size_t starts = 0;
  std::map<std::string, std::vector<wire::TaskStatus>> failed;
  for (double now = 1; now < 200; now += 1) {
    for (const char* id : {"vm-1", "vm-2", "vm-3"}) {
      const auto answer = SendHeartbeat(id, now, failed[id]);
      failed[id].clear();
      for (const auto& command : Starts(answer)) {
        ++starts;
        failed[id].push_back(test::Exited(command, wire::ExitReason::kFailed));
      }
    }
    scheduler_.Tick(now + 0.5);
  }
  for (const auto& [id, machine] : scheduler_.machines()) EXPECT_FALSE(machine.quarantined) << id;
  EXPECT_LT(starts, 30u);
  EXPECT_GT(starts, 6u);
}

// Guards against a restart of crash looping jobs: after each failover, all tasks of a job that
// fails on every machine were started again.
TEST_F(MachineHealthTest, ANewLeaderKnowsWhichJobsCrashLoop) {
  for (const char* id : {"vm-1", "vm-2"}) AddReadyMachine(id, 0);
  scheduler_.AddJob(Job(1, 8, 1, wire::Priority::kNormal), 11, 0);
  for (const char* id : {"vm-1", "vm-2"}) {
    std::vector<wire::TaskStatus> failed;
    for (const auto& command : Starts(SendHeartbeat(id, 1))) {
      failed.push_back(test::Exited(command, wire::ExitReason::kFailed));
    }
    EXPECT_EQ(failed.size(), 4u);
    SendHeartbeat(id, 2, failed);
  }
  EXPECT_TRUE(scheduler_.FindJob("req-1")->crash_looping);
  for (const auto& [id, machine] : scheduler_.machines())
    EXPECT_TRUE(machine.errors_by_job.empty()) << id;
  Scheduler next(settings_, derived_, 20, 100);
  const auto records = scheduler_.TakeRecords(test::kMaxBatchPacks, test::kMaxBatchBytes);
  for (const auto& write : records.progress) next.LoadProgressPack(write.pack, write.value, 1);
  next.AddJob(Job(1, 8, 1, wire::Priority::kNormal), 11, 0);
  EXPECT_TRUE(next.FindJob("req-1")->crash_looping);
  EXPECT_GT(next.FindJob("req-1")->not_before, 100);
  // The crash looping job also causes no scale-out while there are machines on which the scheduler
  // can try it.
  EXPECT_TRUE(scheduler_.PlanScaling(500).scale_out.empty());
}

}  // namespace
}  // namespace mosspath::scheduler
