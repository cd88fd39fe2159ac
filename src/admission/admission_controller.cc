#include "mosspath/admission/admission_controller.h"

#include <spdlog/fmt/fmt.h>

#include <algorithm>
#include <cmath>
#include <functional>

namespace mosspath::admission {
namespace {

// Share of the budget that is assured to all teams together.
constexpr double kAssuredShare = 0.25;
// Fraction of a controller's share of the free budget that the controller may fill with jobs of
// teams beyond their assured part.
constexpr double kUnassuredShare = 0.5;
// Time constant of the decay of `ended_tasks_`, in multiples of max_retry_s.
constexpr double kEndRateWindowRetries = 8;
// Maximum number of entries in `counts_`. Users choose the names of classes, so the memory of the
// counts must be bounded.
constexpr size_t kMaxCounts = 1000;
// Spread of the retry times of different jobs in either direction, as a share of the retry time.
constexpr double kRetrySpread = 0.5;

}  // namespace

double PriorityWeight(wire::Priority priority) { return std::pow(2.0, static_cast<int>(priority)); }

AdmissionController::AdmissionController(double budget, std::vector<std::string> teams,
                                         double min_retry_s, double max_retry_s)
    : budget_(budget),
      team_names_(std::move(teams)),
      min_retry_s_(min_retry_s),
      max_retry_s_(max_retry_s) {
  SetWeights({});
}

void AdmissionController::SetWeights(std::map<std::string, double> weights) {
  weights_ = std::move(weights);
  double sum = 0;
  for (const auto& name : team_names_) sum += Weight(name);
  for (const auto& name : team_names_) {
    assured_[name] = sum > 0 ? kAssuredShare * budget_ * Weight(name) / sum : 0;
  }
  unused_assured_ = 0;
  for (const auto& name : team_names_) unused_assured_ += UnusedAssured(name);
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

void AdmissionController::AddTasks(const ClassKey& key, double tasks) {
  const auto add = [tasks](auto& sums, const auto& name) {
    double& sum = sums[name];
    sum += tasks;
    if (sum <= 0) sums.erase(name);
  };
  const double unused_before = UnusedAssured(key.first);
  add(tasks_by_team_, key.first);
  add(tasks_by_class_, key);
  unused_assured_ += UnusedAssured(key.first) - unused_before;
}

double AdmissionController::TasksOf(const std::string& team) const {
  const auto it = tasks_by_team_.find(team);
  return it == tasks_by_team_.end() ? 0 : it->second;
}

void AdmissionController::Clear() {
  for (const auto& [id, entry] : live_jobs_) AddTasks(entry.group, -entry.tasks);
  live_jobs_.clear();
  live_ = 0;
}

void AdmissionController::OnAccepted(const wire::JobSpec& spec) {
  // The job has appeared in the view, so the job is live and no longer in flight.
  RemoveInFlight(spec.id);
  const Entry entry{{spec.team, spec.job_class}, static_cast<double>(spec.tasks)};
  if (!live_jobs_.emplace(spec.id, entry).second) return;
  live_ += entry.tasks;
  AddTasks(entry.group, entry.tasks);
}

void AdmissionController::OnEnded(const std::string& id, double now) {
  // The job may have ended before the response to its submission arrived.
  RemoveInFlight(id);
  const auto it = live_jobs_.find(id);
  if (it == live_jobs_.end()) return;
  const double window_s = kEndRateWindowRetries * max_retry_s_;
  ended_tasks_ =
      ended_tasks_ * std::exp(-std::max(0.0, now - ended_tasks_at_) / window_s) + it->second.tasks;
  ended_tasks_at_ = now;
  live_ -= it->second.tasks;
  AddTasks(it->second.group, -it->second.tasks);
  live_jobs_.erase(it);
}

void AdmissionController::OnLoaded(uint64_t revision) {
  loaded_revision_ = revision;
  for (auto it = in_flight_jobs_.begin(); it != in_flight_jobs_.end();) {
    const auto next = std::next(it);
    RemoveIfEndedUnseen(it->first);
    it = next;
  }
}

void AdmissionController::RemoveIfEndedUnseen(const std::string& id) {
  const auto it = in_flight_jobs_.find(id);
  if (it == in_flight_jobs_.end()) return;
  const uint64_t revision = it->second.revision;
  if (revision != 0 && revision <= loaded_revision_) RemoveInFlight(id);
}

AdmissionVerdict AdmissionController::Refuse(const wire::JobSpec& spec, std::string reason,
                                             double excess_tasks, double now) const {
  const double window_s = kEndRateWindowRetries * max_retry_s_;
  const double ended_per_s =
      ended_tasks_ * std::exp(-std::max(0.0, now - ended_tasks_at_) / window_s) / window_s;
  const double wait_s = std::clamp(ended_per_s > 0 ? excess_tasks / ended_per_s : max_retry_s_,
                                   min_retry_s_, max_retry_s_);
  const double hash_fraction = static_cast<double>(std::hash<std::string>{}(spec.id) % 1024) / 1023;
  return {false,
          std::max(min_retry_s_, wait_s * (1 - kRetrySpread + 2 * kRetrySpread * hash_fraction)),
          std::move(reason)};
}

AdmissionVerdict AdmissionController::Request(const wire::JobSpec& spec, double share, double now) {
  const ClassKey key{spec.team, spec.job_class};
  const double tasks = spec.tasks;
  const bool has_own_count = counts_.size() < kMaxCounts || counts_.contains(key);
  Count& count = counts_[has_own_count ? key : ClassKey{spec.team, "others"}];
  ++count.requested;
  if (in_flight_jobs_.contains(spec.id) || live_jobs_.contains(spec.id)) return {true, 0, {}};
  const auto refuse = [&](std::string reason, double excess_tasks) {
    ++count.refused;
    return Refuse(spec, std::move(reason), excess_tasks, now);
  };
  const double free_in_view = std::max(0.0, budget_ - live_);
  const double team_tasks = TasksOf(spec.team);
  const bool within_assured = team_tasks + tasks <= Assured(spec.team);
  const double max_in_flight = (within_assured ? 1 : kUnassuredShare) * share * free_in_view;
  // If no job is in flight, a job may exceed the controller's share and take all of the free
  // budget. Otherwise a job larger than the share would never be admitted.
  if (const double excess_tasks =
          in_flight_ + tasks - (in_flight_ > 0 ? max_in_flight : free_in_view);
      excess_tasks > 0) {
    return refuse(fmt::format("{:.0f} tasks are under way here, of {:.0f} that this controller may "
                              "accept before it sees what others did",
                              in_flight_, max_in_flight),
                  excess_tasks);
  }
  const double unassured_free =
      std::max(0.0, free_in_view - in_flight_ - (unused_assured_ - UnusedAssured(spec.team)));
  const double team_limit = std::max(Assured(spec.team), Weight(spec.team) * unassured_free);
  const auto it = tasks_by_class_.find(key);
  const double class_tasks = it == tasks_by_class_.end() ? 0 : it->second;
  const double class_limit = PriorityWeight(spec.priority) *
                             Weight(spec.team + "/" + spec.job_class) *
                             std::max(0.0, team_limit - team_tasks);
  // A team or class without accepted jobs may have one job, however far that exceeds the limit.
  if (team_tasks > 0 && !within_assured && team_tasks + tasks > team_limit) {
    return refuse(fmt::format("team {} has {:.0f} tasks of {:.0f} that it may have now", spec.team,
                              team_tasks, team_limit),
                  team_tasks + tasks - team_limit);
  }
  if (class_tasks > 0 && class_tasks + tasks > class_limit) {
    return refuse(fmt::format("class {} of team {} has {:.0f} tasks of {:.0f} that it may have now",
                              spec.job_class, spec.team, class_tasks, class_limit),
                  class_tasks + tasks - class_limit);
  }
  in_flight_jobs_[spec.id] = {key, tasks};
  in_flight_ += tasks;
  AddTasks(key, tasks);
  return {true, 0, {}};
}

void AdmissionController::OnDurable(const std::string& id, uint64_t revision) {
  const auto it = in_flight_jobs_.find(id);
  if (it == in_flight_jobs_.end()) return;
  it->second.revision = revision;
  RemoveIfEndedUnseen(id);
}

void AdmissionController::OnDropped(const std::string& id) {
  // The job stays in flight if a concurrent request for the same job has succeeded and made the job
  // durable.
  const auto it = in_flight_jobs_.find(id);
  if (it != in_flight_jobs_.end() && it->second.revision == 0) RemoveInFlight(id);
}

void AdmissionController::RemoveInFlight(const std::string& id) {
  const auto it = in_flight_jobs_.find(id);
  if (it == in_flight_jobs_.end()) return;
  in_flight_ -= it->second.tasks;
  AddTasks(it->second.group, -it->second.tasks);
  in_flight_jobs_.erase(it);
}

}  // namespace mosspath::admission
