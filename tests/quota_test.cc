// Tasks whose team or end is not known yet count towards their team's quota.
#include <gtest/gtest.h>

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "mosspath/cluster/cluster_state.h"
#include "mosspath/scheduler/scheduler.h"
#include "simulation/cluster.h"

namespace mosspath::scheduler {
namespace {

// The job of a task that a new leader finds was cancelled, so nothing tells its team or size; and
// one machine can't be asked. A team with a limit starts nothing before both are known to be gone.
TEST(Limits, ACancelledTaskOfAnEarlierLeaderCounts) {
  config::Settings s = simulation::SmallSettings();
  const config::DerivedSettings derived(s);
  Scheduler d(s, derived, 10, 0);
  d.SetMachineTypes({simulation::SmallType()});
  d.LoadMachinesPack(0, {{"vm-1", "vm-1:1"}, {"vm-2", "vm-2:1"}, {"vm-3", "vm-3:1"}}, 1);
  std::map<std::string, uint64_t> seq;
  const auto reports = [&](const std::string& id, double now, std::vector<wire::TaskStatus> tasks) {
    wire::Heartbeat r;
    r.machine = id;
    r.address = id + ":1";
    r.type = "box";
    r.zone = "east";
    r.agent_epoch = 1;
    r.sequence = ++seq[id];
    r.fencing_token = 10;
    r.tasks = std::move(tasks);
    d.OnHeartbeat(r, now);
  };
  const wire::TaskStatus found{
      {"req-8", 0}, 5, wire::TaskState::kRunning, wire::ExitReason::kNone, false};
  wire::JobSpec job;
  job.id = "req-1";
  job.team = "tight";  // accepted under this leader
  job.tasks = 1;
  job.cpus = 1;
  job.image = "img";
  d.AddJob(job, 11, 0);
  const auto started = [&](double now) {
    d.Tick(now);
    return d.Counts("req-1").running;
  };
  reports("vm-1", 1, {found});
  reports("vm-2", 1, {});
  EXPECT_EQ(started(1.1), 0u);  // one can't be asked, one has a task of unknown size
  d.OnMachineDeleted("vm-3", 2);
  EXPECT_TRUE(d.recovery_complete());
  EXPECT_EQ(started(2.1), 0u);
  reports("vm-2", 3, {});
  wire::TaskStatus ended = found;
  ended.state = wire::TaskState::kExited;
  ended.exit_reason = wire::ExitReason::kStopped;
  reports("vm-1", 3, {ended});
  EXPECT_EQ(started(3.1), 1u);
}

// It may be running, so its team's limit counts it, also when its job is over.
TEST(Withheld, CountsTowardsItsTeam) {
  const config::Settings settings = simulation::SmallSettings();  // "tight" may use 10 CPUs
  cluster::ClusterState p(settings, config::DerivedSettings(settings));
  wire::JobSpec spec;
  spec.id = "req-1";
  spec.team = "tight";
  spec.tasks = 9;
  spec.cpus = 2;
  const jobs::Job other(spec, 1, 0);
  p.jobs[spec.id] = std::make_unique<jobs::Job>(spec, 1, 0);
  EXPECT_EQ(p.quota.Headroom(other, true), 5u);
  p.Withhold({spec.id, 0});
  p.Withhold({spec.id, 0});
  p.Withhold({spec.id, 1});
  EXPECT_EQ(p.quota.Headroom(other, true), 3u);
  p.ReleaseWithheld({spec.id, 0});
  EXPECT_EQ(p.quota.Headroom(other, true), 4u);
  p.jobs.clear();
  EXPECT_EQ(p.quota.Headroom(other, true), 4u);
  p.ReleaseWithheld({spec.id, 1});
  EXPECT_EQ(p.quota.Headroom(other, true), 5u);
}

}  // namespace
}  // namespace mosspath::scheduler
