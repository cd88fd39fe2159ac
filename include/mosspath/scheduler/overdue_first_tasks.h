// Jobs that have waited long and have not run any task: one task of each goes ahead of all other
// work. No I/O; the time is an argument.
//
// In the queue order alone, large jobs and jobs that can meet no objective come last for as long as
// others arrive: at two to four times the load that the machines can carry, the largest job of a
// class started after 500 s. Placing one task (or the gang) of each ahead of all other work bounds
// that wait and leaves the order of all other tasks unchanged. The CPUs for first tasks are
// bounded, so that a flood of jobs does not take the machines from urgent work.
#pragma once

#include <vector>

#include "mosspath/cluster/cluster_state.h"
#include "mosspath/config/operator_settings.h"
#include "mosspath/config/settings.h"
#include "mosspath/jobs/job.h"

namespace mosspath::scheduler {

// Does not own the jobs: a job must be removed by ForgetJob before it is destroyed.
class OverdueFirstTasks {
 public:
  // The arguments outlive this object.
  OverdueFirstTasks(const config::Settings& settings, const cluster::ClusterState& cluster)
      : settings_(settings), cluster_(cluster) {}

  // Share of the pool's CPUs that may go to first tasks within one lease time.
  void SetShare(double share) { share_ = share; }

  // Collects the overdue jobs among the waiting ones, in order of submission, and computes how many
  // CPUs their first tasks may still use.
  void Refresh(const std::vector<jobs::Job*>& waiting_jobs, double now);
  void Clear() { jobs_.clear(); }
  void ForgetJob(const jobs::Job& job) { std::erase(jobs_, &job); }

  const std::vector<jobs::Job*>& jobs() const { return jobs_; }
  // Returns whether no task of the job is placed and the CPU bound is not used up.
  bool MayPlace(const jobs::Job& job) const;
  // Called after each attempt to place the job's first task or its gang, successful or not.
  void OnAttempted(jobs::Job& job, double now);

 private:
  // Returns the bound less the CPUs of first tasks placed within the last agent lease time.
  double RemainingCpus(double now) const;

  const config::Settings& settings_;
  const cluster::ClusterState& cluster_;
  std::vector<jobs::Job*> jobs_;
  double share_ = config::OperatorSettings().begin_share;
  double remaining_cpus_ = 0;
};

}  // namespace mosspath::scheduler
