// Simulated days of several controllers under fixed seeds, with one kind of fault or several, and
// every rule checked.
#include <gtest/gtest.h>

#include <functional>
#include <string>
#include <vector>

#include "simulation/cluster.h"

namespace mosspath {
namespace {

using simulation::SimulatedController;
using simulation::SimulatedEnvironment;
using simulation::SmallSettings;
using simulation::SmallType;

struct Trouble {
  bool crashes = false;
  bool cuts = false;        // controllers from the state service or from workers
  bool partitions = false;  // a zone's workers from the others
  bool outages = false;
  bool deaths = false;
  bool sick = false;
  bool freezes = false;  // controllers stand still, shorter and longer than grants and leases
  bool gone = false;     // controllers without power for long, several at once
  bool unread = false;   // controllers renew but can't read, one or all
  bool blocks = false;   // controllers hold blocks
  bool apart = false;    // controllers are cut from each other
};

config::Settings With(config::Settings s, const Trouble& trouble) {
  s.lease_shards = trouble.blocks;
  return s;
}

class Day : public simulation::SimulatedCluster {
 public:
  Day(uint64_t seed, Trouble trouble)
      : SimulatedCluster(With(SmallSettings(), trouble), {SmallType()}, 3, seed),
        blocks_(trouble.blocks) {
    for (int i = 0; i < 8; ++i) world.AddMachine("box", i % 2 == 0 ? "east" : "west", i >= 6);
    for (int i = 0; i < 30; ++i) {
      world.clock.At(world.random.Uniform(0, 90), [this, i] { SubmitOne(i); });
    }
    for (int i = 0; i < 5; ++i) Plan(trouble);
    world.clock.RunUntil(trouble.blocks ? 300 : 240);
  }

  uint64_t held_starts() const {
    uint64_t n = 0;
    for (const auto& c : controllers) n += c->holder_starts();
    return n;
  }
  std::string Unfinished() {
    std::string out;
    for (const auto& [key, pair] : world.store.entries()) {
      if (key.starts_with("job/")) out += key + "\n";
    }
    return out;
  }

 private:
  void SubmitOne(int i) {
    wire::JobSpec s;
    s.id = "req-" + std::to_string(100000 + i);
    s.job_class = "work";
    s.team = i % 3 == 0 ? "tight" : "free";
    s.priority = static_cast<wire::Priority>(i % 3);
    s.tasks = 1 + static_cast<uint32_t>(world.random.Below(12));
    s.cpus = 1 + static_cast<double>(world.random.Below(3));
    s.memory_gb = 2;
    s.image = "img-" + std::to_string(i % 4);
    s.image_gb = 1;
    // With blocks these are the leader's, so there are fewer.
    s.single_zone = i % (blocks_ ? 14 : 7) == 1;
    s.spread_over_zones = i % (blocks_ ? 14 : 7) == 2;
    if (i % 7 == 3) s.zone = "west";
    s.spot_allowed = i % 2 == 0;
    s.estimated_run_s = world.random.Uniform(2, 12);
    world.Accept(s);
    if (i % 6 == 5) {
      world.clock.After(world.random.Uniform(1, 15), [this, id = s.id] { Cancel(id); });
    }
  }

  void Cancel(const std::string& id) {
    SimulatedController& asked = Any();
    if (!world.store.up() || !asked.up()) return;
    if (const uint64_t revision = world.Cancel(id); revision != 0) {
      asked.LearnCancelled(id, revision);
      world.rule_checker.OnCancellationConfirmed(id, world.clock.now());
    }
  }

  SimulatedController& Any() { return *controllers[world.random.Below(controllers.size())]; }
  SimulatedController& Leader() {
    return SimulatedCluster::Leader(world.random.Below(controllers.size()));
  }

