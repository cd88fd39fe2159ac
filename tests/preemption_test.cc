// Tests of the preemption of tasks of lower priority.
#include <gtest/gtest.h>

#include "scheduler_fixture.h"

namespace mosspath::scheduler {
namespace {

using PreemptionTest = SchedulerTest;

// Guards against a missed objective: a job waited for one heartbeat interval before it could
// preempt tasks. With a long heartbeat interval, this wait alone missed the objective for starts.
TEST_F(PreemptionTest, PreemptionDoesNotWaitForSlowHeartbeats) {
  settings_.heartbeat_s = 8;
  settings_.agent_lease_s = 36;
  settings_.objectives = {{"wait", "c", 5, 0.9, 1}};
  Scheduler scheduler(settings_, config::DerivedSettings(settings_), 10, 0);
  scheduler.SetMachineTypes({type_});
  scheduler.OnHeartbeat(NextHeartbeat("vm-1", 1), 0);
  scheduler.Tick(0);
  MakeRecordsDurable(scheduler);
  auto low = Job(1, 4, 1, wire::Priority::kLow);
  low.estimated_run_s = 900;
  scheduler.AddJob(low, 11, 0);
  scheduler.Place(1);
  wire::Heartbeat heartbeat = NextHeartbeat("vm-1", 1);
  const auto starts = Starts(scheduler.OnHeartbeat(heartbeat, 1));
  ASSERT_EQ(starts.size(), 4u);
  heartbeat = NextHeartbeat("vm-1", 1);
  for (const auto& command : starts) {
    heartbeat.tasks.push_back(test::Running(command));
  }
  scheduler.OnHeartbeat(heartbeat, 2);
  scheduler.AddJob(Job(2, 2, 1, wire::Priority::kHigh), 12, 3);
  scheduler.Tick(4);
  EXPECT_TRUE(scheduler.TakeCommands(4).empty());
  scheduler.Tick(5);
  const auto batches = scheduler.TakeCommands(5);
  ASSERT_EQ(batches.size(), 1u);
  EXPECT_EQ(batches[0].commands.size(), 2u);
  EXPECT_EQ(batches[0].commands[0].type, wire::CommandType::kStop);
}

}  // namespace
}  // namespace mosspath::scheduler
