// Slow machines are quarantined; jobs that fail everywhere are not held against machines.
#include <gtest/gtest.h>

#include <map>
#include <string>
#include <utility>
#include <vector>

#include "scheduler_fixture.h"

namespace mosspath::scheduler {
namespace {

TEST_F(DispatcherTest, AMachineThatIsFarSlowerIsPutAside) {
  for (const char* id : {"vm-1", "vm-2", "vm-3"}) Ready(id, 0);
  for (int i = 0; i < 4; ++i) d_.AddJob(Job(10 + i, 30, 1, wire::Priority::kNormal), 11, 0);
  // vm-3 takes 60 s for what takes the others 12.
  std::map<std::string, std::map<std::pair<wire::TaskId, uint64_t>, double>> began;
  for (double now = 1; now < 400; now += 1) {
    for (const char* id : {"vm-1", "vm-2", "vm-3"}) {
      std::vector<wire::TaskStatus> tasks;
      for (const auto& [key, since] : began[id]) {
        const bool over = now - since > (std::string(id) == "vm-3" ? 60 : 12);
        tasks.push_back({key.first, key.second,
                         over ? wire::TaskState::kExited : wire::TaskState::kRunning,
                         over ? wire::ExitReason::kSucceeded : wire::ExitReason::kNone, false});
      }
      for (const auto& c : Report(id, now, tasks).commands) {
        const std::pair<wire::TaskId, uint64_t> key{c.task, c.attempt};
        if (c.type == wire::CommandType::kStart) began[id][key] = now;
        if (c.type == wire::CommandType::kForget || c.type == wire::CommandType::kStop)
          began[id].erase(key);
      }
      Flush();
    }
    d_.Tick(now + 0.5);
  }
  EXPECT_FALSE(d_.machines().at("vm-1").quarantined);
  EXPECT_FALSE(d_.machines().at("vm-2").quarantined);
  EXPECT_TRUE(d_.machines().at("vm-3").quarantined);
}

TEST_F(DispatcherTest, AJobThatFailsEverywhereCondemnsNoMachineAndDoesNotSpin) {
  for (const char* id : {"vm-1", "vm-2", "vm-3"}) Ready(id, 0);
  d_.AddJob(Job(1, 6, 1, wire::Priority::kNormal), 11, 0);
  size_t starts = 0;
  std::map<std::string, std::vector<wire::TaskStatus>> failed;
  for (double now = 1; now < 200; now += 1) {
    for (const char* id : {"vm-1", "vm-2", "vm-3"}) {
      const auto a = Report(id, now, failed[id]);
      failed[id].clear();
      for (const auto& c : Only(a, wire::CommandType::kStart)) {
        ++starts;
        failed[id].push_back(
            {c.task, c.attempt, wire::TaskState::kExited, wire::ExitReason::kFailed, false});
      }
    }
    d_.Tick(now + 0.5);
  }
  for (const auto& [id, m] : d_.machines()) EXPECT_FALSE(m.quarantined) << id;
  EXPECT_LT(starts, 30u);
  EXPECT_GT(starts, 6u);
}

// What failed everywhere was started whole again after each takeover.
TEST_F(DispatcherTest, ASuccessorKnowsWhichJobsFailEverywhere) {
  for (const char* id : {"vm-1", "vm-2"}) Ready(id, 0);
  d_.AddJob(Job(1, 8, 1, wire::Priority::kNormal), 11, 0);
  for (const char* id : {"vm-1", "vm-2"}) {
    std::vector<wire::TaskStatus> failed;
    for (const auto& c : Only(Report(id, 1), wire::CommandType::kStart)) {
      failed.push_back(
          {c.task, c.attempt, wire::TaskState::kExited, wire::ExitReason::kFailed, false});
    }
    EXPECT_EQ(failed.size(), 4u);
    Report(id, 2, failed);
  }
  EXPECT_TRUE(d_.FindJob("req-1")->crash_looping);
  for (const auto& [id, m] : d_.machines()) EXPECT_TRUE(m.errors_by_job.empty()) << id;
  Scheduler next(settings_, derived_, 20, 100);
  const auto records = d_.TakeRecords(100, 48u << 10);
  for (const auto& w : records.progress) next.LoadProgressPack(w.pack, w.value, 1);
  next.AddJob(Job(1, 8, 1, wire::Priority::kNormal), 11, 0);
  EXPECT_TRUE(next.FindJob("req-1")->crash_looping);
  EXPECT_GT(next.FindJob("req-1")->not_before, 100);
  // It is no reason to rent either, while there are machines to try it on.
  EXPECT_TRUE(d_.PlanScaling(500).scale_out.empty());
}

}  // namespace
}  // namespace mosspath::scheduler
