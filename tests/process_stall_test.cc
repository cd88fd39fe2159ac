// Tests that the leader draws no conclusions about agents from a stall of its own process.
#include <gtest/gtest.h>

#include <string>
#include <vector>

#include "scheduler_fixture.h"

namespace mosspath::scheduler {
namespace {

using ProcessStallTest = SchedulerTest;

// After a stall of its own process, a leader must not treat agents as silent, slow or gone.
TEST_F(ProcessStallTest, AStallOfTheLeaderMakesNoAgentSuspect) {
  for (const char* id : {"vm-1", "vm-2", "vm-3"}) AddReadyMachine(id, 10);
  const double resumed = 10.1 + 3 * settings_.heartbeat_s;
  EXPECT_FALSE(scheduler_.IsPartitionedFromAgents(10.1));
  scheduler_.OnProcessStall(10.1, resumed);
  EXPECT_FALSE(scheduler_.IsPartitionedFromAgents(resumed));
  EXPECT_FALSE(scheduler_.IsPartitionedFromAgents(resumed + settings_.heartbeat_s));
  for (const auto& [id, machine] : scheduler_.machines())
    EXPECT_GT(machine.last_contact_at, resumed - 1) << id;
  // The leases that the leader granted to agents stay as they are: a stall does not renew them.
  for (const auto& [id, machine] : scheduler_.machines())
    EXPECT_EQ(machine.lease_renewed_at, 10) << id;
  for (double now = resumed; now < resumed + 3 * settings_.heartbeat_s; now += 0.3)
    scheduler_.IsPartitionedFromAgents(now);
  EXPECT_TRUE(scheduler_.IsPartitionedFromAgents(resumed + 4 * settings_.heartbeat_s));
}

TEST_F(ProcessStallTest, RunTimesThatSpanAStallQuarantineNoMachine) {
  for (const char* id : {"vm-1", "vm-2"}) AddReadyMachine(id, 0);
  scheduler_.AddJob(Job(1, 40, 1, wire::Priority::kNormal), 11, 0);
  const auto run = [&](const char* id, double from, double to, bool stalled) {
    const auto starts = Starts(SendHeartbeat(id, from));
    std::vector<wire::TaskStatus> tasks;
    for (const auto& command : starts) {
      tasks.push_back(test::Running(command));
    }
    SendHeartbeat(id, from + 0.1, tasks);
    if (stalled) scheduler_.OnProcessStall(from + 0.2, to - 0.1);
    for (auto& task : tasks) {
      test::MarkExited(task, wire::ExitReason::kSucceeded);
    }
    SendHeartbeat(id, to, tasks);
    MakeRecordsDurable(scheduler_);
    return starts.size();
  };
  EXPECT_EQ(run("vm-1", 1, 6, false), 4u);  // the usual run time: 5 s
  EXPECT_EQ(run("vm-1", 7, 12, false), 4u);
  EXPECT_EQ(run("vm-2", 13, 43, true), 4u);  // 30 s, mostly a stall of the leader
  EXPECT_FALSE(scheduler_.machines().at("vm-2").quarantined);
  EXPECT_EQ(run("vm-2", 44, 74, false), 4u);  // the same run time without a stall
  EXPECT_TRUE(scheduler_.machines().at("vm-2").quarantined);
}

}  // namespace
}  // namespace mosspath::scheduler
