#include "mosspath/scheduler/deficit_queue.h"

#include <algorithm>
#include <cmath>

namespace mosspath::scheduler {

using jobs::Job;

namespace {

// Each task is charged at least this many CPUs of the deficit. This minimum limits how many tasks
// are placed ahead for a job whose tasks need hardly any CPUs.
constexpr double kMinTaskCpus = 0.1;

// Orders jobs by submission time rather than in the common queue order. Thus jobs that can no
// longer meet any objective are placed too, and some jobs finish, whereas otherwise all jobs would
// progress a little. Jobs in a crash loop come last, so that they use none of the deficit while
// other jobs wait.
bool Precedes(const Job* a, const Job* b) {
  if (a->crash_looping != b->crash_looping) return b->crash_looping;
  return a->submitted_at < b->submitted_at;
}

}  // namespace

void DeficitQueue::Refresh(const std::vector<Job*>& waiting_jobs) {
  jobs_.clear();
  if (!fair_share_.has_deficit()) return;
  for (Job* job : waiting_jobs) {
    if (fair_share_.DeficitCpus(*job) > 0) jobs_.push_back(job);
  }
  std::stable_sort(jobs_.begin(), jobs_.end(), Precedes);
}

size_t DeficitQueue::TasksAhead(const Job& job) const {
  const double deficit_cpus = fair_share_.DeficitCpus(job);
  if (deficit_cpus <= 0) return 0;
  // A gang is placed whole, since a part of it would only occupy machines. The deficit is exceeded
  // by one gang at most.
  if (job.spec.kind == wire::JobKind::kGang) return job.spec.tasks;
  return static_cast<size_t>(std::ceil(deficit_cpus / std::max(job.spec.cpus, kMinTaskCpus)));
}

}  // namespace mosspath::scheduler
