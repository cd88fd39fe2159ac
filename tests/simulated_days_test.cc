// Simulated days of several controllers with fixed seeds and one or more kinds of faults. The rule
// checker checks every rule.
#include <gtest/gtest.h>

#include <functional>
#include <string>
#include <utility>
#include <vector>

#include "simulation/cluster.h"
#include "simulation_helpers.h"

namespace mosspath {
namespace {

using simulation::SimulatedController;
using simulation::SimulatedEnvironment;
using simulation::SmallSettings;
using simulation::SmallType;

// The kinds of faults that a day injects, and whether controllers hold shards.
struct Faults {
  bool crashes = false;          // crashes of one controller or all
  bool cuts = false;             // cuts between a controller and the store or the agents
  bool zone_partitions = false;  // partitions between a zone's agents and all controllers
  bool outages = false;          // outages of the key-value store
  bool terminations = false;     // terminations of machines
  bool faulty_machines = false;  // machines on which all tasks fail
  bool stalls = false;           // stalls of controllers, shorter and longer than their leases
  bool long_crashes = false;     // long crashes of several controllers at once
  bool failing_reads = false;    // one or all controllers renew their leases but cannot read
  bool shards = false;           // controllers hold shards
  bool controller_partitions = false;  // partitions between controllers
};

config::Settings SettingsFor(const Faults& faults) {
  config::Settings settings = SmallSettings();
  settings.lease_shards = faults.shards;
  return settings;
}

// One day of three controllers, eight machines and thirty jobs. The constructor runs the whole day.
class Day : public simulation::SimulatedCluster {
 public:
  Day(uint64_t seed, Faults faults)
      : SimulatedCluster(SettingsFor(faults), {SmallType()}, 3, seed), shards_(faults.shards) {
    for (int i = 0; i < 8; ++i) world.AddMachine("box", i % 2 == 0 ? "east" : "west", i >= 6);
    for (int i = 0; i < 30; ++i) {
      world.clock.At(world.random.Uniform(0, 90), [this, i] { SubmitOne(i); });
    }
    for (int i = 0; i < 5; ++i) ScheduleFaultKinds(faults);
    world.clock.RunUntil(faults.shards ? 300 : 240);
  }

  uint64_t holder_starts() const {
    uint64_t n = 0;
    for (const auto& c : controllers) n += c->holder_starts();
    return n;
  }
  std::string UnfinishedJobs() {
    std::string out;
    for (const auto& [key, pair] : world.store.entries()) {
      if (key.starts_with("job/")) out += key + "\n";
    }
    return out;
  }

 private:
  void SubmitOne(int i) {
    wire::JobSpec spec;
    spec.id = "req-" + std::to_string(100000 + i);
    spec.job_class = "work";
    spec.team = i % 3 == 0 ? "tight" : "free";
    spec.priority = static_cast<wire::Priority>(i % 3);
    spec.tasks = 1 + static_cast<uint32_t>(world.random.Below(12));
    spec.cpus = 1 + static_cast<double>(world.random.Below(3));
    spec.memory_gb = 2;
    spec.image = "img-" + std::to_string(i % 4);
    spec.image_gb = 1;
    // The leader itself places jobs with these zone constraints, also if controllers hold shards.
    // Days with shards therefore have fewer such jobs.
    spec.single_zone = i % (shards_ ? 14 : 7) == 1;
    spec.spread_over_zones = i % (shards_ ? 14 : 7) == 2;
    if (i % 7 == 3) spec.zone = "west";
    spec.spot_allowed = i % 2 == 0;
    spec.estimated_run_s = world.random.Uniform(2, 12);
    world.Accept(spec);
    if (i % 6 == 5) {
      world.clock.After(world.random.Uniform(1, 15), [this, id = spec.id] { Cancel(id); });
    }
  }

  void Cancel(const std::string& id) {
    SimulatedController& controller = Any();
    if (!world.store.up() || !controller.up()) return;
    if (const uint64_t revision = world.Cancel(id); revision != 0) {
      controller.LearnCancelled(id, revision);
      world.rule_checker.OnCancellationConfirmed(id, world.clock.now());
    }
  }

  SimulatedController& Any() { return *controllers[world.random.Below(controllers.size())]; }
  SimulatedController& Leader() {
    return SimulatedCluster::Leader(world.random.Below(controllers.size()));
  }

  // Schedules the faults of each enabled kind at random times.
  void ScheduleFaultKinds(const Faults& faults) {
    if (faults.crashes) ScheduleCrashes();
    if (faults.stalls) ScheduleStalls();
    if (faults.long_crashes) ScheduleLongCrashes();
    if (faults.failing_reads) ScheduleFailingReads();
    if (faults.cuts) ScheduleCuts();
    if (faults.zone_partitions) ScheduleZonePartitions();
    if (faults.controller_partitions) ScheduleControllerPartitions();
    if (faults.outages) ScheduleOutages();
    if (faults.terminations) ScheduleTerminations();
    if (faults.faulty_machines) ScheduleFaultyMachines();
  }
  void AtRandomTime(std::function<void()> fault) {
    world.clock.At(world.random.Uniform(10, 110), std::move(fault));
  }

