// Waiting jobs whose team or class is below its fair-share floor: they go ahead of the common
// order until the deficit is gone. Pure.
#pragma once

#include <cstddef>
#include <vector>

#include "mosspath/jobs/job.h"
#include "mosspath/scheduler/fair_share.h"

namespace mosspath::scheduler {

class DeficitQueue {
 public:
  // The fair share outlives the queue.
  explicit DeficitQueue(const FairShare& fair_share) : fair_share_(fair_share) {}

  // Finds the jobs of groups with a deficit among the waiting ones, the longest waiting first.
  void Refresh(const std::vector<jobs::Job*>& waiting_jobs);
  void Clear() { jobs_.clear(); }
  void ForgetJob(const jobs::Job& job) { std::erase(jobs_, &job); }

  const std::vector<jobs::Job*>& jobs() const { return jobs_; }
  // How many tasks of the job may go ahead of others now.
  size_t TasksAhead(const jobs::Job& job) const;

 private:
  const FairShare& fair_share_;
  std::vector<jobs::Job*> jobs_;
};

}  // namespace mosspath::scheduler
