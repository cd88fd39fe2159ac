#include "simulation/overload.h"

#include <spdlog/fmt/fmt.h>

#include <algorithm>
#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/tail_quantile.hpp>

namespace mosspath::simulation {
namespace {

constexpr double kFloodFrom = 10;
constexpr double kFloodTo = 90;
constexpr double kEnd = 420;
constexpr size_t kMachines = 40;
const std::string kDesk = "desk";    // whose work is the deployment's
const std::string kGuest = "guest";  // who floods
const std::string kSmall = "small";  // within its means, beside them

double Quantile(const std::vector<double>& values, double q) {
  namespace acc = boost::accumulators;
  if (values.empty()) return 0;
  using Tail = acc::stats<acc::tag::tail_quantile<acc::right>>;
  acc::accumulator_set<double, Tail> set(acc::tag::tail<acc::right>::cache_size = values.size());
  for (const double v : values) set(v);
  return acc::quantile(set, acc::quantile_probability = q);
}

}  // namespace

config::Settings OverloadScenario::Of(uint64_t seed, bool blocks) {
  config::Settings s = SmallSettings();
  s.lease_shards = blocks;
  s.teams = {{kDesk, 0, 0, 0, 0}, {kGuest, 0, 0, 0, 0}, {kSmall, 0, 0, 0, 0}};
  if (static_cast<Shape>(seed % static_cast<uint64_t>(Shape::kShapes)) == Shape::kManyTeams) {
    for (int i = 0; i < 200; ++i) s.teams.push_back({fmt::format("team-{}", i), 0, 0, 0, 0});
  }
  s.objectives = {{"wait", "urgent", 10, 0.9, 1}, {"finished", "nightly", 120, 0.9, 1}};
  s.memory_mb = 0.3;  // 6,000 tasks
  return s;
}

OverloadScenario::OverloadScenario(uint64_t seed, const std::vector<Fault>& faults, bool blocks)
    : SimulatedCluster(Of(seed, blocks), {SmallType()},
                       3 + seed / static_cast<uint64_t>(Shape::kShapes) % 5, seed),
      seed_(seed),
      shape_(static_cast<Shape>(seed % static_cast<uint64_t>(Shape::kShapes))),
      users_(*this) {
  world.capacity = kMachines;
  for (size_t i = 0; i < kMachines; ++i)
    world.AddMachine("box", i % 2 == 0 ? "east" : "west", false);
  if (shape_ == Shape::kFewChanges) {
    for (auto& c : controllers) c->ChangesASecond(1);
  }
  capacity_ = kEnd * static_cast<double>(kMachines) * SmallType().cpus;
  Stream({kDesk, "urgent"}, wire::Priority::kHigh, 30, 20, 4, 1, 100);
  Stream({kDesk, "nightly"}, wire::Priority::kNormal, 40, 60, 8, 1, 100);
  Stream({kDesk, "refill"}, wire::Priority::kLow, 12, 30, 10, 1, 100);
  Stream({kSmall, "odd"}, wire::Priority::kLow, 40, 5, 5, 5, 100);
  const Group flood{kGuest, "flood"};
  switch (shape_) {
    case Shape::kTinyJobs:
      Stream(flood, wire::Priority::kLow, 500, 1, 5, kFloodFrom, kFloodTo);
      Stream({kGuest, "huge"}, wire::Priority::kLow, 3, 2000, 2, kFloodFrom, kFloodTo);
      break;
    case Shape::kManyTeams:
      Stream(flood, wire::Priority::kLow, 60, 150, 5, kFloodFrom, kFloodTo);
      for (int i = 0; i < 200; ++i) {
        Stream({fmt::format("team-{}", i), "little"}, wire::Priority::kLow, 1, 4, 5, 5, 100);
      }
      break;
    case Shape::kServices:
      Stream(flood, wire::Priority::kNormal, 60, 150, 5, kFloodFrom, kFloodTo);
      for (size_t i = 0; i < 3; ++i)
        Stream({kGuest, "service"}, wire::Priority::kLow, 1, 40, 0, 5, 10);
      break;
    default:
      Stream(flood, shape_ == Shape::kMistakes ? wire::Priority::kLow : wire::Priority::kNormal, 60,
             150, 5, kFloodFrom, kFloodTo);
      break;
  }
  for (size_t i = 0; i < users_.all().size(); ++i) {
    SimulatedUser& u = users_.all()[i];
    if (shape_ == Shape::kFloodsAndCancels && u.spec.team == kGuest && i % 2 == 0) {
      u.cancels_after = world.random.Uniform(1, 10);
    }
    if (shape_ == Shape::kMistakes && u.spec.team == kGuest && i % 3 == 0) {
      world.faulty_jobs.insert(u.spec.id);
    }
  }
  // The balancer sends the guest there.
  users_.pinned = [this](const SimulatedUser& u) {
    return shape_ == Shape::kOneController && u.spec.team == kGuest;
  };
  users_.Begin();
  Plan(faults);
}

void OverloadScenario::Stream(const Group& group, wire::Priority rank, size_t jobs, uint32_t tasks,
                              double run_s, double from, double to) {
  for (size_t i = 0; i < jobs; ++i) {
    SimulatedUser u;
    wire::JobSpec& s = u.spec;
    s.id = fmt::format("req-{:06}", users_.all().size());
    s.team = group.first;
    s.job_class = group.second;
    s.kind = run_s > 0 ? wire::JobKind::kArray : wire::JobKind::kService;
    s.priority = rank;
    s.tasks = tasks;
    s.cpus = 1;
    s.memory_gb = 1;
    s.spot_allowed = true;
    s.image = "img-" + group.second;
    s.image_gb = 0.5;
    s.estimated_run_s = run_s;
    u.asked = world.random.Uniform(from, to);
    u.polls = s.team != kGuest;
    tasks_[s.team] += tasks;
    cpu_s_[s.team] += tasks * (run_s > 0 ? run_s : kEnd);
    users_.Add(std::move(u));
  }
}

void OverloadScenario::Check() {
  SimulatedCluster::Check();
  double live = 0;
  const auto& pairs = world.store.entries();
  for (auto it = pairs.lower_bound("job/"); it != pairs.end() && it->first.starts_with("job/");
       ++it) {
    live += world.specs[it->first.substr(4)].tasks;
  }
  most_live_ = std::max(most_live_, live);
  double parts = 0;
  for (const auto& c : controllers) parts += c->up() ? c->part() : 0;
  if (parts > admission::kPlannedFraction + 1e-9) {
    breaches_.push_back(fmt::format("plan: all may fill {:.4f} of the room", parts));
  }
}

Outcome OverloadScenario::Run() {
  world.clock.RunUntil(kEnd);
  Outcome out;
  out.breaches = world.rule_checker.breaches();
  out.decisions = world.decisions.number();
  out.breaches.insert(out.breaches.end(), breaches_.begin(), breaches_.end());
  const double budget = controllers.front()->budget();
  // What is under way counts against what is seen free, so views that lag cost half at the most.
  if (most_live_ > budget * (1 + admission::kPlannedFraction)) {
    out.breaches.push_back(fmt::format("budget: {:.0f} tasks of {:.0f}", most_live_, budget));
  }
  struct Served {
    size_t asked = 0, accepted = 0, done = 0, gave_up = 0;
    std::vector<double> took;
  };
  std::map<Group, Served> groups;
  for (const SimulatedUser& u : users_.all()) {
    if (u.cancels_after > 0 || world.faulty_jobs.contains(u.spec.id)) continue;
    Served& g = groups[{u.spec.team, u.spec.job_class}];
    ++g.asked;
    g.gave_up += u.gave_up ? 1 : 0;
    const bool service = u.spec.kind == wire::JobKind::kService;
    if (u.accepted > 0) {
      ++g.accepted;
      g.took.push_back(u.accepted - u.asked);
    }
    if (service ? u.accepted > 0 : world.rule_checker.IsDone(u.spec.id)) ++g.done;
  }
  double all = 0;
  for (const auto& [team, cpu_s] : cpu_s_) all += cpu_s;
  double least = 1;
  double flood = 1;
  std::vector<double> within;
  size_t gave_up_within = 0;
  for (const auto& [group, g] : groups) {
    const double share = static_cast<double>(g.done) / static_cast<double>(g.asked);
    const bool floods = group.first == kGuest;
    // A flood is beyond what the budget and all machines can take for as long as its users retry:
    // of it, what was accepted counts.
    const double served =
        floods ? static_cast<double>(g.done) / static_cast<double>(std::max<size_t>(1, g.accepted))
               : share;
    if (served < 0.5 && all < capacity_ / 2 && (g.accepted > 0 || !floods)) {
      out.breaches.push_back(fmt::format("starved: {} of {}: {} of {} jobs done, {} accepted",
                                         group.second, group.first, g.done, g.asked, g.accepted));
    }
    if (floods) {
      flood = std::min(flood, share);
      continue;
    }
    least = std::min(least, share);
    // Within its means: all it asks for fits into what every team can have when all press at once.
    const double means = budget / static_cast<double>(1 + cpu_s_.size());
    if (tasks_[group.first] > means) continue;
    gave_up_within += g.gave_up;
    within.insert(within.end(), g.took.begin(), g.took.end());
    if (g.gave_up > 0) {
      out.breaches.push_back(fmt::format("refused within its means: {} of {}: {} users gave up",
                                         group.second, group.first, g.gave_up));
    }
  }
  std::vector<double> all_took;
  size_t refused = 0;
  for (const auto& c : controllers) refused += c->refused();
  for (const auto& [group, g] : groups) {
    if (group.first != kGuest) all_took.insert(all_took.end(), g.took.begin(), g.took.end());
  }
  out.figures = {{"seed", static_cast<double>(seed_)},
                 {"shape", static_cast<double>(shape_)},
                 {"controllers", static_cast<double>(controllers.size())},
                 {"starts", static_cast<double>(world.rule_checker.starts())},
                 {"least_served", least},
                 {"flood_served", flood},
                 {"most_live_of_budget", most_live_ / budget},
                 {"refused", static_cast<double>(refused)},
                 {"gave_up_within_means", static_cast<double>(gave_up_within)},
                 {"accepted_p50_s", Quantile(all_took, 0.5)},
                 {"accepted_p99_s", Quantile(all_took, 0.99)},
                 {"accepted_within_means_p50_s", Quantile(within, 0.5)},
                 {"accepted_within_means_p99_s", Quantile(within, 0.99)}};
  return out;
}

}  // namespace mosspath::simulation
