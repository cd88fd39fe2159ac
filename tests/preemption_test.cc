// Tests of the preemption of tasks of lower priority.
#include <gtest/gtest.h>

#include <algorithm>
#include <cstddef>
#include <map>
#include <memory>
#include <string>
#include <vector>

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

// The machines vm-1 in zone "a" and vm-2 in zone "b", each with 4 CPUs, 2 GPUs and 16 GB, are full
// of tasks of a low-priority job, which use one CPU and 1 GB each.
class PreemptionRoomTest : public PreemptionTest {
 protected:
  PreemptionRoomTest() {
    type_.gpus = 2;
    scheduler_.SetMachineTypes({type_});
    Exchange(0);
    scheduler_.Tick(0);
    MakeRecordsDurable(scheduler_);
    auto low = Job(1, 8, 1, wire::Priority::kLow);
    low.estimated_run_s = 900;
    Run(low, 1);
  }
  // Adds the job, and starts as many of its tasks as there is room for.
  void Run(const wire::JobSpec& spec, double now) {
    scheduler_.AddJob(spec, 11, now);
    scheduler_.Place(now);
    Exchange(now);
    Exchange(now + 0.5);
  }
  // Adds the job, which finds no room, and returns the machines on which tasks are then stopped,
  // once for each task.
  std::vector<std::string> StopsFor(const wire::JobSpec& spec) {
    scheduler_.AddJob(spec, 12, 3);
    Exchange(5);
    scheduler_.Tick(6);
    return Exchange(6);
  }
  // Delivers a heartbeat of each machine and starts the tasks that the answers command. Returns the
  // machine of each task that is to be stopped.
  std::vector<std::string> Exchange(double now) {
    std::vector<std::string> stops;
    for (auto& [id, tasks] : running_) {
      wire::Heartbeat heartbeat = NextHeartbeat(id, 1);
      heartbeat.address = id + ":1";
      heartbeat.zone = id == "vm-1" ? "a" : "b";
      heartbeat.tasks = tasks;
      const HeartbeatAnswer answer = scheduler_.OnHeartbeat(heartbeat, now);
      for (const auto& start : Starts(answer)) tasks.push_back(test::Running(start));
      stops.insert(stops.end(), Stops(answer).size(), id);
    }
    return stops;
  }

  // Returns the number of tasks for which a stop is requested.
  ptrdiff_t StoppingTasks() const {
    ptrdiff_t stopping = 0;
    for (const auto& [id, machine] : scheduler_.machines()) {
      stopping += std::count_if(machine.allocations.begin(), machine.allocations.end(),
                                [](const auto& entry) { return entry.second.stop_requested; });
    }
    return stopping;
  }

  std::map<std::string, std::vector<wire::TaskStatus>> running_ = {{"vm-1", {}}, {"vm-2", {}}};
};

// Guards against tasks that were started and stopped several times a second: CPUs were freed for a
// job that lacked GPUs.
TEST_F(PreemptionRoomTest, NothingIsStoppedForGpusThatNoStopFrees) {
  ASSERT_EQ(running_["vm-1"].size() + running_["vm-2"].size(), 8u);
  auto service = Job(2, 1, 1, wire::Priority::kCritical);
  service.kind = wire::JobKind::kService;
  service.gpus = 4;
  EXPECT_TRUE(StopsFor(service).empty());
}

// Guards against stops that free enough CPUs, but too little memory, or that free it in pieces on
// several machines.
TEST_F(PreemptionRoomTest, TheStopsMakeRoomOnOneMachineByAllResources) {
  auto large = Job(2, 1, 1, wire::Priority::kHigh);
  large.memory_gb = 16;
  const auto stops = StopsFor(large);
  ASSERT_EQ(stops.size(), 4u);
  EXPECT_EQ(stops.front(), stops.back());
}

TEST_F(PreemptionRoomTest, NothingIsStoppedForAGangThatStillWouldNotFit) {
  auto gang = Job(2, 3, 4, wire::Priority::kHigh);
  gang.kind = wire::JobKind::kGang;
  EXPECT_TRUE(StopsFor(gang).empty());
}

TEST_F(PreemptionRoomTest, StopsForAGangOfOneZoneAreInOneZone) {
  auto gang = Job(2, 2, 2, wire::Priority::kHigh);
  gang.kind = wire::JobKind::kGang;
  gang.single_zone = true;
  const auto stops = StopsFor(gang);
  ASSERT_EQ(stops.size(), 4u);
  EXPECT_EQ(stops.front(), stops.back());
}

TEST_F(PreemptionRoomTest, NothingIsStoppedForAGangOfOneZoneThatNeedsBoth) {
  auto gang = Job(2, 2, 4, wire::Priority::kHigh);
  gang.kind = wire::JobKind::kGang;
  gang.single_zone = true;
  EXPECT_TRUE(StopsFor(gang).empty());
}

