// Simulated days with one job, in which the leader loses its agents or the key-value store.
#include <gtest/gtest.h>

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "builders.h"
#include "simulation/cluster.h"
#include "simulation_helpers.h"

namespace mosspath {
namespace {

using simulation::SimulatedController;
using simulation::SimulatedEnvironment;
using simulation::SmallSettings;
using simulation::SmallType;

// Three controllers, six machines and one job of small tasks.
struct OneJob {
  OneJob(uint64_t seed, uint32_t tasks, double run_s)
      : world(SmallSettings(), {SmallType()}, seed) {
    for (const char* name : {"hut-0", "hut-1", "hut-2"}) world.nodes.emplace_back(name);
    world.on_heartbeat = [this](const std::string& node, const wire::Heartbeat& r,
                                const SimulatedEnvironment::HeartbeatResponder& answer) {
      for (auto& c : controllers) {
        if (c->name() == node) c->OnHeartbeat(r, answer);
      }
    };
    for (const auto& n : world.nodes) {
      controllers.push_back(std::make_unique<SimulatedController>(world, n, 1.0));
    }
    for (int i = 0; i < 6; ++i) world.AddMachine("box", "east", false);
    wire::JobSpec spec = test::MakeJobSpec("req-1", "free", tasks);
    spec.job_class = "work";
    spec.image = "i";
    spec.estimated_run_s = run_s;
    world.Accept(spec);
  }

  void Cancel() {
    ASSERT_NE(world.Cancel("req-1"), 0u);
    world.rule_checker.OnCancellationConfirmed("req-1", world.clock.now());
  }

  SimulatedEnvironment world;
  std::vector<std::unique_ptr<SimulatedController>> controllers;
};

// A leader that can reach the key-value store but no agents must resign. Otherwise it stays leader
// until the leases of all agents expire, and all tasks are lost. Another controller must take over
// the agents before that.
TEST(LeaderFaultsTest, ALeaderWithoutAgentsResigns) {
  OneJob day(11, 30, 60);
  SimulatedEnvironment& world = day.world;
  auto& controllers = day.controllers;
  std::string old_leader;
  world.clock.At(20, [&] {
    for (auto& c : controllers) {
      if (!c->leading()) continue;
      old_leader = c->name();
      for (auto& [id, w] : world.agents) world.network.Cut(c->name(), id, 60, false);
    }
  });
  world.clock.RunUntil(200);
  EXPECT_TRUE(test::NoBreaches(world));
  EXPECT_EQ(world.rule_checker.starts(), 30u);  // no task was lost and restarted
  EXPECT_EQ(world.rule_checker.done_jobs(), 1u);
  for (auto& c : controllers) EXPECT_EQ(c->resignations() > 0, c->name() == old_leader);
}

// A leader that has no socket left for reads can still renew its lease over an open connection. If
// the leader keeps answering heartbeats, it renews the agents' leases without reading
// cancellations. The tasks of a cancelled job then run on; in one case they ran on for a minute.
TEST(LeaderFaultsTest, ALeaderThatCannotReadLetsAgentLeasesExpire) {
  OneJob day(13, 30, 400);
  for (auto& c : day.controllers) {
    c->never_resigns = true;
    day.world.clock.At(20, [&] { c->FailReads(80); });
  }
  std::function<void()> check = [&] {
    day.world.rule_checker.CheckNow(day.world.clock.now());
    day.world.clock.After(0.5, check);
  };
  check();
  day.world.clock.At(21, [&] { day.Cancel(); });
  day.world.clock.RunUntil(90);
  EXPECT_EQ(day.world.rule_checker.starts(), 30u);
  EXPECT_TRUE(test::NoBreaches(day.world));
}

// A leader that cannot read the key-value store must resign before the agents' leases expire, so
// that a controller that can read the store takes over.
TEST(LeaderFaultsTest, ALeaderThatCannotReadResigns) {
  OneJob day(14, 30, 60);
  day.world.clock.At(20, [&] {
    for (auto& c : day.controllers) {
      if (c->leading()) c->FailReads(100);
    }
  });
  day.world.clock.RunUntil(200);
  EXPECT_TRUE(test::NoBreaches(day.world));
  EXPECT_EQ(day.world.rule_checker.starts(), 30u);  // No task was lost and restarted.
  EXPECT_EQ(day.world.rule_checker.done_jobs(), 1u);
}

// In a store outage of several leases, the agents' leases must not expire, because their expiry
// would end all tasks. The leader continues to lead as long as every peer promises not to lead.
TEST(LeaderFaultsTest, ALongOutageLosesNoTasks) {
  OneJob day(12, 240, 20);
  SimulatedEnvironment& world = day.world;
  world.clock.At(25, [&] { world.store.Outage(35); });
  size_t before = 0;
  size_t during = 0;
  world.clock.At(30, [&] { before = world.rule_checker.starts(); });
  world.clock.At(58, [&] { during = world.rule_checker.starts(); });
  world.clock.RunUntil(300);
  EXPECT_TRUE(test::NoBreaches(world));
  EXPECT_GT(during, before);                     // tasks start during the outage
  EXPECT_EQ(world.rule_checker.starts(), 240u);  // every task started exactly once
  EXPECT_EQ(world.rule_checker.done_jobs(), 1u);
}

}  // namespace
}  // namespace mosspath
