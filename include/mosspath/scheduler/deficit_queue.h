// The queue of the waiting jobs whose team or class uses fewer CPUs than its fair-share floor.
// Their tasks are placed before the jobs in the common queue order until the deficit is gone. No
// I/O.
#pragma once

#include <cstddef>
#include <vector>

#include "mosspath/jobs/job.h"
#include "mosspath/scheduler/fair_share.h"

namespace mosspath::scheduler {

// Does not own the jobs: a job must be removed by ForgetJob before it is destroyed.
class DeficitQueue {
 public:
  // The fair share outlives the queue.
  explicit DeficitQueue(const FairShare& fair_share) : fair_share_(fair_share) {}

  // Collects the waiting jobs of groups with a deficit, in order of submission. Jobs in a crash
  // loop come last.
  void Refresh(const std::vector<jobs::Job*>& waiting_jobs);
  void Clear() { jobs_.clear(); }
  void ForgetJob(const jobs::Job& job) { std::erase(jobs_, &job); }

  const std::vector<jobs::Job*>& jobs() const { return jobs_; }
  // Returns how many tasks of the job may be placed ahead of other work now.
  size_t TasksAhead(const jobs::Job& job) const;

 private:
  const FairShare& fair_share_;
  std::vector<jobs::Job*> jobs_;
};

}  // namespace mosspath::scheduler
