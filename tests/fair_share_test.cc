// Tests of fair share: each team and class gets CPUs up to its floor, however many tasks of other
// teams and classes are pending.
#include "mosspath/scheduler/fair_share.h"

#include <gtest/gtest.h>

#include <string>
#include <vector>

#include "scheduler_fixture.h"

namespace mosspath::scheduler {
namespace {

// Returns a job of `tasks` tasks. All but `placed` of them are pending.
jobs::Job PendingJob(const std::string& team, const std::string& job_class, uint32_t tasks,
                     uint32_t placed) {
  wire::JobSpec spec = test::MakeJobSpec("req-" + team + job_class, team, tasks);
  spec.job_class = job_class;
  jobs::Job job(spec, 1, 0);
  for (uint32_t i = 0; i < placed; ++i) job.pending.erase(i);
  return job;
}

// The deficit of a team or class is its floor minus the CPUs that it uses, or 0 if it uses more.
// The number of pending tasks of other teams and classes has no effect on the deficit.
TEST(FairShareTest, EachTeamAndClassHasADeficitUpToItsFloor) {
  FairShare fair_share({{"desk", 0, 0, 0, 0}, {"guest", 0, 0, 0, 0}, {"guaranteed", 300, 0, 0, 0}});
  fair_share.Configure(0.15, {});
  const auto urgent = PendingJob("desk", "urgent", 5000, 900);
  const auto low = PendingJob("desk", "low", 5000, 10);
  const auto guest = PendingJob("guest", "g", 5000, 20);
  const auto guaranteed = PendingJob("guaranteed", "s", 5000, 70);
  fair_share.BeginPass(1000);
  for (const auto* job : {&urgent, &low, &guest, &guaranteed}) fair_share.AddJob(*job, true);
  fair_share.ComputeFloors();
  EXPECT_EQ(fair_share.DeficitCpus(urgent), 0);
  EXPECT_NEAR(fair_share.DeficitCpus(low), 0.15 * 910 / 2 - 10, 1e-9);
  EXPECT_NEAR(fair_share.DeficitCpus(guest), 50 - 20, 1e-9);
  // The team "guaranteed" has 300 guaranteed CPUs.
  EXPECT_NEAR(fair_share.DeficitCpus(guaranteed), 300 - 70, 1e-9);
  for (int i = 0; i < 30; ++i) fair_share.OnAllocated(guest, 1);
  EXPECT_EQ(fair_share.DeficitCpus(guest), 0);
  EXPECT_FALSE(fair_share.MayPreempt(guest, 1));
  EXPECT_TRUE(fair_share.MayPreempt(urgent, 1));
  // A team without pending tasks or without weight has no floor.
  fair_share.Configure(0.15, {{"guest", 0}});
  fair_share.BeginPass(1000);
  fair_share.AddJob(urgent, true);
  fair_share.AddJob(guest, true);
  fair_share.ComputeFloors();
  EXPECT_EQ(fair_share.DeficitCpus(guest), 0);
  fair_share.Configure(0, {});
  fair_share.BeginPass(1000);
  for (const auto* job : {&urgent, &low, &guest, &guaranteed}) fair_share.AddJob(*job, true);
  fair_share.ComputeFloors();
  EXPECT_FALSE(fair_share.has_deficit());
}

// A team gets its floor, however many urgent tasks are pending: in a placement pass and when
// capacity is freed on one machine. Urgent tasks do not preempt the team's tasks within its floor.
class FairShareSchedulingTest : public SchedulerTest {
 protected:
  FairShareSchedulingTest() {
    config::OperatorSettings settings;
    settings.turn_share = 0.5;  // Each of two teams has a floor of 2 of 8 CPUs.
    scheduler_.Apply(settings);
    AddReadyMachine("vm-1", 1);
    AddReadyMachine("vm-2", 1);
  }
  void AddGuestJob(uint32_t tasks, double at) {
    wire::JobSpec spec = Job(2, tasks, 1, wire::Priority::kLow);
    spec.team = "guest";
    spec.image = "other";
    scheduler_.AddJob(spec, 12, at);
  }
  uint32_t RunningTasks(int number) {
    return scheduler_.FindJob("req-" + std::to_string(number))->placed();
  }
  // Sends a heartbeat and returns the statuses of the tasks that the response starts.
  std::vector<wire::TaskStatus> StartedTasks(const std::string& id, double now) {
    std::vector<wire::TaskStatus> tasks;
    for (const auto& command : Starts(SendHeartbeat(id, now))) {
      tasks.push_back(test::Running(command));
    }
    return tasks;
  }
};

TEST_F(FairShareSchedulingTest, ATeamGetsItsFloorBeforeUrgentJobs) {
  scheduler_.AddJob(Job(1, 40, 1, wire::Priority::kHigh), 11, 1);
  AddGuestJob(10, 1.5);
  SendHeartbeat("vm-1", 2);
  SendHeartbeat("vm-2", 2);
  EXPECT_EQ(RunningTasks(1), 6u);
  EXPECT_EQ(RunningTasks(2), 2u);
}

TEST_F(FairShareSchedulingTest, FreedCapacityGoesToTheTeamBelowItsFloor) {
  scheduler_.AddJob(Job(1, 40, 1, wire::Priority::kHigh), 11, 1);
  SendHeartbeat("vm-2", 2);
  auto tasks = StartedTasks("vm-1", 2);
  ASSERT_EQ(tasks.size(), 4u);
  AddGuestJob(10, 2);
  SendHeartbeat("vm-1", 3, tasks);
  EXPECT_EQ(RunningTasks(2), 0u);
  // At 10 s the guest job has waited long enough to be placed on a machine that must fetch its
  // image.
  for (int i : {0, 1, 2}) {
    test::MarkExited(tasks[static_cast<size_t>(i)], wire::ExitReason::kSucceeded);
  }
  scheduler_.Place(10);
  SendHeartbeat("vm-1", 10, tasks);
  EXPECT_EQ(RunningTasks(2), 2u);
  EXPECT_EQ(RunningTasks(1), 6u);
}

TEST_F(FairShareSchedulingTest, TasksWithinATeamsFloorAreNotPreempted) {
  AddGuestJob(10, 1);
  const auto running_1 = StartedTasks("vm-1", 2);
  const auto running_2 = StartedTasks("vm-2", 2);
  ASSERT_EQ(running_1.size() + running_2.size(), 8u);
  SendHeartbeat("vm-1", 3, running_1);
  SendHeartbeat("vm-2", 3, running_2);
  scheduler_.AddJob(Job(1, 40, 1, wire::Priority::kHigh), 11, 3);
  scheduler_.Tick(3.1 + settings_.heartbeat_s);
  EXPECT_EQ(Stops(SendHeartbeat("vm-1", 6, running_1)).size() +
                Stops(SendHeartbeat("vm-2", 6, running_2)).size(),
            6u);
}

}  // namespace
}  // namespace mosspath::scheduler
