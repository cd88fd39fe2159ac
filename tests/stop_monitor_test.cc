// Tests of the figures about attempts that are to be stopped because their jobs have ended.
#include "mosspath/scheduler/stop_monitor.h"

#include <gtest/gtest.h>

#include "scheduler_fixture.h"

namespace mosspath::scheduler {
namespace {

class StopMonitorTest : public SchedulerTest {};

TEST_F(StopMonitorTest, AStopIsOutstandingUntilTheAgentReportsTheExit) {
  AddReadyMachine("vm-1", 0);
  scheduler_.AddJob(Job(1, 1, 1, wire::Priority::kHigh), 11, 0);
  const wire::Command start = Starts(SendHeartbeat("vm-1", 1)).at(0);
  SendHeartbeat("vm-1", 2, {test::Running(start)});
  EXPECT_EQ(scheduler_.SummarizeStops(2).outstanding, 0u);

  scheduler_.RemoveJob("req-1", 3);
  SendHeartbeat("vm-1", 4, {test::Running(start)});
  StopSummary summary = scheduler_.SummarizeStops(5);
  EXPECT_EQ(summary.outstanding, 1u);
  EXPECT_EQ(summary.late, 0u);
  EXPECT_EQ(summary.oldest_s, 2);
  EXPECT_EQ(summary.lease_renewals, 1u);
  EXPECT_EQ(scheduler_.SummarizeStops(3.1 + settings_.cancel_within_s / 2).late, 1u);

  SendHeartbeat("vm-1", 6, {test::Exited(start, wire::ExitReason::kStopped)});
  summary = scheduler_.SummarizeStops(6);
  EXPECT_EQ(summary.outstanding, 0u);
  EXPECT_EQ(summary.lease_renewals, 1u);
}

TEST_F(StopMonitorTest, ARenewalWithoutTheStopCounts) {
  cluster::Machine machine;
  machine.allocations[{{"req-1", 0}, 77}].job_end_seen_at = 3;
  StopMonitor monitor(settings_);
  monitor.OnLeaseRenewed(machine, machine.fencing_token, /*commands=*/{}, 4);
  EXPECT_EQ(monitor.Summarize({}, 4).lease_renewals, 1u);
}

}  // namespace
}  // namespace mosspath::scheduler
