#include "simulation/availability.h"

#include <spdlog/fmt/fmt.h>

#include <algorithm>
#include <cmath>
#include <utility>

namespace mosspath::simulation {
namespace {

using Shape = AvailabilityScenario::Shape;

constexpr double kSubmissionsUntil = 130;
constexpr double kFaultsFrom = 20;
constexpr double kFaultsUntil = 150;
constexpr double kQuietS = 320;    // time from the last fault or submission to the end of the day
constexpr double kServiceS = 240;  // mean time after which a user cancels a service
constexpr size_t kMachines = 24;
constexpr double kOverloadFactor = 3;
constexpr uint64_t kExtraFaultSeed = 1'000'003;

Shape ShapeOf(uint64_t seed) {
  return static_cast<Shape>(seed % static_cast<uint64_t>(Shape::kShapes));
}

size_t ControllersFor(uint64_t seed) {
  if (ShapeOf(seed) == Shape::kSlowHeartbeats) return 7;
  return 3 + seed / 4 % 5;
}

}  // namespace

config::Settings AvailabilityScenario::SettingsFor(uint64_t seed, bool lease_shards) {
  config::Settings settings = SmallSettings();
  settings.lease_shards = lease_shards;
  settings.memory_mb = 2;  // a budget of 40,000 tasks
  settings.teams = {{"desk", 0, 0, 0, 0}, {"archive", 0, 0, 0, 0}, {"tight", 0, 12, 0, 0}};
  settings.objectives = {{"wait", "search", 8, 0.9, 1}, {"finished", "nightly", 120, 0.9, 1}};
  if (ShapeOf(seed) == Shape::kSlowHeartbeats) {
    settings.heartbeat_s = 8;
    settings.agent_lease_s = 36;
    settings.cancel_within_s = 56;
  }
  if (ShapeOf(seed) == Shape::kTightQuotas) settings.teams[1].cpus_max = 30;
  return settings;
}

std::vector<wire::MachineType> AvailabilityScenario::TypesFor(uint64_t seed) {
  wire::MachineType small = SmallType();
  if (ShapeOf(seed) != Shape::kSlowHeartbeats) return {small};
  small.spot_price = 0.3;
  wire::MachineType large = small;
  large.name = "large";
  large.cpus = 32;
  large.memory_gb = 128;
  large.price = 4;
  large.spot_price = 1.2;
  large.zones = {"west"};
  return {small, large};
}

std::vector<Fault> AvailabilityScenario::Faults(uint64_t seed) {
  std::vector<Fault> faults = DrawFaults(seed, 1 + seed % 4, kFaultsFrom, kFaultsUntil);
  // Adds one more fault. Its kind cycles through all drawn kinds as the seeds increase.
  Fault extra = DrawFaults(seed + kExtraFaultSeed, 1, kFaultsFrom, kFaultsUntil).front();
  extra.kind = static_cast<Fault::Kind>(seed / 4 % kDrawnKinds);
  faults.push_back(extra);
  SortByTime(faults);
  return faults;
}

AvailabilityScenario::AvailabilityScenario(uint64_t seed, const std::vector<Fault>& faults,
                                           bool lease_shards)
    : SimulatedCluster(SettingsFor(seed, lease_shards), TypesFor(seed), ControllersFor(seed), seed),
      seed_(seed),
      shape_(ShapeOf(seed)),
      users_(*this) {
  AddMachines();
  const double load = shape_ == Shape::kOverload ? kOverloadFactor : 1;
  const auto jobs = [&](double count) { return static_cast<size_t>(std::lround(count * load)); };
  AddUsers({"search", wire::Priority::kCritical, 12, 1, 4, 0});
  AddUsers({"nightly", wire::Priority::kNormal, jobs(14), 1, 60, 8});
  AddUsers({"refill", wire::Priority::kLow, jobs(6), 1, 90, 10});
  users_.Begin();
  ScheduleFaults(faults);
}

void AvailabilityScenario::AddMachines() {
  world.capacity = kMachines;
  if (shape_ == Shape::kSlowHeartbeats) return;
  for (size_t i = 0; i < kMachines; ++i) {
    world.AddMachine("box", i % 2 == 0 ? "east" : "west", false);
  }
}

void AvailabilityScenario::AddUsers(const JobStream& stream) {
  for (size_t i = 0; i < stream.jobs; ++i) users_.Add(MakeUser(stream, i));
}

SimulatedUser AvailabilityScenario::MakeUser(const JobStream& stream, size_t number) {
  const size_t users = users_.all().size();
  const bool service = stream.run_s <= 0;
  SimulatedUser user;
  user.polls = true;
  wire::JobSpec& spec = user.spec;
  spec.id = fmt::format("req-{:06}", users);
  spec.team = users % 3 == 0 ? "archive" : "desk";
  spec.job_class = stream.job_class;
  spec.kind = service ? wire::JobKind::kService : wire::JobKind::kArray;
  spec.priority = stream.priority;
  // `size` is a fraction of the range from min_tasks to max_tasks. The cube makes most jobs small
  // and a few jobs large.
  const double size = std::pow(world.random.Uniform(0, 1), 3);
  const double additional_tasks = size * (stream.max_tasks - stream.min_tasks);
  spec.tasks = stream.min_tasks + static_cast<uint32_t>(std::lround(additional_tasks));
  spec.cpus = 1 + static_cast<double>(world.random.Below(2));
  spec.memory_gb = 2;
  spec.spot_allowed = !service;
  spec.image = "img-" + std::to_string(world.random.Below(5));
  spec.image_gb = 1;
  spec.estimated_run_s = stream.run_s;
  if (shape_ == Shape::kTightQuotas) {
    spec.single_zone = number % 4 == 1 && spec.tasks <= 20;
    spec.spread_over_zones = number % 4 == 2;
  }
  user.submits_at = number % 3 == 0 ? 0.5 : world.random.Uniform(1, kSubmissionsUntil);
  if (service) user.cancels_after_s = kServiceS * world.random.Uniform(0.5, 1.5);
  if (!service && number % 7 == 3) user.cancels_after_s = world.random.Uniform(1, 20);
  return user;
}

Outcome AvailabilityScenario::Run() {
  world.clock.RunUntil(std::max(world.rule_checker.faults_until(), kSubmissionsUntil) + kQuietS);
  world.rule_checker.CheckEndOfDay(static_cast<double>(kMachines) * SmallType().cpus);
  return {world.rule_checker.breaches(), MakeFigures(), world.decisions.number()};
}

std::vector<Figure> AvailabilityScenario::MakeFigures() const {
  const auto& users = users_.all();
  const auto accepted = std::count_if(
      users.begin(), users.end(), [](const auto& user) { return user.accepted_at.has_value(); });
  const auto gave_up =
      std::count_if(users.begin(), users.end(), [](const auto& user) { return user.gave_up; });
  return {{"seed", static_cast<double>(seed_)},
          {"shape", static_cast<double>(shape_)},
          {"controllers", static_cast<double>(controllers.size())},
          {"starts", static_cast<double>(world.rule_checker.starts())},
          {"jobs", static_cast<double>(users.size())},
          {"accepted", static_cast<double>(accepted)},
          {"gave_up", static_cast<double>(gave_up)},
          {"done", static_cast<double>(world.rule_checker.done_jobs())},
          {"cancelled_start_s", world.rule_checker.latest_cancelled_start_s()},
          {"latest_begin_s", world.rule_checker.latest_begin_s()},
          {"longest_unanswered_s", world.rule_checker.longest_unanswered_s()},
          {"repeated_requests", static_cast<double>(world.observed.repeated_requests)},
          {"repeated_starts", static_cast<double>(world.observed.repeated_starts)}};
}

}  // namespace mosspath::simulation
