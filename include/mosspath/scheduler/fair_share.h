// Fair-share floors: the CPUs that each team, and each class of a team, may use ahead of all other
// work, however much urgent work waits. No I/O.
//
// A floor applies to the CPUs in use now; a group accrues no credit over time. The deficit of a
// group (a team or a class) with waiting work is its floor less its current use, and tasks up to
// the deficit are placed first. The service that a group receives is its CPU use added up over
// time. A group that always uses its floor thus receives the same share as start-time fair queueing
// would give it over time. There is no history to store: a new leader computes the floors from the
// cluster state (docs/admission.md).
//
// Invariants:
//   - the floors of all teams together are at most their guarantees plus the configured share of
//     the pool; the floors of a team's classes are at most the same share of the larger of the
//     team's use and the team's floor;
//   - a group places ahead of others at most its deficit and one task (or one gang);
//   - floors reserve no idle capacity: the rest of the pool is placed in the common order.
#pragma once

#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "mosspath/config/settings.h"
#include "mosspath/jobs/job.h"

namespace mosspath::scheduler {

// Computes the floors and deficits of all groups anew in each placement pass. Considers no resource
// but CPUs. Not thread-safe.
class FairShare {
 public:
  explicit FairShare(const std::vector<config::Team>& teams) : teams_(teams) {}

  // `share` is the share of the pool's CPUs that the floors of all teams divide, and also the share
  // of a team's CPUs that the floors of its classes divide; 0: no floors. `weights`: by team
  // ("name") or class ("name/class"), 1 if absent; 0: no floor.
  void Configure(double share, std::map<std::string, double> weights) {
    share_ = share;
    weights_ = std::move(weights);
  }

  // A pass begins with BeginPass, AddJob for each job that has not ended, then ComputeFloors.
  // `startable` is true if the job has tasks that may start now.
  void BeginPass(double pool_cpus);
  void AddJob(const jobs::Job& job, bool startable);
  void ComputeFloors();

  // Returns the CPUs that the job's team or class may use ahead of others: the larger deficit.
  double DeficitCpus(const jobs::Job& job) const;
  bool has_deficit() const { return has_deficit_; }
  // Adds the CPUs of a newly placed task to the use of the job's team and class.
  void OnAllocated(const jobs::Job& job, double cpus);
  // Returns whether a task of the job, with this many CPUs, may be preempted: the job's team and
  // class stay at or above their floors without the task.
  bool MayPreempt(const jobs::Job& job, double cpus) const;
  void OnPreempted(const jobs::Job& job, double cpus) { OnAllocated(job, -cpus); }

 private:
  struct Group {
    double floor_cpus = 0;
    double used_cpus = 0;
    double unfinished_cpus = 0;  // CPUs of all tasks that are not done
    double waiting_cpus = 0;     // CPUs of pending tasks that may start
    double DeficitCpus() const {
      return waiting_cpus > 0 && used_cpus < floor_cpus ? floor_cpus - used_cpus : 0;
    }
  };
  using ClassKey = std::pair<std::string, std::string>;  // team, class

  double Weight(const std::string& name) const;

  const std::vector<config::Team> teams_;
  std::map<std::string, double> weights_;
  double share_ = 0;
  double pool_cpus_ = 0;
  std::map<std::string, Group> team_groups_;
  std::map<ClassKey, Group> class_groups_;
  bool has_deficit_ = false;
};

}  // namespace mosspath::scheduler
