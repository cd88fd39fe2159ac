// When tasks of lower priority are preempted.
#include <gtest/gtest.h>

#include "scheduler_fixture.h"

namespace mosspath::scheduler {
namespace {

TEST_F(DispatcherTest, PreemptionDoesNotWaitForSlowReports) {
  settings_.heartbeat_s = 8;
  settings_.agent_lease_s = 36;
  settings_.objectives = {{"wait", "c", 5, 0.9, 1}};
  Scheduler d(settings_, config::DerivedSettings(settings_), 10, 0);
  d.SetMachineTypes({d_type_});
  d.OnHeartbeat(Written("vm-1", 1), 0);
  d.Tick(0);
  while (!d.TakeRecords(100, 48u << 10).empty()) d.OnRecordsWritten(1, 0);
  auto low = Job(1, 4, 1, wire::Priority::kLow);
  low.estimated_run_s = 900;
  d.AddJob(low, 11, 0);
  d.Place(1);
  wire::Heartbeat r = Written("vm-1", 1);
  const auto starts = Only(d.OnHeartbeat(r, 1), wire::CommandType::kStart);
  ASSERT_EQ(starts.size(), 4u);
  r = Written("vm-1", 1);
  for (const auto& c : starts) {
    r.tasks.push_back(
        {c.task, c.attempt, wire::TaskState::kRunning, wire::ExitReason::kNone, false});
  }
  d.OnHeartbeat(r, 2);
  d.AddJob(Job(2, 2, 1, wire::Priority::kHigh), 12, 3);
  d.Tick(4);
  EXPECT_TRUE(d.TakeCommands(4).empty());
  d.Tick(5);
  const auto orders = d.TakeCommands(5);
  ASSERT_EQ(orders.size(), 1u);
  EXPECT_EQ(orders[0].commands.size(), 2u);
  EXPECT_EQ(orders[0].commands[0].type, wire::CommandType::kStop);
}

}  // namespace
}  // namespace mosspath::scheduler
