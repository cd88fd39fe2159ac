// Reserves the free part of a team's quota for the team's waiting jobs of critical priority.
// Without the reservation, small tasks of lower priority would take each CPU that is freed under
// the quota before enough is free for a larger task of the critical job. No I/O.
#pragma once

#include <cstddef>
#include <vector>

#include "mosspath/cluster/quota_usage.h"
#include "mosspath/jobs/job.h"

namespace mosspath::scheduler {

// Returns how many of the job's pending tasks may run at once, whatever its team's quota. A crash
// looping job is retried one task at a time; a gang is retried whole, because it is placed whole.
size_t RunnableTasks(const jobs::Job& job);

// Not thread-safe.
class QuotaReservation {
 public:
  // `quota` must outlive the reservation.
  explicit QuotaReservation(const cluster::QuotaUsage& quota) : quota_(quota) {}

  // Reserves for the critical jobs among these, of teams with a quota, from now on.
  void Refresh(const std::vector<jobs::Job*>& waiting_jobs);
  void Clear() { critical_jobs_.clear(); }
  // Called before the job is destroyed.
  void ForgetJob(const jobs::Job& job) { std::erase(critical_jobs_, &job); }

  // Returns how much of its team's quota the job must leave free: what the pending tasks of the
  // team's critical jobs need. Returns nothing for a job of critical priority.
  cluster::QuotaAmount ReservedAgainst(const jobs::Job& job) const;

 private:
  const cluster::QuotaUsage& quota_;
  std::vector<const jobs::Job*> critical_jobs_;
};

}  // namespace mosspath::scheduler
