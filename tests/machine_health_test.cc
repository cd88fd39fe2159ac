// Tests that slow machines are quarantined, and that the failures of a crash looping job are not
// counted against machines.
#include <gtest/gtest.h>

#include <map>
#include <string>
#include <utility>
#include <vector>

#include "scheduler_fixture.h"

namespace mosspath::scheduler {
namespace {

using MachineHealthTest = SchedulerTest;

TEST_F(MachineHealthTest, AMachineThatIsFarSlowerIsQuarantined) {
  for (const char* id : {"vm-1", "vm-2", "vm-3"}) AddReadyMachine(id, 0);
  for (int i = 0; i < 4; ++i) scheduler_.AddJob(Job(10 + i, 30, 1, wire::Priority::kNormal), 11, 0);
  // vm-3 takes 60 s for tasks that take 12 s on the other machines.
  std::map<std::string, std::map<std::pair<wire::TaskId, uint64_t>, double>> started_at;
  for (double now = 1; now < 400; now += 1) {
    for (const char* id : {"vm-1", "vm-2", "vm-3"}) {
      std::vector<wire::TaskStatus> tasks;
      for (const auto& [key, since] : started_at[id]) {
        const bool ended = now - since > (std::string(id) == "vm-3" ? 60 : 12);
        tasks.push_back({key.first, key.second,
                         ended ? wire::TaskState::kExited : wire::TaskState::kRunning,
                         ended ? wire::ExitReason::kSucceeded : wire::ExitReason::kNone, false});
      }
      for (const auto& command : SendHeartbeat(id, now, tasks).commands) {
        const std::pair<wire::TaskId, uint64_t> key{command.task, command.attempt};
        if (command.type == wire::CommandType::kStart) started_at[id][key] = now;
        if (command.type == wire::CommandType::kForget || command.type == wire::CommandType::kStop)
          started_at[id].erase(key);
      }
      MakeRecordsDurable(scheduler_);
    }
    scheduler_.Tick(now + 0.5);
  }
  EXPECT_FALSE(scheduler_.machines().at("vm-1").quarantined);
  EXPECT_FALSE(scheduler_.machines().at("vm-2").quarantined);
  EXPECT_TRUE(scheduler_.machines().at("vm-3").quarantined);
}

TEST_F(MachineHealthTest, AJobThatFailsEverywhereQuarantinesNoMachineAndBacksOff) {
  for (const char* id : {"vm-1", "vm-2", "vm-3"}) AddReadyMachine(id, 0);
  scheduler_.AddJob(Job(1, 6, 1, wire::Priority::kNormal), 11, 0);
  size_t starts = 0;
  std::map<std::string, std::vector<wire::TaskStatus>> failed;
  for (double now = 1; now < 200; now += 1) {
    for (const char* id : {"vm-1", "vm-2", "vm-3"}) {
      const auto answer = SendHeartbeat(id, now, failed[id]);
      failed[id].clear();
      for (const auto& command : Starts(answer)) {
        ++starts;
        failed[id].push_back(test::Exited(command, wire::ExitReason::kFailed));
      }
    }
    scheduler_.Tick(now + 0.5);
  }
  for (const auto& [id, machine] : scheduler_.machines()) EXPECT_FALSE(machine.quarantined) << id;
  EXPECT_LT(starts, 30u);
  EXPECT_GT(starts, 6u);
}

// Guards against a restart of crash looping jobs: after each failover, all tasks of a job that
// fails on every machine were started again.
TEST_F(MachineHealthTest, ANewLeaderKnowsWhichJobsCrashLoop) {
  for (const char* id : {"vm-1", "vm-2"}) AddReadyMachine(id, 0);
  scheduler_.AddJob(Job(1, 8, 1, wire::Priority::kNormal), 11, 0);
  for (const char* id : {"vm-1", "vm-2"}) {
    std::vector<wire::TaskStatus> failed;
    for (const auto& command : Starts(SendHeartbeat(id, 1))) {
      failed.push_back(test::Exited(command, wire::ExitReason::kFailed));
    }
    EXPECT_EQ(failed.size(), 4u);
    SendHeartbeat(id, 2, failed);
  }
  EXPECT_TRUE(scheduler_.FindJob("req-1")->crash_looping);
  for (const auto& [id, machine] : scheduler_.machines())
    EXPECT_TRUE(machine.errors_by_job.empty()) << id;
  Scheduler next(settings_, derived_, 20, 100);
  const auto records = scheduler_.TakeRecords(test::kMaxBatchPacks, test::kMaxBatchBytes);
  for (const auto& write : records.progress) next.LoadProgressPack(write.pack, write.value, 1);
  next.AddJob(Job(1, 8, 1, wire::Priority::kNormal), 11, 0);
  EXPECT_TRUE(next.FindJob("req-1")->crash_looping);
  EXPECT_GT(next.FindJob("req-1")->not_before, 100);
}

// Has a job that is bound to a zone and is crash looping: each of its tasks failed on vm-1 and
// vm-2.
class CrashLoopTest : public MachineHealthTest {
 protected:
  // Adds the job and the two machines in the zone "a", and lets all tasks fail that start until
  // `until`.
  void MakeCrashLoop(wire::JobSpec spec, double until) {
    for (const char* id : kMachines) AddReadyMachine(id, 0);
    spec.zone = "a";
    scheduler_.AddJob(spec, 11, 0);
    for (double now = 1; now < until; now += 1) FailStartedTasks(now);
  }
  // Lets each task fail that was started on a machine before, and counts the new starts.
  void FailStartedTasks(double now) {
    for (const char* id : kMachines) {
      const auto starts = Starts(SendHeartbeat(id, now, std::exchange(failed_[id], {})));
      for (const auto& start : starts) {
        failed_[id].push_back(test::Exited(start, wire::ExitReason::kFailed));
      }
      if (!starts.empty()) starts_at_[now] += starts.size();
    }
    scheduler_.Tick(now + 0.5);
  }
  // Returns how many machines in the zone "a" the plan requests.
  int RequestedAt(double now) {
    int count = 0;
    for (const auto& request : scheduler_.PlanScaling(now).scale_out) {
      EXPECT_EQ(request.zone, "a");
      count += request.count;
    }
    return count;
  }

