#include "mosspath/scheduler/quota_reservation.h"

#include <algorithm>

namespace mosspath::scheduler {

using jobs::Job;

size_t RunnableTasks(const Job& job) {
  if (!job.crash_looping) return job.pending.size();
  if (job.placed() > 0) return 0;
  const bool is_gang = job.spec.kind == wire::JobKind::kGang;
  return is_gang ? job.pending.size() : std::min<size_t>(job.pending.size(), 1);
}

void QuotaReservation::Refresh(const std::vector<Job*>& waiting_jobs) {
  Clear();
  for (const Job* job : waiting_jobs) {
    if (job->spec.priority != wire::Priority::kCritical) continue;
    if (quota_.IsUnlimited(job->spec.team)) continue;
    critical_jobs_.push_back(job);
  }
}

cluster::QuotaAmount QuotaReservation::ReservedAgainst(const Job& job) const {
  cluster::QuotaAmount reserved;
  if (job.spec.priority == wire::Priority::kCritical) return reserved;
  for (const Job* critical : critical_jobs_) {
    if (critical->spec.team != job.spec.team) continue;
    const double tasks = static_cast<double>(RunnableTasks(*critical));
    reserved.cpus += tasks * critical->spec.cpus;
    reserved.gpus += tasks * critical->spec.gpus;
  }
  return reserved;
}

}  // namespace mosspath::scheduler