// Guards against stops in a zone that already has as many of the job's tasks as it may have.
TEST_F(PreemptionRoomTest, StopsForAJobSpreadOverZonesAreInBothZones) {
  auto service = Job(2, 2, 2, wire::Priority::kHigh);
  service.kind = wire::JobKind::kService;
  service.spread_over_zones = true;
  const auto stops = StopsFor(service);
  EXPECT_EQ(std::count(stops.begin(), stops.end(), "vm-1"), 2);
  EXPECT_EQ(std::count(stops.begin(), stops.end(), "vm-2"), 2);
}

// Room that earlier stops will free is claimed for the job for which they were requested.
TEST_F(PreemptionRoomTest, NothingMoreIsStoppedWhileStopsAreUnderWay) {
  EXPECT_EQ(StopsFor(Job(2, 1, 3, wire::Priority::kHigh)).size(), 3u);
  scheduler_.Tick(6.5);
  EXPECT_LE(Exchange(6.5).size(), 3u);
  EXPECT_EQ(StoppingTasks(), 3);
  scheduler_.AddJob(Job(3, 1, 3, wire::Priority::kHigh), 13, 3);
  scheduler_.Tick(7);
  EXPECT_EQ(StoppingTasks(), 6);
}

// The team "t" has a limit of 4 CPUs, which the tasks of a low-priority job on vm-1 take up. The
// machine vm-2 is idle.
class TeamLimitTest : public PreemptionTest {
 protected:
  TeamLimitTest() {
    settings_.teams = {{"t", 0, /*cpus_max=*/4, 0, 0}};
    leader_ = std::make_unique<Scheduler>(settings_, derived_, kToken, 0);
    leader_->SetMachineTypes({type_});
    SendTo("vm-1", 0);
    leader_->Tick(0);
    MakeRecordsDurable(*leader_);
    leader_->AddJob(Job(1, kLowTasks, 1, wire::Priority::kLow), 11, 0);
    leader_->Place(1);
    for (const auto& start : Starts(SendTo("vm-1", 1))) running_.push_back(test::Running(start));
    SendTo("vm-1", 2, running_);
    SendTo("vm-2", 2);
    leader_->Tick(2);
    MakeRecordsDurable(*leader_);
  }

  HeartbeatAnswer SendTo(const std::string& id, double now,
                         const std::vector<wire::TaskStatus>& tasks = {}) {
    wire::Heartbeat heartbeat = NextHeartbeat(id, 1);
    heartbeat.address = id + ":1";
    heartbeat.tasks = tasks;
    return leader_->OnHeartbeat(heartbeat, now);
  }

  // Runs a placement pass, and returns the starts in the answers to both machines' heartbeats.
  std::vector<wire::Command> StartsAt(double now) {
    leader_->Tick(now);
    leader_->Place(now);
    std::vector<wire::Command> starts = Starts(SendTo("vm-1", now, running_));
    for (const auto& start : Starts(SendTo("vm-2", now))) starts.push_back(start);
    return starts;
  }

  void MarkStopped(const wire::Command& stop) {
    for (wire::TaskStatus& status : running_) {
      if (status.task == stop.task) test::MarkExited(status, wire::ExitReason::kStopped);
    }
  }

  static constexpr uint32_t kLowTasks = 6;
  std::unique_ptr<Scheduler> leader_;
  std::vector<wire::TaskStatus> running_;
};

TEST_F(TeamLimitTest, ACriticalJobAtItsTeamsLimitStopsLowerTasksOfTheTeam) {
  ASSERT_EQ(running_.size(), 4u);
  leader_->AddJob(Job(2, 1, 2, wire::Priority::kCritical), 12, 3);
  leader_->Tick(6);
  const auto stops = Stops(SendTo("vm-1", 6, running_));
  ASSERT_EQ(stops.size(), 2u);
  leader_->Tick(7);  // No more than these are stopped.
  EXPECT_LE(Stops(SendTo("vm-1", 7, running_)).size(), 2u);
}

TEST_F(TeamLimitTest, WhatIsFreedUnderALimitGoesToTheCriticalJob) {
  leader_->AddJob(Job(2, 1, 2, wire::Priority::kCritical), 12, 3);
  leader_->Tick(6);
  const auto stops = Stops(SendTo("vm-1", 6, running_));
  ASSERT_EQ(stops.size(), 2u);
  MarkStopped(stops[0]);
  SendTo("vm-1", 7, running_);
  EXPECT_TRUE(StartsAt(7.1).empty());  // A waiting task of the low-priority job would fit.
  MarkStopped(stops[1]);
  SendTo("vm-1", 8, running_);
  const auto starts = StartsAt(8.1);
  ASSERT_EQ(starts.size(), 1u);
  EXPECT_EQ(starts[0].task.job, "req-2");
}

TEST_F(TeamLimitTest, AHighPriorityJobWaitsForItsTeamsLimit) {
  leader_->AddJob(Job(2, 1, 2, wire::Priority::kHigh), 12, 3);
  leader_->Tick(6);
  EXPECT_TRUE(Stops(SendTo("vm-1", 6, running_)).empty());
}

}  // namespace
}  // namespace mosspath::scheduler