  static constexpr const char* kMachines[] = {"vm-1", "vm-2"};
  std::map<std::string, std::vector<wire::TaskStatus>> failed_;
  std::map<double, size_t> starts_at_;  // number of tasks started, by time
};

TEST_F(CrashLoopTest, NoMachineIsRequestedForARetryThatHasRoom) {
  MakeCrashLoop(Job(1, 8, 1, wire::Priority::kNormal), 10);
  ASSERT_TRUE(scheduler_.FindJob("req-1")->crash_looping);
  for (double now = 10; now < 500; now += 1) {
    FailStartedTasks(now);
    EXPECT_EQ(RequestedAt(now + 0.6), 0) << now;
  }
}

// Guards against a job that is never tried again: its machines were at fault and are gone, another
// machine was left, and no machine on which the job may run was requested.
TEST_F(CrashLoopTest, AMachineIsRequestedForARetryThatNoPresentMachineCanRun) {
  MakeCrashLoop(Job(1, 8, 1, wire::Priority::kNormal), 10);
  ASSERT_TRUE(scheduler_.FindJob("req-1")->crash_looping);
  for (const char* id : kMachines) scheduler_.OnMachineDeleted(id, 10);
  wire::Heartbeat other = NextHeartbeat("vm-3", 1);
  other.zone = "b";
  scheduler_.OnHeartbeat(other, 10);
  ASSERT_TRUE(scheduler_.machines().contains("vm-3"));
  const double retry_at = scheduler_.FindJob("req-1")->not_before;
  EXPECT_EQ(RequestedAt(retry_at - 1), 0);
  EXPECT_EQ(RequestedAt(retry_at + 1), 1);
}

// Guards against a crash looping gang that is never tried again: one task may run at a time, and a
// gang starts whole or not at all. The pause between two retries grows.
TEST_F(CrashLoopTest, AGangIsRetriedWhole) {
  constexpr size_t kTasks = 4;
  auto gang = Job(1, kTasks, 1, wire::Priority::kNormal);
  gang.kind = wire::JobKind::kGang;
  MakeCrashLoop(gang, 300);
  ASSERT_TRUE(scheduler_.FindJob("req-1")->crash_looping);
  std::vector<double> times;
  for (const auto& [now, tasks] : starts_at_) {
    EXPECT_EQ(tasks, kTasks) << now;
    times.push_back(now);
  }
  ASSERT_GE(times.size(), 4u);
  for (size_t i = 3; i < times.size(); ++i) {
    EXPECT_GT(times[i] - times[i - 1], 1.5 * (times[i - 1] - times[i - 2]));
  }
}

}  // namespace
}  // namespace mosspath::scheduler
