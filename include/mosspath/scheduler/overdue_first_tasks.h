// Jobs that have waited long and of which nothing has run yet: one task of each goes ahead of all
// other work. Pure.
//
// Jobs that yield by their size, or that can meet no objective, came last for as long as others
// came: with two to four times the work that machines can do the largest of a class began after
// 500 s. With this one task of each begins, and the order of the rest is as before. The CPUs that
// go to first tasks are bounded, so that a flood of jobs does not take the machines from urgent
// work.
#pragma once

#include <vector>

#include "mosspath/cluster/cluster_state.h"
#include "mosspath/config/operator_settings.h"
#include "mosspath/config/settings.h"
#include "mosspath/jobs/job.h"

namespace mosspath::scheduler {

class OverdueFirstTasks {
 public:
  // The arguments outlive this object.
  OverdueFirstTasks(const config::Settings& settings, const cluster::ClusterState& cluster)
      : settings_(settings), cluster_(cluster) {}

  // Share of the pool's CPUs that may go to first tasks within one lease time.
  void SetShare(double share) { share_ = share; }

  // Finds the overdue jobs among the waiting ones, in the order of submission, and how many CPUs
  // their first tasks may still take.
  void Refresh(const std::vector<jobs::Job*>& waiting_jobs, double now);
  void Clear() { jobs_.clear(); }
  void ForgetJob(const jobs::Job& job) { std::erase(jobs_, &job); }

  const std::vector<jobs::Job*>& jobs() const { return jobs_; }
  // Nothing of the job is placed and the bound is not used up.
  bool MayPlace(const jobs::Job& job) const;
  // An attempt to place the job's first task, or its gang, has ended, with or without success.
  void OnAttempted(jobs::Job& job, double now);

 private:
  double RemainingCpus(double now) const;

  const config::Settings& settings_;
  const cluster::ClusterState& cluster_;
  std::vector<jobs::Job*> jobs_;
  double share_ = config::OperatorSettings().begin_share;
  double remaining_cpus_ = 0;
};

}  // namespace mosspath::scheduler
