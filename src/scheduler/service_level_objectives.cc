#include "mosspath/scheduler/service_level_objectives.h"

#include <algorithm>

namespace mosspath::scheduler {
namespace {

// A best-effort job is due this many agent lease times after its submission.
constexpr double kBestEffortLeases = 8;
// A task is settling (IsSettling) until it has run for this many checkpoint intervals.
constexpr double kSettlingCheckpointIntervals = 2;

}  // namespace

double ExpectedRunS(const jobs::Job& job) { return std::max(1.0, job.spec.estimated_run_s); }

bool IsSettling(const jobs::Job& job, double ran_s) {
  return ran_s < kSettlingCheckpointIntervals * job.spec.checkpoint_interval_s;
}

ServiceLevelObjectives::ServiceLevelObjectives(const config::Settings& settings)
    : best_effort_within_s_(settings.agent_lease_s * kBestEffortLeases) {
  for (const auto& objective : settings.objectives) {
    if (objective.kind == "finished" && objective.within_s > 0)
      finish_within_s_[objective.job_class].insert(objective.within_s);
    if (objective.kind == "wait" && objective.within_s > 0)
      start_within_s_[objective.job_class].insert(objective.within_s);
    if (objective.kind == "deadline" && objective.times > 0)
      deadline_factors_[objective.job_class].insert(objective.times);
  }
}

ServiceLevelObjectives::NextObjective ServiceLevelObjectives::Next(const jobs::Job& job,
                                                                   double now) const {
  const double run_s = ExpectedRunS(job);
  const double age_s = now - job.submitted_at;
  double latest_s = -1;
  NextObjective next{true, -1, false};
  const auto consider = [&](double due_s, bool for_task_start = false) {
    latest_s = std::max(latest_s, due_s);
    if (age_s + run_s <= due_s && (next.unattainable || due_s < next.within_s))
      next = {false, due_s, for_task_start};
  };
  const auto factors = deadline_factors_.find(job.spec.job_class);
  if (job.spec.deadline_s && factors == deadline_factors_.end()) consider(*job.spec.deadline_s);
  if (job.spec.deadline_s && factors != deadline_factors_.end()) {
    for (double factor : factors->second) consider(factor * *job.spec.deadline_s);
  }
  if (auto it = finish_within_s_.find(job.spec.job_class); it != finish_within_s_.end()) {
    for (double limit_s : it->second) consider(limit_s);
  }
  if (auto it = start_within_s_.find(job.spec.job_class); it != start_within_s_.end()) {
    for (double limit_s : it->second) consider(limit_s + run_s, true);
  }
  if (latest_s < 0) return {false, best_effort_within_s_, false, /*best_effort=*/true};
  if (next.unattainable) next.within_s = latest_s;
  return next;
}

}  // namespace mosspath::scheduler
