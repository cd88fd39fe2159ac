#include "simulation/addition.h"

#include <spdlog/fmt/fmt.h>

#include <algorithm>
#include <cmath>

namespace mosspath::simulation {
namespace {

constexpr double kWorkUntil = 130;   // jobs are submitted
constexpr double kTroubleFrom = 20;  // faults begin
constexpr double kTroubleUntil = 150;
constexpr double kAfterwards = 320;  // from when the last trouble is over to the end of the day
constexpr double kServiceS = 240;    // a service's user cancels it after this
constexpr size_t kMachines = 24;

AvailabilityScenario::Shape ShapeOf(uint64_t seed) {
  return static_cast<AvailabilityScenario::Shape>(
      seed % static_cast<uint64_t>(AvailabilityScenario::Shape::kShapes));
}

}  // namespace

config::Settings AvailabilityScenario::Of(uint64_t seed, bool blocks) {
  config::Settings s = SmallSettings();
  s.lease_shards = blocks;
  s.memory_mb = 2;  // 40,000 tasks
  s.teams = {{"desk", 0, 0, 0, 0}, {"archive", 0, 0, 0, 0}, {"tight", 0, 12, 0, 0}};
  s.objectives = {{"wait", "search", 8, 0.9, 1}, {"finished", "nightly", 120, 0.9, 1}};
  if (ShapeOf(seed) == Shape::kSlowReports) {
    s.heartbeat_s = 8;
    s.agent_lease_s = 36;
    s.cancel_within_s = 56;
  }
  if (ShapeOf(seed) == Shape::kTight) s.teams[1].cpus_max = 30;
  return s;
}

std::vector<wire::MachineType> AvailabilityScenario::Types(uint64_t seed) {
  wire::MachineType t = SmallType();
  if (ShapeOf(seed) != Shape::kSlowReports) return {t};
  t.spot_price = 0.3;
  wire::MachineType large = t;
  large.name = "large";
  large.cpus = 32;
  large.memory_gb = 128;
  large.price = 4;
  large.spot_price = 1.2;
  large.zones = {"west"};
  return {t, large};
}

std::vector<Fault> AvailabilityScenario::Faults(uint64_t seed) {
  // One of each kind comes round, beside others.
  std::vector<Fault> faults = Draw(seed, 1 + seed % 4, kTroubleFrom, kTroubleUntil);
  for (Fault& f : Draw(seed + 1'000'003, 1, kTroubleFrom, kTroubleUntil)) {
    f.kind = static_cast<Fault::Kind>(seed / 4 % static_cast<uint64_t>(Fault::Kind::kDrawn));
    faults.push_back(f);
  }
  std::sort(faults.begin(), faults.end(), [](const auto& a, const auto& b) { return a.at < b.at; });
  return faults;
}

AvailabilityScenario::AvailabilityScenario(uint64_t seed, const std::vector<Fault>& faults,
                                           bool blocks)
    : SimulatedCluster(Of(seed, blocks), Types(seed),
                       ShapeOf(seed) == Shape::kSlowReports ? 7 : 3 + seed / 4 % 5, seed),
      seed_(seed),
      shape_(ShapeOf(seed)),
      users_(*this) {
  world.capacity = kMachines;
  if (shape_ != Shape::kSlowReports) {
    for (size_t i = 0; i < kMachines; ++i) {
      world.AddMachine("box", i % 2 == 0 ? "east" : "west", false);
    }
  }
  const double load = shape_ == Shape::kOverload ? 3 : 1;
  const auto times = [&](double jobs) { return static_cast<size_t>(std::lround(jobs * load)); };
  Stream("search", wire::Priority::kCritical, 12, 1, 4, 0);
  Stream("nightly", wire::Priority::kNormal, times(14), 1, 60, 8);
  Stream("refill", wire::Priority::kLow, times(6), 1, 90, 10);
  users_.Begin();
  Plan(faults);
}

void AvailabilityScenario::Stream(const std::string& job_class, wire::Priority rank, size_t jobs,
                                  uint32_t least, uint32_t most, double run_s) {
  for (size_t i = 0; i < jobs; ++i) {
    SimulatedUser u;
    u.polls = true;
    wire::JobSpec& s = u.spec;
    s.id = fmt::format("req-{:06}", users_.all().size());
    s.team = users_.all().size() % 3 == 0 ? "archive" : "desk";
    s.job_class = job_class;
    s.kind = run_s > 0 ? wire::JobKind::kArray : wire::JobKind::kService;
    s.priority = rank;
    // Few are large.
    const double size = std::pow(world.random.Uniform(0, 1), 3);
    s.tasks = least + static_cast<uint32_t>(std::lround(size * (most - least)));
    s.cpus = 1 + static_cast<double>(world.random.Below(2));
    s.memory_gb = 2;
    s.spot_allowed = run_s > 0;
    s.image = "img-" + std::to_string(world.random.Below(5));
    s.image_gb = 1;
    s.estimated_run_s = run_s;
    if (shape_ == Shape::kTight) {
      s.single_zone = i % 4 == 1 && s.tasks <= 20;
      s.spread_over_zones = i % 4 == 2;
    }
    u.asked = i % 3 == 0 ? 0.5 : world.random.Uniform(1, kWorkUntil);
    if (run_s <= 0) u.cancels_after = kServiceS * world.random.Uniform(0.5, 1.5);
    if (run_s > 0 && i % 7 == 3) u.cancels_after = world.random.Uniform(1, 20);
    users_.Add(std::move(u));
  }
}

Outcome AvailabilityScenario::Run() {
  const double end = std::max(world.rule_checker.faults_until(), kWorkUntil) + kAfterwards;
  world.clock.RunUntil(end);
  world.rule_checker.CheckEndOfDay(static_cast<double>(kMachines) * SmallType().cpus);
  Outcome out;
  out.breaches = world.rule_checker.breaches();
  out.decisions = world.decisions.number();
  size_t accepted = 0;
  size_t gave_up = 0;
  for (const SimulatedUser& u : users_.all()) {
    accepted += u.accepted > 0 ? 1 : 0;
    gave_up += u.gave_up ? 1 : 0;
  }
  out.figures = {{"seed", static_cast<double>(seed_)},
                 {"shape", static_cast<double>(shape_)},
                 {"controllers", static_cast<double>(controllers.size())},
                 {"starts", static_cast<double>(world.rule_checker.starts())},
                 {"jobs", static_cast<double>(users_.all().size())},
                 {"accepted", static_cast<double>(accepted)},
                 {"gave_up", static_cast<double>(gave_up)},
                 {"done", static_cast<double>(world.rule_checker.done_jobs())},
                 {"cancelled_start_s", world.rule_checker.latest_cancelled_start_s()},
                 {"latest_begin_s", world.rule_checker.latest_begin_s()},
                 {"longest_unanswered_s", world.rule_checker.longest_unanswered_s()}};
  return out;
}

}  // namespace mosspath::simulation
