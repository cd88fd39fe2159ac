#include "mosspath/admission/admission_controller.h"

#include <spdlog/fmt/fmt.h>

#include <algorithm>
#include <cmath>
#include <functional>

namespace mosspath::admission {
namespace {

constexpr double kAssured = 0.25;  // of the budget, that teams are assured together
constexpr double kLent = 0.5;      // of a controller's part, for teams beyond what they are assured
constexpr double kDrainMemory = 8;  // times most_s, that ends are remembered for
constexpr size_t kMostCounted = 1000;
constexpr double kSpread = 0.5;  // of a refused user's pause, either way

}  // namespace

double PriorityWeight(wire::Priority rank) { return std::pow(2.0, static_cast<int>(rank)); }

AdmissionController::AdmissionController(double budget, std::vector<std::string> teams,
                                         double least_s, double most_s)
    : budget_(budget), names_(std::move(teams)), min_retry_s_(least_s), max_retry_s_(most_s) {
  SetWeights({});
}

void AdmissionController::SetWeights(std::map<std::string, double> weights) {
  weights_ = std::move(weights);
  double sum = 0;
  for (const auto& name : names_) sum += Weight(name);
  for (const auto& name : names_) {
    assured_[name] = sum > 0 ? kAssured * budget_ * Weight(name) / sum : 0;
  }
  unused_assured_ = 0;
  for (const auto& name : names_) unused_assured_ += UnusedAssured(name);
}

double AdmissionController::Assured(const std::string& team) const {
  const auto it = assured_.find(team);
  return it == assured_.end() ? 0 : it->second;
}

double AdmissionController::UnusedAssured(const std::string& team) const {
  return std::max(0.0, Assured(team) - TasksOf(team));
}

double AdmissionController::Weight(const std::string& name) const {
  const auto it = weights_.find(name);
  return it == weights_.end() ? 1 : it->second;
}

void AdmissionController::Take(const ClassKey& of, double tasks) {
  const auto add = [tasks](auto& sums, const auto& key) {
    double& sum = sums[key];
    sum += tasks;
    if (sum <= 0) sums.erase(key);
  };
  const double before = UnusedAssured(of.first);
  add(teams_, of.first);
  add(classes_, of);
  unused_assured_ += UnusedAssured(of.first) - before;
}

double AdmissionController::TasksOf(const std::string& team) const {
  const auto it = teams_.find(team);
  return it == teams_.end() ? 0 : it->second;
}

void AdmissionController::Clear() {
  for (const auto& [id, e] : live_jobs_) Take(e.group, -e.tasks);
  live_jobs_.clear();
  live_ = 0;
}

void AdmissionController::OnAccepted(const wire::JobSpec& spec) {
  // Seen: it counts as live, and only once.
  Forget(spec.id);
  const Entry e{{spec.team, spec.job_class}, static_cast<double>(spec.tasks)};
  if (!live_jobs_.emplace(spec.id, e).second) return;
  live_ += e.tasks;
  Take(e.group, e.tasks);
}

void AdmissionController::OnEnded(const std::string& id, double now) {
  // It may have come and gone while an answer was on its way.
  Forget(id);
  const auto it = live_jobs_.find(id);
  if (it == live_jobs_.end()) return;
  const double memory = kDrainMemory * max_retry_s_;
  drained_ = drained_ * std::exp(-std::max(0.0, now - drained_at_) / memory) + it->second.tasks;
  drained_at_ = now;
  live_ -= it->second.tasks;
  Take(it->second.group, -it->second.tasks);
  live_jobs_.erase(it);
}

void AdmissionController::OnLoaded(uint64_t revision) {
  // What was durable by then and is not shown has ended meanwhile: nobody will tell of it.
  for (auto it = in_flight_jobs_.begin(); it != in_flight_jobs_.end();) {
    const auto next = std::next(it);
    if (it->second.revision != 0 && it->second.revision <= revision) Forget(it->first);
    it = next;
  }
}

AdmissionVerdict AdmissionController::Refuse(const wire::JobSpec& spec, std::string why,
                                             double over, double now) const {
  const double memory = kDrainMemory * max_retry_s_;
  const double rate = drained_ * std::exp(-std::max(0.0, now - drained_at_) / memory) / memory;
  const double wait = std::clamp(rate > 0 ? over / rate : max_retry_s_, min_retry_s_, max_retry_s_);
  const double unit = static_cast<double>(std::hash<std::string>{}(spec.id) % 1024) / 1023;
  return {false, std::max(min_retry_s_, wait * (1 - kSpread + 2 * kSpread * unit)), std::move(why)};
}

AdmissionVerdict AdmissionController::Request(const wire::JobSpec& spec, double part, double now) {
  const ClassKey of{spec.team, spec.job_class};
  const double tasks = spec.tasks;
  // Classes are whatever users call them.
  const bool counted = counts_.size() < kMostCounted || counts_.contains(of);
  Count& count = counts_[counted ? of : ClassKey{spec.team, "others"}];
  ++count.requested;
  if (in_flight_jobs_.contains(spec.id) || live_jobs_.contains(spec.id)) return {true, 0, {}};
  const auto refuse = [&](std::string why, double over) {
    ++count.refused;
    return Refuse(spec, std::move(why), over, now);
  };
  const double seen_free = std::max(0.0, budget_ - live_);
  const double team_has = TasksOf(spec.team);
  const bool assured = team_has + tasks <= Assured(spec.team);
  const double may_out = (assured ? 1 : kLent) * part * seen_free;
  // A job larger than the part would never be taken, so one may be.
  if (const double over = in_flight_ + tasks - (in_flight_ > 0 ? may_out : seen_free); over > 0) {
    return refuse(fmt::format("{:.0f} tasks are under way here, of {:.0f} that this controller may "
                              "accept before it sees what others did",
                              in_flight_, may_out),
                  over);
  }
  const double lent =
      std::max(0.0, seen_free - in_flight_ - (unused_assured_ - UnusedAssured(spec.team)));
  const double team_limit = std::max(Assured(spec.team), Weight(spec.team) * lent);
  const auto it = classes_.find(of);
  const double class_has = it == classes_.end() ? 0 : it->second;
  const double class_limit = PriorityWeight(spec.priority) *
                             Weight(spec.team + "/" + spec.job_class) *
                             std::max(0.0, team_limit - team_has);
  // Whoever has nothing accepted may have a job, however large against the line.
  if (team_has > 0 && !assured && team_has + tasks > team_limit) {
    return refuse(fmt::format("team {} has {:.0f} tasks of {:.0f} that it may have now", spec.team,
                              team_has, team_limit),
                  team_has + tasks - team_limit);
  }
  if (class_has > 0 && class_has + tasks > class_limit) {
    return refuse(fmt::format("class {} of team {} has {:.0f} tasks of {:.0f} that it may have now",
                              spec.job_class, spec.team, class_has, class_limit),
                  class_has + tasks - class_limit);
  }
  in_flight_jobs_[spec.id] = {of, tasks};
  in_flight_ += tasks;
  Take(of, tasks);
  return {true, 0, {}};
}

void AdmissionController::OnDurable(const std::string& id, uint64_t revision) {
  if (const auto it = in_flight_jobs_.find(id); it != in_flight_jobs_.end())
    it->second.revision = revision;
}

void AdmissionController::OnDropped(const std::string& id) {
  // Another request for the same job may have been told that it is durable.
  const auto it = in_flight_jobs_.find(id);
  if (it != in_flight_jobs_.end() && it->second.revision == 0) Forget(id);
}

void AdmissionController::Forget(const std::string& id) {
  const auto it = in_flight_jobs_.find(id);
  if (it == in_flight_jobs_.end()) return;
  in_flight_ -= it->second.tasks;
  Take(it->second.group, -it->second.tasks);
  in_flight_jobs_.erase(it);
}

}  // namespace mosspath::admission
