// A stall of the leader's own process proves nothing about agents.
#include <gtest/gtest.h>

#include <string>
#include <vector>

#include "scheduler_fixture.h"

namespace mosspath::scheduler {
namespace {

// After a pause of its own, a leader must not take others for silent, slow or gone.
TEST_F(DispatcherTest, ItsOwnPauseSaysNothingAboutOthers) {
  for (const char* id : {"vm-1", "vm-2", "vm-3"}) Ready(id, 10);
  const double woke = 10.1 + 3 * settings_.heartbeat_s;
  EXPECT_FALSE(d_.IsPartitionedFromAgents(10.1));
  d_.OnProcessStall(10.1, woke);
  EXPECT_FALSE(d_.IsPartitionedFromAgents(woke));
  EXPECT_FALSE(d_.IsPartitionedFromAgents(woke + settings_.heartbeat_s));
  for (const auto& [id, m] : d_.machines()) EXPECT_GT(m.last_contact_at, woke - 1) << id;
  // What it told the workers is a promise, and not counted anew.
  for (const auto& [id, m] : d_.machines()) EXPECT_EQ(m.lease_renewed_at, 10) << id;
  for (double now = woke; now < woke + 3 * settings_.heartbeat_s; now += 0.3)
    d_.IsPartitionedFromAgents(now);
  EXPECT_TRUE(d_.IsPartitionedFromAgents(woke + 4 * settings_.heartbeat_s));
}

TEST_F(DispatcherTest, RunTimesThatSpanAPauseJudgeNoMachine) {
  for (const char* id : {"vm-1", "vm-2"}) Ready(id, 0);
  d_.AddJob(Job(1, 40, 1, wire::Priority::kNormal), 11, 0);
  const auto run = [&](const char* id, double from, double to, bool paused) {
    const auto starts = Only(Report(id, from), wire::CommandType::kStart);
    std::vector<wire::TaskStatus> tasks;
    for (const auto& c : starts) {
      tasks.push_back(
          {c.task, c.attempt, wire::TaskState::kRunning, wire::ExitReason::kNone, false});
    }
    Report(id, from + 0.1, tasks);
    if (paused) d_.OnProcessStall(from + 0.2, to - 0.1);
    for (auto& t : tasks) {
      t.state = wire::TaskState::kExited;
      t.exit_reason = wire::ExitReason::kSucceeded;
    }
    Report(id, to, tasks);
    Flush();
    return starts.size();
  };
  EXPECT_EQ(run("vm-1", 1, 6, false), 4u);  // usual: 5 s
  EXPECT_EQ(run("vm-1", 7, 12, false), 4u);
  EXPECT_EQ(run("vm-2", 13, 43, true), 4u);  // 30 s, most of them a pause
  EXPECT_FALSE(d_.machines().at("vm-2").quarantined);
  EXPECT_EQ(run("vm-2", 44, 74, false), 4u);  // and without one
  EXPECT_TRUE(d_.machines().at("vm-2").quarantined);
}

}  // namespace
}  // namespace mosspath::scheduler
