#include "simulation/overload.h"

#include <spdlog/fmt/fmt.h>

#include <algorithm>
#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/tail_quantile.hpp>
#include <utility>

#include "simulation/store_keys.h"

namespace mosspath::simulation {
namespace {

constexpr double kFloodFrom = 10;
constexpr double kFloodTo = 90;
constexpr double kSubmissionsUntil = 100;  // end of the submissions of the teams that do not flood
constexpr double kEndOfDay = 420;
constexpr size_t kMachines = 40;
constexpr int kManyTeams = 200;
constexpr double kSharesTolerance = 1e-9;
const std::string kRegularTeam = "desk";  // submits the work that the deployment is sized for
const std::string kFloodTeam = "guest";
const std::string kSmallTeam = "small";  // submits little work compared with the other two teams

double Quantile(const std::vector<double>& values, double probability) {
  namespace acc = boost::accumulators;
  if (values.empty()) return 0;
  using Tail = acc::stats<acc::tag::tail_quantile<acc::right>>;
  acc::accumulator_set<double, Tail> set(acc::tag::tail<acc::right>::cache_size = values.size());
  for (const double value : values) set(value);
  return acc::quantile(set, acc::quantile_probability = probability);
}

std::string NameOfTeam(int number) { return fmt::format("team-{}", number); }

OverloadScenario::Shape ShapeOf(uint64_t seed) {
  constexpr auto kShapes = static_cast<uint64_t>(OverloadScenario::Shape::kShapes);
  return static_cast<OverloadScenario::Shape>(seed % kShapes);
}

size_t ControllersFor(uint64_t seed) {
  return 3 + seed / static_cast<uint64_t>(OverloadScenario::Shape::kShapes) % 5;
}

}  // namespace

config::Settings OverloadScenario::SettingsFor(uint64_t seed, bool lease_shards) {
  config::Settings settings = SmallSettings();
  settings.lease_shards = lease_shards;
  settings.teams = {{kRegularTeam, 0, 0, 0, 0}, {kFloodTeam, 0, 0, 0, 0}, {kSmallTeam, 0, 0, 0, 0}};
  if (ShapeOf(seed) == Shape::kManyTeams) {
    for (int i = 0; i < kManyTeams; ++i) settings.teams.push_back({NameOfTeam(i), 0, 0, 0, 0});
  }
  settings.objectives = {{"wait", "urgent", 10, 0.9, 1}, {"finished", "nightly", 120, 0.9, 1}};
  settings.memory_mb = 0.3;  // a budget of 6,000 tasks
  return settings;
}

OverloadScenario::OverloadScenario(uint64_t seed, const std::vector<Fault>& faults,
                                   bool lease_shards)
    : SimulatedCluster(SettingsFor(seed, lease_shards), {SmallType()}, ControllersFor(seed), seed),
      seed_(seed),
      shape_(ShapeOf(seed)),
      users_(*this) {
  AddMachines();
  if (shape_ == Shape::kFewWrites) {
    for (auto& controller : controllers) controller->SetAcceptanceRate(1);
  }
  AddRegularUsers();
  AddFlood();
  AdjustFloodingUsers();
  users_.pinned = [this](const SimulatedUser& user) {
    return shape_ == Shape::kOneController && user.spec.team == kFloodTeam;
  };
  users_.Begin();
  ScheduleFaults(faults);
}

// ---------------------------------------------------------------------------- the day

void OverloadScenario::AddMachines() {
  world.capacity = kMachines;
  for (size_t i = 0; i < kMachines; ++i) {
    world.AddMachine("box", i % 2 == 0 ? "east" : "west", false);
  }
  capacity_cpu_s_ = kEndOfDay * static_cast<double>(kMachines) * SmallType().cpus;
}

void OverloadScenario::AddRegularUsers() {
  const double until = kSubmissionsUntil;
  AddUsers({{kRegularTeam, "urgent"}, wire::Priority::kHigh, 30, 20, 4, 1, until});
  AddUsers({{kRegularTeam, "nightly"}, wire::Priority::kNormal, 40, 60, 8, 1, until});
  AddUsers({{kRegularTeam, "refill"}, wire::Priority::kLow, 12, 30, 10, 1, until});
  AddUsers({{kSmallTeam, "odd"}, wire::Priority::kLow, 40, 5, 5, 5, until});
}

void OverloadScenario::AddFlood() {
  const Group flood{kFloodTeam, "flood"};
  const auto low = wire::Priority::kLow;
  const auto normal = wire::Priority::kNormal;
  switch (shape_) {
    case Shape::kTinyJobs:
      AddUsers({flood, low, 500, 1, 5, kFloodFrom, kFloodTo});
      AddUsers({{kFloodTeam, "huge"}, low, 3, 2000, 2, kFloodFrom, kFloodTo});
      break;
    case Shape::kManyTeams:
      AddUsers({flood, low, 60, 150, 5, kFloodFrom, kFloodTo});
      for (int i = 0; i < kManyTeams; ++i) {
        AddUsers({{NameOfTeam(i), "little"}, low, 1, 4, 5, 5, kSubmissionsUntil});
      }
      break;
    case Shape::kServices:
      AddUsers({flood, normal, 60, 150, 5, kFloodFrom, kFloodTo});
      for (int i = 0; i < 3; ++i) AddUsers({{kFloodTeam, "service"}, low, 1, 40, 0, 5, 10});
      break;
    case Shape::kFaultyJobs:
      AddUsers({flood, low, 60, 150, 5, kFloodFrom, kFloodTo});
      break;
    default:
      AddUsers({flood, normal, 60, 150, 5, kFloodFrom, kFloodTo});
      break;
  }
}

void OverloadScenario::AddUsers(const JobStream& stream) {
  const bool service = stream.run_s <= 0;
  for (size_t i = 0; i < stream.jobs; ++i) {
    SimulatedUser user;
    wire::JobSpec& spec = user.spec;
    spec.id = fmt::format("req-{:06}", users_.all().size());
    spec.team = stream.group.team;
    spec.job_class = stream.group.job_class;
    spec.kind = service ? wire::JobKind::kService : wire::JobKind::kArray;
    spec.priority = stream.priority;
    spec.tasks = stream.tasks;
    spec.cpus = 1;
    spec.memory_gb = 1;
    spec.spot_allowed = true;
    spec.image = "img-" + stream.group.job_class;
    spec.image_gb = 0.5;
    spec.estimated_run_s = stream.run_s;
    user.submits_at = world.random.Uniform(stream.from, stream.to);
    user.polls = spec.team != kFloodTeam;
    Demand& demand = demand_by_team_[spec.team];
    demand.tasks += stream.tasks;
    demand.cpu_s += stream.tasks * (service ? kEndOfDay : stream.run_s);
    users_.Add(std::move(user));
  }
}

void OverloadScenario::AdjustFloodingUsers() {
  for (size_t i = 0; i < users_.all().size(); ++i) {
    SimulatedUser& user = users_.all()[i];
    if (user.spec.team != kFloodTeam) continue;
    if (shape_ == Shape::kFloodsAndCancels && i % 2 == 0) {
      user.cancels_after_s = world.random.Uniform(1, 10);
    }
    if (shape_ == Shape::kFaultyJobs && i % 3 == 0) world.faulty_jobs.insert(user.spec.id);
  }
}

double OverloadScenario::LiveTasks() {
  double tasks = 0;
  const auto& entries = world.store.entries();
  for (auto entry = entries.lower_bound(kJobPrefix);
       entry != entries.end() && entry->first.starts_with(kJobPrefix); ++entry) {
    tasks += world.specs[entry->first.substr(kJobPrefix.size())].tasks;
  }
  return tasks;
}

void OverloadScenario::Check() {
  SimulatedCluster::Check();
  most_live_tasks_ = std::max(most_live_tasks_, LiveTasks());
  double shares = 0;
  for (const auto& controller : controllers) {
    shares += controller->up() ? controller->budget_share() : 0;
  }
  if (shares > admission::kPlannedFraction + kSharesTolerance) {
    breaches_.push_back(
        fmt::format("plan: the controllers' shares add up to {:.4f} of the budget", shares));
  }
}

// ---------------------------------------------------------------------------- result

Outcome OverloadScenario::Run() {
  world.clock.RunUntil(kEndOfDay);
  const double budget = controllers.front()->budget();
  CheckBudget(budget);
  const GroupResults results = MeasureGroups();
  const Totals totals = CheckGroups(results, budget);
  Outcome outcome;
  outcome.breaches = world.rule_checker.breaches();
  outcome.breaches.insert(outcome.breaches.end(), breaches_.begin(), breaches_.end());
  outcome.figures = MakeFigures(results, totals, budget);
  outcome.decisions = world.decisions.number();
  return outcome;
}

// A controller admits tasks up to its share of the free budget, which it computes from what it has
// read of the store. If the controller has not read the newest jobs, the free budget that it
// computes is too large. The shares of all controllers add up to at most kPlannedFraction (a half),
// so the live tasks exceed the budget by at most half of the budget.
void OverloadScenario::CheckBudget(double budget) {
  if (most_live_tasks_ <= budget * (1 + admission::kPlannedFraction)) return;
  breaches_.push_back(fmt::format("budget: {:.0f} tasks of {:.0f}", most_live_tasks_, budget));
}

OverloadScenario::GroupResults OverloadScenario::MeasureGroups() const {
  GroupResults results;
  for (const SimulatedUser& user : users_.all()) {
    const wire::JobSpec& spec = user.spec;
    if (user.cancels_after_s || world.faulty_jobs.contains(spec.id)) continue;
    GroupResult& result = results[{spec.team, spec.job_class}];
    ++result.submitted;
    result.gave_up += user.gave_up ? 1 : 0;
    if (user.accepted_at) {
      ++result.accepted;
      result.accepted_after_s.push_back(*user.accepted_at - user.submits_at);
    }
    const bool done = spec.kind == wire::JobKind::kService ? user.accepted_at.has_value()
                                                           : world.rule_checker.IsDone(spec.id);
    result.done += done ? 1 : 0;
  }
  return results;
}

OverloadScenario::Totals OverloadScenario::CheckGroups(const GroupResults& results, double budget) {
  Totals totals;
  // A team is within its means if its whole demand fits into the equal share of the budget that
  // every team can have when all teams submit at once.
  const double means = budget / static_cast<double>(1 + demand_by_team_.size());
  for (const auto& [group, result] : results) {
    CheckStarvation(group, result);
    const double share = static_cast<double>(result.done) / static_cast<double>(result.submitted);
    if (group.team == kFloodTeam) {
      totals.flood_served = std::min(totals.flood_served, share);
      continue;
    }
    totals.least_served = std::min(totals.least_served, share);
    if (demand_by_team_[group.team].tasks > means) continue;
    totals.gave_up_within_means += result.gave_up;
    totals.accepted_within_means_after_s.insert(totals.accepted_within_means_after_s.end(),
                                                result.accepted_after_s.begin(),
                                                result.accepted_after_s.end());
    if (result.gave_up == 0) continue;
    breaches_.push_back(fmt::format("refused within its means: {} of {}: {} users gave up",
                                    group.job_class, group.team, result.gave_up));
  }
  return totals;
}

// Checks that at least half of a group's jobs are done, if the demand of all teams is below half of
// the machines' capacity. For the flood, the check covers only accepted jobs: the budget and the
// machines can't take the whole flood before its users stop retrying.
void OverloadScenario::CheckStarvation(const Group& group, const GroupResult& result) {
  const bool floods = group.team == kFloodTeam;
  if (floods && result.accepted == 0) return;
  double demanded_cpu_s = 0;
  for (const auto& [team, demand] : demand_by_team_) demanded_cpu_s += demand.cpu_s;
  if (demanded_cpu_s >= capacity_cpu_s_ / 2) return;
  const size_t expected = floods ? result.accepted : result.submitted;
  if (static_cast<double>(result.done) / static_cast<double>(expected) >= 0.5) return;
  breaches_.push_back(fmt::format("starved: {} of {}: {} of {} jobs done, {} accepted",
                                  group.job_class, group.team, result.done, result.submitted,
                                  result.accepted));
}

std::vector<Figure> OverloadScenario::MakeFigures(const GroupResults& results, const Totals& totals,
                                                  double budget) const {
  size_t refused = 0;
  for (const auto& controller : controllers) refused += controller->refused();
  std::vector<double> accepted_after_s;
  for (const auto& [group, result] : results) {
    if (group.team == kFloodTeam) continue;
    accepted_after_s.insert(accepted_after_s.end(), result.accepted_after_s.begin(),
                            result.accepted_after_s.end());
  }
  const auto& within_means = totals.accepted_within_means_after_s;
  return {{"seed", static_cast<double>(seed_)},
          {"shape", static_cast<double>(shape_)},
          {"controllers", static_cast<double>(controllers.size())},
          {"starts", static_cast<double>(world.rule_checker.starts())},
          {"least_served", totals.least_served},
          {"flood_served", totals.flood_served},
          {"most_live_of_budget", most_live_tasks_ / budget},
          {"refused", static_cast<double>(refused)},
          {"gave_up_within_means", static_cast<double>(totals.gave_up_within_means)},
          {"accepted_p50_s", Quantile(accepted_after_s, 0.5)},
          {"accepted_p99_s", Quantile(accepted_after_s, 0.99)},
          {"accepted_within_means_p50_s", Quantile(within_means, 0.5)},
          {"accepted_within_means_p99_s", Quantile(within_means, 0.99)}};
}

}  // namespace mosspath::simulation
