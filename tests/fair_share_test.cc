// Fair shares: each team and class holds its floor, however much work of others waits.
#include "mosspath/scheduler/fair_share.h"

#include <gtest/gtest.h>

#include <string>
#include <vector>

#include "scheduler_fixture.h"

namespace mosspath::scheduler {
namespace {

jobs::Job Waiting(const std::string& team, const std::string& job_class, uint32_t tasks,
                  uint32_t placed) {
  wire::JobSpec s;
  s.id = "req-" + team + job_class;
  s.team = team;
  s.job_class = job_class;
  s.tasks = tasks;
  s.cpus = 1;
  jobs::Job job(s, 1, 0);
  for (uint32_t i = 0; i < placed; ++i) job.pending.erase(i);
  return job;
}

// However much of others waits, each team and class is owed what its floor exceeds its use by.
TEST(Turns, EachTeamAndClassIsOwedItsFloor) {
  FairShare turns({{"desk", 0, 0, 0, 0}, {"guest", 0, 0, 0, 0}, {"sure", 300, 0, 0, 0}});
  turns.Configure(0.15, {});
  const auto urgent = Waiting("desk", "urgent", 5000, 900);
  const auto low = Waiting("desk", "low", 5000, 10);
  const auto guest = Waiting("guest", "g", 5000, 20);
  const auto sure = Waiting("sure", "s", 5000, 70);
  turns.BeginPass(1000);
  for (const auto* j : {&urgent, &low, &guest, &sure}) turns.AddJob(*j, true);
  turns.ComputeFloors();
  EXPECT_EQ(turns.DeficitCpus(urgent), 0);
  EXPECT_NEAR(turns.DeficitCpus(low), 0.15 * 910 / 2 - 10, 1e-9);
  EXPECT_NEAR(turns.DeficitCpus(guest), 50 - 20, 1e-9);
  EXPECT_NEAR(turns.DeficitCpus(sure), 300 - 70, 1e-9);  // its guarantee
  for (int i = 0; i < 30; ++i) turns.OnAllocated(guest, 1);
  EXPECT_EQ(turns.DeficitCpus(guest), 0);
  EXPECT_FALSE(turns.MayPreempt(guest, 1));
  EXPECT_TRUE(turns.MayPreempt(urgent, 1));
  // Nothing is kept for who has nothing left, or no weight.
  turns.Configure(0.15, {{"guest", 0}});
  turns.BeginPass(1000);
  turns.AddJob(urgent, true);
  turns.AddJob(guest, true);
  turns.ComputeFloors();
  EXPECT_EQ(turns.DeficitCpus(guest), 0);
  turns.Configure(0, {});
  turns.BeginPass(1000);
  for (const auto* j : {&urgent, &low, &guest, &sure}) turns.AddJob(*j, true);
  turns.ComputeFloors();
  EXPECT_FALSE(turns.has_deficit());
}

// However much urgent work waits, a team holds its floor of the machines: when there is room for
// all to choose, when room comes free on one, and against preemption.
class TurnsTest : public DispatcherTest {
 protected:
  TurnsTest() {
    config::OperatorSettings s;
    s.turn_share = 0.5;  // 2 of 8 CPUs for each of two teams
    d_.Apply(s);
    Ready("vm-1", 1);
    Ready("vm-2", 1);
  }
  void Guest(uint32_t tasks, double at) {
    wire::JobSpec s = Job(2, tasks, 1, wire::Priority::kLow);
    s.team = "guest";
    s.image = "other";
    d_.AddJob(s, 12, at);
  }
  uint32_t Placed(int number) { return d_.FindJob("req-" + std::to_string(number))->placed(); }
  // What the machine was told to start, as it reports it.
  std::vector<wire::TaskStatus> Started(const std::string& id, double now) {
    std::vector<wire::TaskStatus> tasks;
    for (const auto& c : Only(Report(id, now), wire::CommandType::kStart)) {
      tasks.push_back(
          {c.task, c.attempt, wire::TaskState::kRunning, wire::ExitReason::kNone, false});
    }
    return tasks;
  }
};

TEST_F(TurnsTest, ATeamGetsItsFloorBeforeUrgentWork) {
  d_.AddJob(Job(1, 40, 1, wire::Priority::kHigh), 11, 1);
  Guest(10, 1.5);
  Report("vm-1", 2);
  Report("vm-2", 2);
  EXPECT_EQ(Placed(1), 6u);
  EXPECT_EQ(Placed(2), 2u);
}

TEST_F(TurnsTest, RoomThatComesFreeGoesToWhoIsOwed) {
  d_.AddJob(Job(1, 40, 1, wire::Priority::kHigh), 11, 1);
  Report("vm-2", 2);
  auto tasks = Started("vm-1", 2);
  ASSERT_EQ(tasks.size(), 4u);
  Guest(10, 2);
  Report("vm-1", 3, tasks);
  EXPECT_EQ(Placed(2), 0u);
  // Old enough that a fetch is worth it.
  for (int i : {0, 1, 2}) {
    tasks[static_cast<size_t>(i)].state = wire::TaskState::kExited;
    tasks[static_cast<size_t>(i)].exit_reason = wire::ExitReason::kSucceeded;
  }
  d_.Place(10);
  Report("vm-1", 10, tasks);
  EXPECT_EQ(Placed(2), 2u);
  EXPECT_EQ(Placed(1), 6u);
}

TEST_F(TurnsTest, WhatATeamsFloorHoldsIsNotPreempted) {
  Guest(10, 1);
  const auto one = Started("vm-1", 2);
  const auto two = Started("vm-2", 2);
  ASSERT_EQ(one.size() + two.size(), 8u);
  Report("vm-1", 3, one);
  Report("vm-2", 3, two);
  d_.AddJob(Job(1, 40, 1, wire::Priority::kHigh), 11, 3);
  d_.Tick(3.1 + settings_.heartbeat_s);
  EXPECT_EQ(Only(Report("vm-1", 6, one), wire::CommandType::kStop).size() +
                Only(Report("vm-2", 6, two), wire::CommandType::kStop).size(),
            6u);
}

}  // namespace
}  // namespace mosspath::scheduler
