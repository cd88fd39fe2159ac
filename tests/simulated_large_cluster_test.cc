// Simulated days of clusters of up to some thousand machines.
#include <gtest/gtest.h>

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "simulation/cluster.h"

namespace mosspath {
namespace {

using simulation::SimulatedController;
using simulation::SimulatedEnvironment;
using simulation::SmallSettings;
using simulation::SmallType;

std::string All(const std::vector<std::string>& lines) {
  std::string out;
  for (const auto& l : lines) out += l + "\n";
  return out;
}

// The size that the deployments have grown to: up to a thousand machines and more, five
// controllers, arrays of up to 600 tasks.
struct LargeDay {
  static config::Settings Size() {
    config::Settings s = SmallSettings();
    s.controller_count = 5;
    s.heartbeat_s = 4;
    s.agent_lease_s = 26;
    s.cancel_within_s = 46;
    s.teams = {{"free", 0, 0, 0, 0}, {"tight", 40, 400, 0, 0}};
    return s;
  }
  static wire::MachineType Type() {
    wire::MachineType t = SmallType();
    t.spot_price = 0.3;
    return t;
  }

  LargeDay(uint64_t seed, size_t capacity, int jobs) : world(Size(), {Type()}, seed), jobs_(jobs) {
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
    wire::JobSpec s;
    s.id = "req-" + std::to_string(i);
    s.job_class = "work";
    s.team = i % 10 == 0 ? "tight" : "free";
    s.priority = static_cast<wire::Priority>(i % 3);
    s.tasks = i % 20 == 7 ? 600 : 30 + static_cast<uint32_t>(world.random.Below(150));
    s.cpus = i % 3 == 0 ? 4 : 2;
    s.memory_gb = s.cpus * 3;
    s.image = "img-" + std::to_string(i % 12);
    s.image_gb = 1;
    s.spread_over_zones = i % 11 == 3;
    s.spot_allowed = true;
    s.estimated_run_s = world.random.Uniform(10, 30);
    world.clock.At(i < jobs_ / 3 ? 0.1 : world.random.Uniform(1, 120),
                   [this, s] { world.Accept(s); });
  }

  SimulatedController& Leader() {
    for (auto& [name, c] : controllers) {
      if (c->leading()) return *c;
    }
    return *controllers.begin()->second;
  }
  // Every so-manieth machine that the test picks.
  void Each(size_t step, size_t most, const std::function<bool(size_t i)>& pick,
            const std::function<void(const std::string&, simulation::SimulatedAgent&)>& f) {
    size_t i = 0;
    for (auto& [id, w] : world.agents) {
      if (most > 0 && i % step == 0 && pick(i) && w->alive()) {
        f(id, *w);
        --most;
      }
      ++i;
    }
  }
  void CutOff(const std::string& worker, double for_s) {
    for (const auto& node : world.nodes) world.network.Cut(node, worker, for_s, true);
  }
  void CrashAll() {
    for (auto& [name, c] : controllers) c->Crash(4);
  }
  void Expect(double end) {
    world.clock.RunUntil(end);
    EXPECT_TRUE(world.rule_checker.breaches().empty()) << All(world.rule_checker.breaches());
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

// Controllers crash, one and all, the leader is cut off, the state service gets slow and has an
// outage, machines die.
TEST(Simulation, ALargeDay) {
  LargeDay day(21, 1000, 60);
  SimulatedEnvironment& world = day.world;
  world.clock.At(30, [&] { world.network.Slow("state", 10, 30); });
  world.clock.At(45, [&] { day.Leader().Crash(4); });
  world.clock.At(70, [&] {
    day.Each(10, 40, kAny,
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
  day.Expect(260);
  EXPECT_GT(world.agents.size(), 300u);
}

// A third of all machines die or go silent at once while all controllers crash.
TEST(Simulation, AThirdOfTheFleetFallsWithAllControllers) {
  LargeDay day(22, 600, 40);
  day.world.clock.At(60, [&] {
    day.Each(6, 200, kAny,
             [](const std::string&, simulation::SimulatedAgent& w) { w.Terminate(); });
    day.Each(
        6, 200, [](size_t i) { return i % 12 == 0; },
        [&](const std::string& id, simulation::SimulatedAgent&) { day.CutOff(id, 20); });
    day.Each(
        1, 200, [](size_t i) { return i % 6 == 3; },
        [&](const std::string& id, simulation::SimulatedAgent&) { day.CutOff(id, 20); });
    day.CrashAll();
  });
  day.Expect(330);
}

// A zone is cut off for longer than a lease, with an outage of the state service in the middle.
TEST(Simulation, AZoneIsCutForLongerThanALeaseInAnOutage) {
  LargeDay day(23, 600, 40);
  day.world.clock.At(60, [&] {
    day.Each(
        1, 600, [](size_t i) { return i % 2 == 0; },
        [&](const std::string& id, simulation::SimulatedAgent&) { day.CutOff(id, 60); });
  });
  day.world.clock.At(75, [&] { day.world.store.Outage(15); });
  day.Expect(330);
}

// Six in ten machines are taken without notice while two controllers stand still.
TEST(Simulation, AWaveTakesMostMachinesWhileControllersStandStill) {
  LargeDay day(24, 600, 40);
  day.world.clock.At(60, [&] {
    day.Each(
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
  day.Expect(360);
}

// Twice as many machines and as much work as the large day, all asked for at once, with all
// controllers crashing under it. (Threefold takes half a minute to play and shows no more.)
TEST(Simulation, TwiceTheLargeDay) {
  LargeDay day(25, 2000, 110);
  day.world.clock.At(60, [&] { day.CrashAll(); });
  day.world.clock.At(90, [&] { day.Leader().Crash(4); });
  day.Expect(300);
  EXPECT_GT(day.world.agents.size(), 700u);
}

}  // namespace
}  // namespace mosspath
