#include "mosspath/scheduler/service_level_objectives.h"

#include <algorithm>

namespace mosspath::scheduler {
namespace {

constexpr double kNoAimLeases = 8;
constexpr double kSettled = 2;  // checkpoints' intervals

}  // namespace

double ExpectedRunS(const jobs::Job& job) { return std::max(1.0, job.spec.estimated_run_s); }

bool IsSettling(const jobs::Job& job, double ran) {
  return ran < kSettled * job.spec.checkpoint_interval_s;
}

ServiceLevelObjectives::ServiceLevelObjectives(const config::Settings& settings)
    : best_effort_within_s_(settings.agent_lease_s * kNoAimLeases) {
  for (const auto& o : settings.objectives) {
    if (o.kind == "finished" && o.within_s > 0) finish_[o.job_class].insert(o.within_s);
    if (o.kind == "wait" && o.within_s > 0) start_[o.job_class].insert(o.within_s);
    if (o.kind == "deadline" && o.times > 0) deadline_times_[o.job_class].insert(o.times);
  }
}

ServiceLevelObjectives::NextObjective ServiceLevelObjectives::Next(const jobs::Job& job,
                                                                   double now) const {
  const double run = ExpectedRunS(job);
  const double age = now - job.submitted_at;
  double last = -1;
  NextObjective next{true, -1, false};
  const auto consider = [&](double due, bool start = false) {
    last = std::max(last, due);
    if (age + run <= due && (next.unattainable || due < next.within_s)) next = {false, due, start};
  };
  const auto times = deadline_times_.find(job.spec.job_class);
  if (job.spec.deadline_s && times == deadline_times_.end()) consider(*job.spec.deadline_s);
  if (job.spec.deadline_s && times != deadline_times_.end()) {
    for (double t : times->second) consider(t * *job.spec.deadline_s);
  }
  if (auto it = finish_.find(job.spec.job_class); it != finish_.end()) {
    for (double within : it->second) consider(within);
  }
  if (auto it = start_.find(job.spec.job_class); it != start_.end()) {
    for (double within : it->second) consider(within + run, true);
  }
  if (last < 0) return {false, best_effort_within_s_, false, /*none=*/true};
  if (next.unattainable) next.within_s = last;
  return next;
}

}  // namespace mosspath::scheduler
