// Simulated days of clusters with up to 2000 machines.
#include <gtest/gtest.h>

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "simulation/cluster.h"
#include "simulation_helpers.h"

namespace mosspath {
namespace {

using simulation::SimulatedController;
using simulation::SimulatedEnvironment;
using simulation::SmallSettings;
using simulation::SmallType;

// One day of five controllers and array jobs of up to 600 tasks, on up to `capacity` machines.
struct LargeDay {
  static config::Settings Settings() {
    config::Settings settings = SmallSettings();
    settings.controller_count = 5;
    settings.heartbeat_s = 4;
    settings.agent_lease_s = 26;
    settings.cancel_within_s = 46;
    settings.teams = {{"free", 0, 0, 0, 0}, {"tight", 40, 400, 0, 0}};
    return settings;
  }
  static wire::MachineType Type() {
    wire::MachineType type = SmallType();
    type.spot_price = 0.3;
    return type;
  }

  LargeDay(uint64_t seed, size_t capacity, int jobs)
      : world(Settings(), {Type()}, seed), jobs_(jobs) {
    world.capacity = capacity;
    for (int i = 0; i < 5; ++i) world.nodes.push_back("hut-" + std::to_string(i));
    world.on_heartbeat = [this](const std::string& node, const wire::Heartbeat& r,
                                const SimulatedEnvironment::HeartbeatResponder& answer) {
      controllers.at(node)->OnHeartbeat(r, answer);
    };
    for (size_t i = 0; i < world.nodes.size(); ++i) {
      const double drift = 1.0 + 0.00025 * (static_cast<double>(i) - 2);
      controllers[world.nodes[i]] =
          std::make_unique<SimulatedController>(world, world.nodes[i], drift);
    }
    for (int i = 0; i < 56; ++i) world.AddMachine("box", i % 2 == 0 ? "east" : "west", false);
    for (int i = 0; i < jobs; ++i) SubmitOne(i);
    Check();
  }

  void SubmitOne(int i) {
    wire::JobSpec spec;
    spec.id = "req-" + std::to_string(i);
    spec.job_class = "work";
    spec.team = i % 10 == 0 ? "tight" : "free";
    spec.priority = static_cast<wire::Priority>(i % 3);
    spec.tasks = i % 20 == 7 ? 600 : 30 + static_cast<uint32_t>(world.random.Below(150));
    spec.cpus = i % 3 == 0 ? 4 : 2;
    spec.memory_gb = spec.cpus * 3;
    spec.image = "img-" + std::to_string(i % 12);
    spec.image_gb = 1;
    spec.spread_over_zones = i % 11 == 3;
    spec.spot_allowed = true;
    spec.estimated_run_s = world.random.Uniform(10, 30);
    world.clock.At(i < jobs_ / 3 ? 0.1 : world.random.Uniform(1, 120),
                   [this, spec] { world.Accept(spec); });
  }

  SimulatedController& Leader() {
    for (auto& [name, c] : controllers) {
      if (c->leading()) return *c;
    }
    return *controllers.begin()->second;
  }
  // Calls `f` for every `step`-th machine that is alive and that `pick` selects, for at most
  // `max_count` machines.
  void ForEachAgent(size_t step, size_t max_count, const std::function<bool(size_t i)>& pick,
                    const std::function<void(const std::string&, simulation::SimulatedAgent&)>& f) {
    size_t i = 0;
    for (auto& [id, w] : world.agents) {
      if (max_count > 0 && i % step == 0 && pick(i) && w->alive()) {
        f(id, *w);
        --max_count;
      }
      ++i;
    }
  }
  void CutOff(const std::string& agent, double duration_s) {
    for (const auto& node : world.nodes) world.network.Cut(node, agent, duration_s, true);
  }
  void CrashAll() {
    for (auto& [name, c] : controllers) c->Crash(4);
  }
  // Runs the day until `end`, and expects no breach and all jobs done.
  void ExpectAllJobsDoneBy(double end) {
    world.clock.RunUntil(end);
    EXPECT_TRUE(test::NoBreaches(world));
    EXPECT_EQ(world.rule_checker.done_jobs(), static_cast<size_t>(jobs_));
  }

  SimulatedEnvironment world;
  std::map<std::string, std::unique_ptr<SimulatedController>> controllers;

