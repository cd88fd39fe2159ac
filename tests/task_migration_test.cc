// Tests of the migration of tasks off machines that are to be removed.
#include <gtest/gtest.h>

#include <map>
#include <string>
#include <vector>

#include "scheduler_fixture.h"

namespace mosspath::scheduler {
namespace {

// Two tasks of 6 GB run on the on-demand machine vm-1 of 16 GB. The spot machines vm-2 to vm-4,
// each with 3 free CPUs, are to replace it.
class TaskMigrationTest : public SchedulerTest {
 protected:
  explicit TaskMigrationTest(bool single_zone = false) : single_zone_(single_zone) {
    type_.spot_price = 0.3;
    scheduler_.SetMachineTypes({type_});
    config::OperatorSettings operator_settings;
    operator_settings.reserve = 1;  // No spot machine is cordoned.
    scheduler_.Apply(operator_settings);
    AddReadyMachine("vm-1", 0);
    StartTasks(1, /*tasks=*/2, /*memory_gb=*/6);
  }

  // Adds the spot machines, and a job that uses `used_gb` of the memory of each.
  void AddSpotMachines(double used_gb) {
    for (const char* id : {"vm-2", "vm-3", "vm-4"}) {
      Send(id, kSpotAddedAt);
      scheduler_.Tick(kSpotAddedAt);
      MakeRecordsDurable(scheduler_);
    }
    StartTasks(2, /*tasks=*/3, used_gb);
  }

  // Adds a job whose tasks may use spot machines and write checkpoints, and starts them.
  void StartTasks(int number, uint32_t tasks, double memory_gb) {
    wire::JobSpec spec = Job(number, tasks, 1, wire::Priority::kNormal);
    spec.spot_allowed = true;
    spec.single_zone = single_zone_;
    spec.memory_gb = memory_gb;
    spec.estimated_run_s = 1000;
    spec.checkpoint_interval_s = 5;
    spec.checkpoint_duration_s = 1;
    scheduler_.AddJob(spec, 10 + number, kSpotAddedAt);
    for (const char* id : {"vm-1", "vm-2", "vm-3", "vm-4"}) {
      if (!scheduler_.machines().contains(id)) continue;
      for (const auto& start : Starts(Send(id, kSpotAddedAt))) {
        running_[id].push_back(test::Running(start));
      }
    }
  }

  HeartbeatAnswer Send(const std::string& id, double now) {
    wire::Heartbeat heartbeat = NextHeartbeat(id, 1);
    heartbeat.address = id + ":1";
    heartbeat.spot = id != "vm-1";
    if (heartbeat.spot) heartbeat.zone = spot_zone_;
    heartbeat.tasks = running_[id];
    scheduler_.Place(now);
    return scheduler_.OnHeartbeat(heartbeat, now);
  }

  // Makes a scaling plan late enough for the tasks to be worth a move. Returns how many tasks on
  // vm-1 are then stopped.
  size_t StopsAfterPlan() {
    for (double now = kSpotAddedAt + 1; now <= kPlanAt; now += settings_.heartbeat_s) {
      for (const char* id : {"vm-1", "vm-2", "vm-3", "vm-4"}) Send(id, now);
    }
    scheduler_.PlanScaling(kPlanAt);
    EXPECT_TRUE(scheduler_.machines().at("vm-1").draining);
    return Stops(Send("vm-1", kPlanAt + 1)).size();
  }

  static constexpr double kSpotAddedAt = 1;
  static constexpr double kPlanAt = 100;
  const bool single_zone_;
  std::string spot_zone_ = "a";
  std::map<std::string, std::vector<wire::TaskStatus>> running_;
};

// Guards against tasks that lose their machine for nothing: free CPUs beside used-up memory counted
// as room for them.
TEST_F(TaskMigrationTest, NothingIsStoppedForMachinesThatAreFullByMemory) {
  AddSpotMachines(/*used_gb=*/11);
  for (const char* id : {"vm-2", "vm-3", "vm-4"}) ASSERT_EQ(running_[id].size(), 1u);
  EXPECT_EQ(StopsAfterPlan(), 0u);
}

TEST_F(TaskMigrationTest, TasksMoveToSpotMachinesWithRoom) {
  AddSpotMachines(/*used_gb=*/9);
  for (const char* id : {"vm-2", "vm-3", "vm-4"}) ASSERT_EQ(running_[id].size(), 1u);
  EXPECT_EQ(StopsAfterPlan(), 2u);
}

// The tasks of each job must run in one zone.
class SingleZoneMigrationTest : public TaskMigrationTest {
 protected:
  SingleZoneMigrationTest() : TaskMigrationTest(/*single_zone=*/true) {}
};

// Guards against a task that is stopped for room in a zone in which its job may not run: the task
// then waits for a machine in its zone.
TEST_F(SingleZoneMigrationTest, NothingIsStoppedForMachinesInAnotherZone) {
  spot_zone_ = "b";
  AddSpotMachines(/*used_gb=*/9);
  EXPECT_EQ(StopsAfterPlan(), 0u);
}

TEST_F(SingleZoneMigrationTest, TasksMoveWithinTheirZone) {
  AddSpotMachines(/*used_gb=*/9);
  EXPECT_EQ(StopsAfterPlan(), 2u);
}

}  // namespace
}  // namespace mosspath::scheduler