  void ScheduleCrashes() {
    AtRandomTime([this] { Leader().Crash(world.random.Uniform(0.5, 6)); });
    AtRandomTime([this] {
      if (world.random.Below(3) == 0) {
        for (auto& c : controllers) c->Crash(3);
      }
    });
  }
  void ScheduleStalls() {
    AtRandomTime([this] { Leader().Freeze(world.random.Uniform(0.2, 3)); });
    AtRandomTime([this] {
      // Further stalls may hit each step of the failover, and also the new leader.
      Leader().Freeze(world.random.Uniform(1, 25));
      for (int i = 0; i < 3; ++i) {
        world.clock.After(world.random.Uniform(0.5, 8), [this] {
          if (world.random.Below(2) == 0) Leader().Freeze(world.random.Uniform(0.5, 20));
        });
      }
    });
  }
  void ScheduleLongCrashes() {
    AtRandomTime([this] {
      const double duration_s = world.random.Uniform(10, 40);
      Any().Crash(duration_s);
      if (world.random.Below(2) == 0) Any().Crash(duration_s);
    });
    AtRandomTime([this] {
      // Only one controller is left, and it stalls until the agents' leases have expired.
      SimulatedController& left = Leader();
      for (auto& c : controllers) {
        if (c.get() != &left) c->Crash(60);
      }
      world.clock.After(3, [this, &left] {
        left.Freeze(world.settings.agent_lease_s * world.random.Uniform(1.2, 2));
      });
    });
  }
  void ScheduleFailingReads() {
    AtRandomTime([this] { Leader().FailReads(world.random.Uniform(3, 40)); });
    AtRandomTime([this] {
      const double duration_s = world.random.Uniform(3, 30);
      for (auto& c : controllers) c->FailReads(duration_s);
    });
  }
  void ScheduleCuts() {
    AtRandomTime([this] {
      const std::string name = Leader().name();
      const double duration_s = world.random.Uniform(2, 25);
      const bool hold = world.random.Below(2) == 0;
      const auto kind = world.random.Below(3);
      if (kind != 1) world.network.Cut(name, "state", duration_s, hold);
      if (kind == 0) return;
      for (auto& [id, m] : world.agents) world.network.Cut(name, id, duration_s, hold);
    });
  }
  void ScheduleZonePartitions() {
    AtRandomTime([this] {
      const double duration_s = world.random.Uniform(3, 25);
      const auto which = world.random.Below(2);
      size_t i = 0;
      for (auto& [id, m] : world.agents) {
        if (i++ % 2 != which) continue;
        for (auto& c : controllers) world.network.Cut(c->name(), id, duration_s, true);
      }
    });
  }
  void ScheduleControllerPartitions() {
    AtRandomTime([this] {
      const std::string name = Any().name();
      const double duration_s = world.random.Uniform(2, 40);
      const bool hold = world.random.Below(2) == 0;
      for (const auto& other : world.nodes) {
        if (other != name) world.network.Cut(name, other, duration_s, hold);
      }
      if (world.random.Below(2) == 0) world.network.Cut(name, "state", duration_s, hold);
    });
    AtRandomTime([this] {
      // Partitions a controller, the leader or a holder, from everything outside its zone. No
      // messages pass between controllers and agents across the zone's border.
      const std::string name = Any().name();
      const std::string zone = world.ZoneOf(name);
      const double duration_s = world.random.Uniform(5, 45);
      world.network.Cut(name, "state", duration_s, true);
      for (const auto& other : world.nodes) {
        if (world.ZoneOf(other) != zone) world.network.Cut(name, other, duration_s, true);
      }
      for (auto& [id, agent] : world.agents) {
        const bool inside = agent->zone() == zone;
        for (const auto& node : world.nodes) {
          if ((world.ZoneOf(node) == zone) != inside) world.network.Cut(node, id, duration_s, true);
        }
      }
    });
  }
  void ScheduleOutages() {
    AtRandomTime([this] {
      if (world.store.up()) world.store.Outage(world.random.Uniform(1, 15));
    });
  }
  void ScheduleTerminations() {
    AtRandomTime([this] {
      auto it = world.agents.begin();
      std::advance(it, static_cast<std::ptrdiff_t>(world.random.Below(world.agents.size())));
      const std::string zone = world.random.Below(2) == 0 ? "east" : "west";
      it->second->Terminate();
      world.clock.After(5, [this, zone] { world.AddMachine("box", zone, false); });
    });
  }
  void ScheduleFaultyMachines() {
    AtRandomTime([this] {
      world.agents.begin()->second->fails_all_tasks = true;
      world.clock.After(2, [this] { world.AddMachine("box", "east", false); });
    });
  }