  void Plan(const Trouble& t) {
    auto& w = world;
    const auto at = [&](std::function<void()> f) {
      w.clock.At(w.random.Uniform(10, 110), std::move(f));
    };
    if (t.crashes) {
      at([this] { Leader().Crash(world.random.Uniform(0.5, 6)); });
      at([this] {
        if (world.random.Below(3) == 0) {
          for (auto& c : controllers) c->Crash(3);
        }
      });
    }
    if (t.freezes) {
      at([this] { Leader().Freeze(world.random.Uniform(0.2, 3)); });
      at([this] {
        // At any step of a takeover, the successor too.
        Leader().Freeze(world.random.Uniform(1, 25));
        for (int i = 0; i < 3; ++i) {
          world.clock.After(world.random.Uniform(0.5, 8), [this] {
            if (world.random.Below(2) == 0) Leader().Freeze(world.random.Uniform(0.5, 20));
          });
        }
      });
    }
    if (t.gone) {
      at([this] {
        const double s = world.random.Uniform(10, 40);
        Any().Crash(s);
        if (world.random.Below(2) == 0) Any().Crash(s);
      });
      at([this] {
        // One is left, and stands still until the workers' leases are over.
        SimulatedController& left = Leader();
        for (auto& c : controllers) {
          if (c.get() != &left) c->Crash(60);
        }
        world.clock.After(3, [this, &left] {
          left.Freeze(world.settings.agent_lease_s * world.random.Uniform(1.2, 2));
        });
      });
    }
    if (t.unread) {
      at([this] { Leader().FailReads(world.random.Uniform(3, 40)); });
      at([this] {
        const double s = world.random.Uniform(3, 30);
        for (auto& c : controllers) c->FailReads(s);
      });
    }
    if (t.cuts) {
      at([this] {
        const std::string name = Leader().name();
        const double s = world.random.Uniform(2, 25);
        const bool hold = world.random.Below(2) == 0;
        const auto kind = world.random.Below(3);
        if (kind != 1) world.network.Cut(name, "state", s, hold);
        if (kind == 0) return;
        for (auto& [id, m] : world.agents) world.network.Cut(name, id, s, hold);
      });
    }
    if (t.partitions) {
      at([this] {
        const double s = world.random.Uniform(3, 25);
        const auto which = world.random.Below(2);
        size_t i = 0;
        for (auto& [id, m] : world.agents) {
          if (i++ % 2 != which) continue;
          for (auto& c : controllers) world.network.Cut(c->name(), id, s, true);
        }
      });
    }
    if (t.apart) {
      at([this] {
        const std::string name = Any().name();
        const double s = world.random.Uniform(2, 40);
        const bool hold = world.random.Below(2) == 0;
        for (const auto& other : world.nodes) {
          if (other != name) world.network.Cut(name, other, s, hold);
        }
        if (world.random.Below(2) == 0) world.network.Cut(name, "state", s, hold);
      });
      at([this] {
        // One that leads or holds, from everything outside its zone.
        const std::string name = Any().name();
        const std::string zone = world.ZoneOf(name);
        const double s = world.random.Uniform(5, 45);
        world.network.Cut(name, "state", s, true);
        for (const auto& other : world.nodes) {
          if (world.ZoneOf(other) != zone) world.network.Cut(name, other, s, true);
        }
        for (auto& [id, worker] : world.agents) {
          const bool inside = worker->zone() == zone;
          for (const auto& node : world.nodes) {
            if ((world.ZoneOf(node) == zone) != inside) world.network.Cut(node, id, s, true);
          }
        }
      });
    }
    if (t.outages) {
      at([this] {
        if (world.store.up()) world.store.Outage(world.random.Uniform(1, 15));
      });
    }
    if (t.deaths) {
      at([this] {
        auto it = world.agents.begin();
        std::advance(it, static_cast<std::ptrdiff_t>(world.random.Below(world.agents.size())));
        const std::string zone = world.random.Below(2) == 0 ? "east" : "west";
        it->second->Terminate();
        world.clock.After(5, [this, zone] { world.AddMachine("box", zone, false); });
      });
    }
    if (t.sick) {
      at([this] {
        world.agents.begin()->second->fails_all_tasks = true;
        world.clock.After(2, [this] { world.AddMachine("box", "east", false); });
      });
    }
  }

