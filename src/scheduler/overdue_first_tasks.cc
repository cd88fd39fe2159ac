#include "mosspath/scheduler/overdue_first_tasks.h"

#include <algorithm>

#include "mosspath/scheduler/machine_pool.h"

namespace mosspath::scheduler {

using jobs::Job;

namespace {

// Requirement: each job starts its first task within this time, whatever the load, even the largest
// job of a class.
constexpr double kFirstStartWithinS = 240;
// A job's first task goes ahead of all other work once the job has waited for this share of
// kFirstStartWithinS.
constexpr double kOverdueShare = 0.5;

bool IsOverdue(const Job& job, double now) {
  const bool late = now - job.submitted_at > kOverdueShare * kFirstStartWithinS;
  return late && !job.has_started && !job.crash_looping && job.done == 0 && job.placed() == 0;
}

}  // namespace

void OverdueFirstTasks::Refresh(const std::vector<Job*>& waiting_jobs, double now) {
  remaining_cpus_ = RemainingCpus(now);
  jobs_.clear();
  for (Job* job : waiting_jobs) {
    if (IsOverdue(*job, now)) jobs_.push_back(job);
  }
  std::stable_sort(jobs_.begin(), jobs_.end(),
                   [](const Job* a, const Job* b) { return a->submitted_at < b->submitted_at; });
}

double OverdueFirstTasks::RemainingCpus(double now) const {
  double cpus = share_ * SchedulableCpus(cluster_, now);
  for (const auto& [id, job] : cluster_.jobs) {
    if (now - job->first_placement_at < settings_.agent_lease_s) cpus -= job->spec.cpus;
  }
  return cpus;
}

bool OverdueFirstTasks::MayPlace(const Job& job) const {
  return job.placed() == 0 && remaining_cpus_ > 0;
}

void OverdueFirstTasks::OnAttempted(Job& job, double now) {
  if (job.placed() == 0) return;
  job.first_placement_at = now;
  remaining_cpus_ -= job.placed() * job.spec.cpus;
}

}  // namespace mosspath::scheduler
