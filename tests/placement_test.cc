// Tests of placement: which tasks start, in which order and on which machines.
#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "scheduler_fixture.h"

namespace mosspath::scheduler {
namespace {

using PlacementTest = SchedulerTest;

// Guards against starvation: large jobs and jobs that can meet no objective come last in queue
// order. When the load was several times the capacity of the machines, the largest job of a class
// started only after minutes. The scheduler therefore places one task of an overdue job before all
// other tasks.
TEST_F(PlacementTest, EachJobStartsItsFirstTaskInTimeUnderOverload) {
  AddReadyMachine("vm-1", 0);
  auto large = Job(1, 500, 1, wire::Priority::kLow);
  scheduler_.AddJob(large, 11, 0);
  scheduler_.AddJob(Job(2, 400, 1, wire::Priority::kHigh), 12, 0);
  std::vector<wire::TaskStatus> running;
  double started_at = 0;
  for (double now = 1; now < 240; now += 2) {
    for (const auto& command : Starts(SendHeartbeat("vm-1", now, running))) {
      running.push_back(test::Running(command));
      if (started_at == 0 && command.task.job == "req-1") started_at = now;
    }
    // One task disappears from the heartbeat without a result.
    if (running.size() >= 4) running.erase(running.begin());
  }
  EXPECT_GT(started_at, 100);
  EXPECT_LT(started_at, 180);
  EXPECT_LE(scheduler_.Counts("req-1").running, 1u);
}

TEST_F(PlacementTest, NoTaskStartsOnAMachineWhoseRecordIsNotDurable) {
  scheduler_.AddJob(Job(1, 2, 1, wire::Priority::kNormal), 11, 0);
  EXPECT_TRUE(Starts(SendHeartbeat("vm-1", 1)).empty());
  AddReadyMachine("vm-1", 1);
  EXPECT_EQ(Starts(SendHeartbeat("vm-1", 2)).size(), 2u);
}

TEST_F(PlacementTest, HigherPrioritiesArePlacedFirst) {
  AddReadyMachine("vm-1", 0);
  scheduler_.AddJob(Job(1, 4, 1, wire::Priority::kLow), 11, 0);
  scheduler_.AddJob(Job(2, 3, 1, wire::Priority::kHigh), 12, 0);
  const auto starts = Starts(SendHeartbeat("vm-1", 1));
  ASSERT_EQ(starts.size(), 4u);
  EXPECT_EQ(std::count_if(starts.begin(), starts.end(),
                          [](const auto& command) { return command.task.job == "req-2"; }),
            3);
}

// Guards against a wrong order: best-effort jobs, which have no objective, were placed before
// low-priority jobs that have an objective.
TEST_F(PlacementTest, LowPriorityJobsWithoutAnObjectiveArePlacedLast) {
  AddReadyMachine("vm-1", 50);
  scheduler_.AddJob(Job(1, 4, 1, wire::Priority::kLow), 11, 0);
  auto with_objective = Job(2, 3, 1, wire::Priority::kLow);
  with_objective.job_class = "aimed";
  scheduler_.AddJob(with_objective, 12, 50);
  EXPECT_EQ(Starts(SendHeartbeat("vm-1", 51)).size(), 4u);
  EXPECT_EQ(scheduler_.Counts("req-2").running, 3u);
  EXPECT_EQ(scheduler_.Counts("req-1").running, 1u);
}

TEST_F(PlacementTest, AJobIsPlacedInItsShardAndOverflows) {
  settings_.name = "hut-0";
  settings_.peers = {{"hut-1", "", "x:1"}, {"hut-2", "", "x:2"}};
  Scheduler scheduler(settings_, derived_, 10, 0);
  scheduler.SetMachineTypes({test::BoxType(/*cpus=*/4, /*memory_gb=*/16)});
  std::map<size_t, int> sizes;
  for (int i = 0; i < 30; ++i) {
    const wire::Heartbeat heartbeat = NextHeartbeat("vm-" + std::to_string(i), 1);
    scheduler.OnHeartbeat(heartbeat, 1);
    ++sizes[scheduler.machines().at(heartbeat.machine).shard];
  }
  const auto used = [&](size_t shard) {
    double cpus = 0;
    for (const auto& [id, machine] : scheduler.machines())
      cpus += machine.shard == shard ? machine.used_cpus : 0;
    return cpus;
  };
  const size_t largest =
      std::max_element(sizes.begin(), sizes.end(), [](const auto& a, const auto& b) {
        return a.second < b.second;
      })->first;
  scheduler.AddJob(Job(1, 4 * static_cast<uint32_t>(sizes[largest]), 1, wire::Priority::kNormal),
                   11, 1);
  scheduler.Place(1);
  EXPECT_EQ(used(largest), 4.0 * sizes[largest]);
  for (const auto& [shard, n] : sizes) EXPECT_EQ(used(shard), shard == largest ? 4.0 * n : 0.0);
  // No single shard has room for the job.
  scheduler.AddJob(Job(2, 200, 1, wire::Priority::kNormal), 12, 1);
  scheduler.Place(2);
  for (const auto& [shard, n] : sizes) EXPECT_EQ(used(shard), 4.0 * n);
}

// Guards against a task that never fits: small best-effort tasks took freed capacity before enough
// of it was free for a larger task with an objective.
TEST_F(PlacementTest, BestEffortTasksLeaveCapacityToJobsWithAnObjective) {
  AddReadyMachine("vm-1", 0);
  scheduler_.AddJob(Job(1, 2, 1.5, wire::Priority::kNormal), 11, 0);
  std::vector<wire::TaskStatus> running;
  for (const auto& command : Starts(SendHeartbeat("vm-1", 1))) {
    running.push_back(test::Running(command));
  }
  ASSERT_EQ(running.size(), 2u);  // 1 of 4 CPUs is free
  auto with_objective = Job(2, 1, 2, wire::Priority::kLow);
  with_objective.job_class = "aimed";
  scheduler_.AddJob(with_objective, 12, 0);
  scheduler_.AddJob(Job(3, 5, 1, wire::Priority::kLow), 13, 0);
  EXPECT_TRUE(Starts(SendHeartbeat("vm-1", 2, running)).empty());
  test::MarkExited(running[0], wire::ExitReason::kSucceeded);
  SendHeartbeat("vm-1", 3, running);
  EXPECT_EQ(scheduler_.Counts("req-2").running, 1u);
  EXPECT_EQ(scheduler_.Counts("req-3").running, 0u);
}

TEST_F(PlacementTest, AGangStartsWholeOrNotAtAll) {
  AddReadyMachine("vm-1", 0);
  auto gang = Job(1, 6, 1, wire::Priority::kNormal);
  gang.kind = wire::JobKind::kGang;
  scheduler_.AddJob(gang, 11, 0);
  EXPECT_TRUE(Starts(SendHeartbeat("vm-1", 1)).empty());  // Only four of the six tasks fit.
  AddReadyMachine("vm-2", 1);
  const size_t first = Starts(SendHeartbeat("vm-1", 2)).size();
  EXPECT_EQ(first + Starts(SendHeartbeat("vm-2", 2)).size(), 6u);
}

// Guards against a gang that waits for ever: the zone with the most free CPUs was chosen for it,
// even if only another zone had the memory for all its tasks.
TEST_F(PlacementTest, AGangForOneZoneStartsInTheZoneThatHasRoomForAllOfIt) {
  for (const char* zone : {"a", "b"}) {
    wire::Heartbeat heartbeat = NextHeartbeat(std::string("vm-") + zone, 1);
    heartbeat.zone = zone;
    scheduler_.OnHeartbeat(heartbeat, 0);
  }
  scheduler_.Tick(0);
  MakeRecordsDurable(scheduler_);
  // Zone a: 3 CPUs and 2 GB are left. Zone b: 2 CPUs and 15 GB.
  auto memory_user = Job(1, 1, 1, wire::Priority::kNormal);
  memory_user.zone = "a";
  memory_user.memory_gb = 14;
  scheduler_.AddJob(memory_user, 11, 0);
  auto cpu_user = Job(2, 1, 2, wire::Priority::kNormal);
  cpu_user.zone = "b";
  scheduler_.AddJob(cpu_user, 12, 0);
  scheduler_.Place(1);
  auto gang = Job(3, 2, 1, wire::Priority::kNormal);
  gang.kind = wire::JobKind::kGang;
  gang.single_zone = true;
  gang.memory_gb = 2;
  scheduler_.AddJob(gang, 13, 1);
  scheduler_.Place(2);
  EXPECT_EQ(scheduler_.Counts("req-1").running + scheduler_.Counts("req-2").running, 2u);
  EXPECT_EQ(scheduler_.Counts("req-3").running, 2u);
}

// Guards against a gang that waits for ever: its room was divided between its home shard and the
// machines of another controller.
TEST_F(PlacementTest, AGangStartsOnTheMachinesOfSeveralShards) {
  settings_.name = "hut-0";
  settings_.peers = {{"hut-1", "", "x:1"}, {"hut-2", "", "x:2"}};
  Scheduler scheduler(settings_, derived_, 10, 0);
  scheduler.SetMachineTypes({type_});
  std::set<size_t> shards;
  for (int i = 0; i < 6; ++i) {
    const wire::Heartbeat heartbeat = NextHeartbeat("vm-" + std::to_string(i), 1);
    scheduler.OnHeartbeat(heartbeat, 1);
    shards.insert(scheduler.machines().at(heartbeat.machine).shard);
  }
  ASSERT_GT(shards.size(), 1u);
  scheduler.Tick(1);
  MakeRecordsDurable(scheduler);
  auto gang = Job(1, 24, 1, wire::Priority::kNormal);  // all CPUs of the six machines
  gang.kind = wire::JobKind::kGang;
  gang.memory_gb = 0;
  scheduler.AddJob(gang, 11, 1);
  scheduler.Place(2);
  EXPECT_EQ(scheduler.Counts("req-1").running, 24u);
}

// Guards against an urgent gang that waits for ever: its room was divided between machines in
// service and cordoned ones.
TEST_F(PlacementTest, AnUrgentGangStartsOnMachinesInServiceAndCordonedOnes) {
  AddReadyMachine("vm-1", 0);
  scheduler_.AddJob(Job(1, 1, 1, wire::Priority::kNormal), 11, 0);
  const auto starts = Starts(SendHeartbeat("vm-1", 1));
  ASSERT_EQ(starts.size(), 1u);
  AddReadyMachine("vm-2", 1);
  SendHeartbeat("vm-1", 1, {test::Running(starts[0])});
  (void)scheduler_.PlanScaling(1);
  ASSERT_FALSE(scheduler_.machines().at("vm-1").cordoned);
  ASSERT_TRUE(scheduler_.machines().at("vm-2").cordoned);
  auto gang = Job(2, 6, 1, wire::Priority::kHigh);
  gang.kind = wire::JobKind::kGang;
  scheduler_.AddJob(gang, 12, 2);
  scheduler_.Place(2);
  EXPECT_EQ(scheduler_.Counts("req-2").running, 6u);
}

TEST_F(PlacementTest, NoAttemptNumberIsUsedTwice) {
  AddReadyMachine("vm-1", 0);
  scheduler_.AddJob(Job(1, 1, 1, wire::Priority::kNormal), 11, 0);
  std::set<uint64_t> attempts;
  double now = 1;
  for (int i = 0; i < 20; ++i) {
    std::vector<wire::TaskStatus> refused;
    for (const auto& command : Starts(SendHeartbeat("vm-1", ++now))) {
      EXPECT_TRUE(attempts.insert(command.attempt).second);
      // Every second start command is lost, and the machine refuses all other starts.
      if (attempts.size() % 2 == 0) continue;
      refused.push_back(test::Exited(command, wire::ExitReason::kInsufficientResources));
    }
    if (!refused.empty()) SendHeartbeat("vm-1", ++now, refused);
  }
  EXPECT_GE(attempts.size(), 5u);
}

TEST_F(PlacementTest, DoneTasksAreForgottenOnlyOnceDurable) {
  AddReadyMachine("vm-1", 0);
  scheduler_.AddJob(Job(1, 2, 1, wire::Priority::kNormal), 11, 0);
  const auto starts = Starts(SendHeartbeat("vm-1", 1));
  ASSERT_EQ(starts.size(), 2u);
  const std::vector<wire::TaskStatus> done{test::Exited(starts[0], wire::ExitReason::kSucceeded),
                                           test::Running(starts[1])};
  EXPECT_TRUE(Forgets(SendHeartbeat("vm-1", 2, done)).empty());
  MakeRecordsDurable(scheduler_);
  EXPECT_EQ(Forgets(SendHeartbeat("vm-1", 3, done)).size(), 1u);
}

// Tests the work that the scheduler does in the largest clusters. To place an array job, it filters
// each machine about once. For further jobs that fit on no machine, it filters no more machines.
// Records stay within the size limits of a value and of a request.
class LargestClusterTest : public SchedulerTest, public ::testing::WithParamInterface<size_t> {};

TEST_P(LargestClusterTest, WorkIsBounded) {
  const size_t machines = GetParam();
  std::vector<std::string> ids;
  for (size_t i = 0; i < machines; ++i) ids.push_back("vm-" + std::to_string(100000 + i));
  for (const auto& id : ids) SendHeartbeat(id, 1);
  scheduler_.Place(1);
  size_t writes = 0;
  for (auto records = scheduler_.TakeRecords(8, 48u << 10); !records.empty();
       records = scheduler_.TakeRecords(8, 48u << 10)) {
    size_t bytes = 0;
    for (const auto& write : records.machines) {
      EXPECT_LE(write.value.dump().size(), size_t{8} << 10);
      bytes += write.value.dump().size();
      ++writes;
    }
    EXPECT_LE(bytes, size_t{48} << 10);
    scheduler_.OnRecordsWritten(1, 0);
  }
  EXPECT_LE(writes, 1 + machines / 170);  // a machine's entry takes about 30 bytes
  uint64_t scored = scheduler_.machines_filtered();
  scheduler_.AddJob(Job(1, 700, 1, wire::Priority::kNormal), 11, 0);
  scheduler_.Place(2);
  EXPECT_EQ(scheduler_.Counts("req-1").running, 700u);
  EXPECT_LE(scheduler_.machines_filtered() - scored, machines);
  // The job has more tasks than the machines have room for.
  scheduler_.AddJob(Job(2, static_cast<uint32_t>(5 * machines), 1, wire::Priority::kNormal), 11, 0);
  scheduler_.Place(3);
  scored = scheduler_.machines_filtered();
  for (int i = 0; i < 300; ++i)
    scheduler_.AddJob(Job(100 + i, 600, 1, wire::Priority::kNormal), 11, 0);
  scheduler_.Place(4);
  EXPECT_LE(scheduler_.machines_filtered() - scored, machines);
  // After a heartbeat, the scheduler places tasks on that machine and filters no other machine.
  scored = scheduler_.machines_filtered();
  SendHeartbeat(ids[0], 5);
  EXPECT_LE(scheduler_.machines_filtered() - scored, machines);
}

INSTANTIATE_TEST_SUITE_P(Machines, LargestClusterTest, ::testing::Values(1500, 4500));

}  // namespace
}  // namespace mosspath::scheduler
