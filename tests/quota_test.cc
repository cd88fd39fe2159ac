// Tests that tasks count towards team quotas even if their team is unknown or they may have ended.
#include <gtest/gtest.h>

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "builders.h"
#include "mosspath/cluster/cluster_state.h"
#include "mosspath/scheduler/scheduler.h"
#include "simulation/cluster.h"

namespace mosspath::scheduler {
namespace {

// A new leader finds a running task of a cancelled job. The leader can't tell the task's team
// and size, because the leader has loaded only jobs that have not ended. The
// leader also can't probe one machine. The leader starts no task of a team with a limit until the
// cancelled job's task has ended and the unprobed machine is gone.
TEST(QuotaTest, ACancelledTaskOfAnEarlierLeaderCounts) {
  config::Settings settings = simulation::SmallSettings();
  const config::DerivedSettings derived(settings);
  Scheduler scheduler(settings, derived, 10, 0);
  scheduler.SetMachineTypes({simulation::SmallType()});
  scheduler.LoadMachinesPack(0, {{"vm-1", "vm-1:1"}, {"vm-2", "vm-2:1"}, {"vm-3", "vm-3:1"}}, 1);
  std::map<std::string, uint64_t> sequences;
  const auto send_heartbeat = [&](const std::string& id, double now,
                                  std::vector<wire::TaskStatus> tasks) {
    wire::Heartbeat heartbeat = test::MakeHeartbeat(id, /*agent_epoch=*/1, ++sequences[id],
                                                    /*fencing_token=*/10);
    heartbeat.address = id + ":1";
    heartbeat.zone = "east";
    heartbeat.tasks = std::move(tasks);
    scheduler.OnHeartbeat(heartbeat, now);
  };
  const wire::TaskStatus found = test::Running({"req-8", 0}, /*attempt=*/5);
  // The job is accepted under this leader.
  wire::JobSpec job = test::MakeJobSpec("req-1", "tight", /*tasks=*/1);
  job.image = "img";
  scheduler.AddJob(job, 11, 0);
  const auto started = [&](double now) {
    scheduler.Tick(now);
    return scheduler.Counts("req-1").running;
  };
  send_heartbeat("vm-1", 1, {found});
  send_heartbeat("vm-2", 1, {});
  EXPECT_EQ(started(1.1), 0u);  // vm-3 can't be probed, and vm-1 runs the task of req-8.
  scheduler.OnMachineDeleted("vm-3", 2);
  EXPECT_TRUE(scheduler.recovery_complete());
  EXPECT_EQ(started(2.1), 0u);
  send_heartbeat("vm-2", 3, {});
  wire::TaskStatus ended = found;
  test::MarkExited(ended, wire::ExitReason::kStopped);
  send_heartbeat("vm-1", 3, {ended});
  EXPECT_EQ(started(3.1), 1u);
}

// A task is withheld from placement while a machine other than the intended one may run it after an
// unanswered start. The task may thus be running, so it counts towards its team's quota, even after
// its job has ended.
TEST(QuotaTest, WithheldTasksCountTowardsTheirTeam) {
  const config::Settings settings = simulation::SmallSettings();  // "tight" may use 10 CPUs
  cluster::ClusterState state(settings, config::DerivedSettings(settings));
  const wire::JobSpec spec = test::MakeJobSpec("req-1", "tight", /*tasks=*/9, /*cpus=*/2);
  const jobs::Job job(spec, 1, 0);
  state.jobs[spec.id] = std::make_unique<jobs::Job>(spec, 1, 0);
  EXPECT_EQ(state.quota.Headroom(job, true), 5u);
  state.Withhold({spec.id, 0});
  state.Withhold({spec.id, 0});
  state.Withhold({spec.id, 1});
  EXPECT_EQ(state.quota.Headroom(job, true), 3u);
  state.ReleaseWithheld({spec.id, 0});
  EXPECT_EQ(state.quota.Headroom(job, true), 4u);
  state.jobs.clear();
  EXPECT_EQ(state.quota.Headroom(job, true), 4u);
  state.ReleaseWithheld({spec.id, 1});
  EXPECT_EQ(state.quota.Headroom(job, true), 5u);
}

}  // namespace
}  // namespace mosspath::scheduler