  const bool shards_;
};

void ExpectCleanDays(const Faults& faults, uint64_t first_seed, int days) {
  uint64_t holder_starts = 0;
  for (int d = 0; d < days; ++d) {
    const uint64_t seed = first_seed + static_cast<uint64_t>(d);
    Day day(seed, faults);
    EXPECT_TRUE(test::NoBreaches(day.world)) << "seed " << seed;
    // Up to 5 of the 30 jobs are cancelled. Most of the other jobs must complete; otherwise
    // the day tests nothing.
    EXPECT_GE(day.world.rule_checker.done_jobs(), 22u) << "seed " << seed << "\n"
                                                       << day.UnfinishedJobs();
    holder_starts += day.holder_starts();
  }
  // Holders start most tasks. The bound is low, because a day whose controllers are mostly down has
  // few starts.
  if (faults.shards) {
    EXPECT_GT(holder_starts, 8u * static_cast<uint64_t>(days));
  }
}

TEST(SimulatedDaysTest, QuietDays) { ExpectCleanDays({}, 100, 3); }
TEST(SimulatedDaysTest, CrashesOneAndAll) { ExpectCleanDays({.crashes = true}, 200, 6); }
TEST(SimulatedDaysTest, CutsFromStoreAndAgents) { ExpectCleanDays({.cuts = true}, 300, 8); }
TEST(SimulatedDaysTest, Partitions) { ExpectCleanDays({.zone_partitions = true}, 400, 6); }
TEST(SimulatedDaysTest, StoreOutages) { ExpectCleanDays({.outages = true}, 500, 6); }
TEST(SimulatedDaysTest, MachinesDieAndFail) {
  ExpectCleanDays({.terminations = true, .faulty_machines = true}, 600, 6);
}
TEST(SimulatedDaysTest, ControllersStall) { ExpectCleanDays({.stalls = true}, 800, 12); }
TEST(SimulatedDaysTest, ControllersAreDownForLong) {
  ExpectCleanDays({.stalls = true, .long_crashes = true}, 900, 12);
}
TEST(SimulatedDaysTest, ControllersCannotRead) {
  ExpectCleanDays({.failing_reads = true}, 1100, 8);
}
TEST(SimulatedDaysTest, EverythingTogether) {
  ExpectCleanDays({.crashes = true,
                   .cuts = true,
                   .zone_partitions = true,
                   .outages = true,
                   .terminations = true,
                   .faulty_machines = true},
                  700, 20);
  ExpectCleanDays({.crashes = true,
                   .cuts = true,
                   .zone_partitions = true,
                   .outages = true,
                   .terminations = true,
                   .faulty_machines = true,
                   .stalls = true,
                   .long_crashes = true,
                   .failing_reads = true},
                  1000, 16);
}

TEST(SimulatedDaysTest, ShardsOnQuietDays) { ExpectCleanDays({.shards = true}, 2100, 3); }
TEST(SimulatedDaysTest, ShardsAndCrashes) {
  ExpectCleanDays({.crashes = true, .shards = true}, 2200, 8);
}
TEST(SimulatedDaysTest, ShardsAndCuts) {
  ExpectCleanDays({.cuts = true, .zone_partitions = true, .shards = true}, 2300, 8);
}
TEST(SimulatedDaysTest, ShardsAndPartitionedControllers) {
  ExpectCleanDays({.shards = true, .controller_partitions = true}, 2400, 12);
}
TEST(SimulatedDaysTest, ShardsAndOutages) {
  ExpectCleanDays({.outages = true, .failing_reads = true, .shards = true}, 2500, 12);
}
TEST(SimulatedDaysTest, ShardsAndMachineDeaths) {
  ExpectCleanDays({.terminations = true, .faulty_machines = true, .shards = true}, 2600, 6);
}
TEST(SimulatedDaysTest, ShardsAndStalls) {
  ExpectCleanDays({.stalls = true, .long_crashes = true, .shards = true}, 2700, 12);
}
TEST(SimulatedDaysTest, ShardsAndEverything) {
  ExpectCleanDays({.crashes = true,
                   .cuts = true,
                   .zone_partitions = true,
                   .outages = true,
                   .terminations = true,
                   .faulty_machines = true,
                   .stalls = true,
                   .long_crashes = true,
                   .failing_reads = true,
                   .shards = true,
                   .controller_partitions = true},
                  2800, 20);
}

}  // namespace
}  // namespace mosspath