  const bool blocks_;
};

std::string All(const std::vector<std::string>& lines) {
  std::string out;
  for (const auto& l : lines) out += l + "\n";
  return out;
}

void ExpectCleanDays(const Trouble& trouble, uint64_t first_seed, int days) {
  uint64_t held = 0;
  for (int d = 0; d < days; ++d) {
    Day day(first_seed + static_cast<uint64_t>(d), trouble);
    EXPECT_TRUE(day.world.rule_checker.breaches().empty())
        << "seed " << first_seed + static_cast<uint64_t>(d) << "\n"
        << All(day.world.rule_checker.breaches());
    // 30 jobs, up to 5 of them cancelled: the rest must get done, or nothing was tested.
    EXPECT_GE(day.world.rule_checker.done_jobs(), 22u)
        << "seed " << first_seed + static_cast<uint64_t>(d) << "\n"
        << day.Unfinished();
    held += day.held_starts();
  }
  // Most of the starts; a day whose controllers are mostly gone has few.
  if (trouble.blocks) {
    EXPECT_GT(held, 8u * static_cast<uint64_t>(days));
  }
}

TEST(Simulation, QuietDays) { ExpectCleanDays({}, 100, 3); }
TEST(Simulation, CrashesOneAndAll) { ExpectCleanDays({.crashes = true}, 200, 6); }
TEST(Simulation, CutsFromStateAndWorkers) { ExpectCleanDays({.cuts = true}, 300, 8); }
TEST(Simulation, Partitions) { ExpectCleanDays({.partitions = true}, 400, 6); }
TEST(Simulation, StateOutages) { ExpectCleanDays({.outages = true}, 500, 6); }
TEST(Simulation, MachinesDieAndFail) { ExpectCleanDays({.deaths = true, .sick = true}, 600, 6); }
TEST(Simulation, ControllersStandStill) { ExpectCleanDays({.freezes = true}, 800, 12); }
TEST(Simulation, ControllersAreGoneForLong) {
  ExpectCleanDays({.freezes = true, .gone = true}, 900, 12);
}
TEST(Simulation, ControllersCannotRead) { ExpectCleanDays({.unread = true}, 1100, 8); }
TEST(Simulation, EverythingTogether) {
  ExpectCleanDays({.crashes = true,
                   .cuts = true,
                   .partitions = true,
                   .outages = true,
                   .deaths = true,
                   .sick = true},
                  700, 20);
  ExpectCleanDays({.crashes = true,
                   .cuts = true,
                   .partitions = true,
                   .outages = true,
                   .deaths = true,
                   .sick = true,
                   .freezes = true,
                   .gone = true,
                   .unread = true},
                  1000, 16);
}

TEST(Simulation, BlocksOnQuietDays) { ExpectCleanDays({.blocks = true}, 2100, 3); }
TEST(Simulation, BlocksAndCrashes) { ExpectCleanDays({.crashes = true, .blocks = true}, 2200, 8); }
TEST(Simulation, BlocksAndCuts) {
  ExpectCleanDays({.cuts = true, .partitions = true, .blocks = true}, 2300, 8);
}
TEST(Simulation, BlocksAndControllersApart) {
  ExpectCleanDays({.blocks = true, .apart = true}, 2400, 12);
}
TEST(Simulation, BlocksAndOutages) {
  ExpectCleanDays({.outages = true, .unread = true, .blocks = true}, 2500, 12);
}
TEST(Simulation, BlocksAndDeaths) {
  ExpectCleanDays({.deaths = true, .sick = true, .blocks = true}, 2600, 6);
}
TEST(Simulation, BlocksAndStandStills) {
  ExpectCleanDays({.freezes = true, .gone = true, .blocks = true}, 2700, 12);
}
TEST(Simulation, BlocksAndEverything) {
  ExpectCleanDays({.crashes = true,
                   .cuts = true,
                   .partitions = true,
                   .outages = true,
                   .deaths = true,
                   .sick = true,
                   .freezes = true,
                   .gone = true,
                   .unread = true,
                   .blocks = true,
                   .apart = true},
                  2800, 20);
}

}  // namespace
}  // namespace mosspath
