// Jobs that have waited long without any task being started. One task of each such job goes ahead
// of all other work. No I/O; the time is an argument.
//
// By the queue order alone, large jobs and jobs that can meet no objective come last for as long as
// other jobs arrive: at two to four times the load that the machines can carry, the largest job of
// a class started only after 500 s. Placing one task (or the gang) of each overdue job ahead of all
// other work bounds the wait for the first start, and leaves the order of all other tasks
// unchanged. The CPUs for first tasks are bounded, so that a flood of jobs does not take the
// machines from urgent work.
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

  // Sets the share of all schedulable machines' CPUs that first tasks may take within one agent
  // lease time.
  void SetShare(double share) { share_ = share; }

  // Collects the overdue jobs among `waiting_jobs`, in order of submission, and computes how many
  // CPUs their first tasks may still take.
  void Refresh(const std::vector<jobs::Job*>& waiting_jobs, double now);
  void Clear() { jobs_.clear(); }
  void ForgetJob(const jobs::Job& job) { std::erase(jobs_, &job); }

  const std::vector<jobs::Job*>& jobs() const { return jobs_; }
  // Returns whether no task of the job is placed and the CPU bound is not used up.
  bool MayPlace(const jobs::Job& job) const;
  // Called after each attempt to place the job's first task or its gang, successful or not.
  void OnAttempted(jobs::Job& job, double now);

 private:
  // Returns the CPU bound, less the CPUs of one task of each job whose first task was placed within
  // the last agent lease time.
  double RemainingCpus(double now) const;

  const config::Settings& settings_;
  const cluster::ClusterState& cluster_;
  std::vector<jobs::Job*> jobs_;
  double share_ = config::OperatorSettings().begin_share;
  double remaining_cpus_ = 0;
};

}  // namespace mosspath::scheduler