 private:
  void Check() {
    world.rule_checker.CheckNow(world.clock.now());
    world.clock.After(1, [this] { Check(); });
  }
  const int jobs_;
};

const auto kAny = [](size_t) { return true; };

// A day with a slow key-value store and a store outage, a crash of the leader and a crash of all
// controllers, a partition of the leader, and terminated machines.
TEST(LargeClusterTest, ALargeDay) {
  LargeDay day(21, 1000, 60);
  SimulatedEnvironment& world = day.world;
  world.clock.At(30, [&] { world.network.Slow("state", 10, 30); });
  world.clock.At(45, [&] { day.Leader().Crash(4); });
  world.clock.At(70, [&] {
    day.ForEachAgent(10, 40, kAny,
                     [](const std::string&, simulation::SimulatedAgent& w) { w.Terminate(); });
  });
  world.clock.At(75, [&] { day.CrashAll(); });
  world.clock.At(105, [&] {
    const std::string name = day.Leader().name();
    for (auto& [id, w] : world.agents) world.network.Cut(name, id, 20, true);
    for (const auto& other : world.nodes) world.network.Cut(name, other, 20, true);
    world.network.Cut(name, "state", 20, true);
  });
  world.clock.At(140, [&] { world.store.Outage(10); });
  day.ExpectAllJobsDoneBy(260);
  EXPECT_GT(world.agents.size(), 300u);
}

// A third of the machines terminate or are partitioned at the time at which all controllers crash.
TEST(LargeClusterTest, AThirdOfTheMachinesFailsWithAllControllers) {
  LargeDay day(22, 600, 40);
  day.world.clock.At(60, [&] {
    day.ForEachAgent(6, 200, kAny,
                     [](const std::string&, simulation::SimulatedAgent& w) { w.Terminate(); });
    day.ForEachAgent(
        6, 200, [](size_t i) { return i % 12 == 0; },
        [&](const std::string& id, simulation::SimulatedAgent&) { day.CutOff(id, 20); });
    day.ForEachAgent(
        1, 200, [](size_t i) { return i % 6 == 3; },
        [&](const std::string& id, simulation::SimulatedAgent&) { day.CutOff(id, 20); });
    day.CrashAll();
  });
  day.ExpectAllJobsDoneBy(330);
}

// A zone is partitioned for longer than an agent lease, with a store outage during the partition.
TEST(LargeClusterTest, AZoneIsPartitionedForLongerThanALeaseInAnOutage) {
  LargeDay day(23, 600, 40);
  day.world.clock.At(60, [&] {
    day.ForEachAgent(
        1, 600, [](size_t i) { return i % 2 == 0; },
        [&](const std::string& id, simulation::SimulatedAgent&) { day.CutOff(id, 60); });
  });
  day.world.clock.At(75, [&] { day.world.store.Outage(15); });
  day.ExpectAllJobsDoneBy(330);
}

// Six in ten machines are reclaimed without notice while two controllers stall.
TEST(LargeClusterTest, MostMachinesAreReclaimedWhileControllersStall) {
  LargeDay day(24, 600, 40);
  day.world.clock.At(60, [&] {
    day.ForEachAgent(
        1, 600, [](size_t i) { return i % 5 < 3; },
        [](const std::string&, simulation::SimulatedAgent& w) { w.Terminate(); });
    SimulatedController& leader = day.Leader();
    leader.Freeze(25);
    for (auto& [name, c] : day.controllers) {
      if (c.get() == &leader) continue;
      c->Freeze(25);
      break;
    }
  });
  day.ExpectAllJobsDoneBy(360);
}

// About twice as many machines and jobs as ALargeDay, with a crash of all controllers and a later
// crash of the leader. A day with three times as many machines and jobs takes half a minute to
// simulate and tests nothing more.
TEST(LargeClusterTest, TwiceTheLargeDay) {
  LargeDay day(25, 2000, 110);
  day.world.clock.At(60, [&] { day.CrashAll(); });
  day.world.clock.At(90, [&] { day.Leader().Crash(4); });
  day.ExpectAllJobsDoneBy(300);
  EXPECT_GT(day.world.agents.size(), 700u);
}

}  // namespace
}  // namespace mosspath
