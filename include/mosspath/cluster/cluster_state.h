// The state that this controller keeps of the cluster: the jobs that have not ended, the machines,
// and the attempts that are or may be on the machines. For the machines that this controller
// commands, this class keeps the counts derived from the jobs, machines and attempts consistent.
// (HolderSharding also updates the counts by zone, when it stops an attempt or reclaims an attempt
// that is being stopped.) Does no I/O.
//
// Invariants (docs/design.md, rule 3). An allocation uses resources from the moment when its start
// may be sent until its attempt is certainly no longer on the machine:
//   - the usage of a machine is the sum of its allocations, and so is the usage of a team;
//   - a task is pending, placed, delegated or done; it is placed if a non-orphaned allocation holds
//     it, or if it is withheld;
//   - the counts of a job by zone are those of its placed tasks;
//   - a task that another controller has is delegated and charged to its team, until that
//     controller returns the task, or until the tasks on all machines of that controller are
//     determined (docs/sharding.md).
#pragma once

#include <map>
#include <memory>
#include <string>

#include "mosspath/cluster/delegated_tasks.h"
#include "mosspath/cluster/machine.h"
#include "mosspath/cluster/machine_type_catalog.h"
#include "mosspath/cluster/quota_usage.h"
#include "mosspath/config/settings.h"
#include "mosspath/jobs/job.h"

namespace mosspath::cluster {

using Jobs = std::map<std::string, std::unique_ptr<jobs::Job>>;
using Machines = std::map<std::string, Machine>;

class ClusterState {
 public:
  ClusterState(const config::Settings& settings, const config::DerivedSettings& derived)
      : quota(settings.teams),
        suspect_after_s_(derived.agent_suspect_s),
        agent_lease_s_(settings.agent_lease_s) {}

  jobs::Job* FindJob(const std::string& id);
  const jobs::Job* FindJob(const std::string& id) const;
  // Returns the live job that the task belongs to, or null if the job has ended or has no such
  // task.
  jobs::Job* FindJobOf(const wire::TaskId& task);

  // Adds an allocation and charges its resources to the machine and to the team.
  void Allocate(Machine& machine, const AllocationKey& key, Allocation allocation);
  // Releases the resources of an allocation. The allocation itself stays listed until the agent has
  // forgotten the attempt.
  void ReleaseResources(Machine& machine, Allocation& allocation, const wire::TaskId& task);
  // Removes the allocation of an attempt that is certainly no longer on the machine.
  void RemoveAllocation(Machine& machine, std::map<AllocationKey, Allocation>::iterator it,
                        double now);
  void RemoveAllAllocations(Machine& machine, double now);
  // Marks the task as delegated to the holder of `lease`.
  void Delegate(jobs::Job& job, uint32_t index, uint64_t lease);
  // Handles that the holder of `lease` certainly no longer has the task. The task becomes pending
  // again unless its job has ended. Returns false if the task was not delegated under that lease.
  bool ReturnDelegated(const wire::TaskId& task, uint64_t lease);
  // Records that `machine` runs a second copy of a task that is already placed; the copy is being
  // stopped.
  void AddDuplicate(const wire::TaskId& task, const std::string& machine) {
    duplicates_[task] = machine;
  }
  bool HasDuplicate(const wire::TaskId& task) const { return duplicates_.contains(task); }
  void ForgetDuplicates(const std::string& job);
  // Withholds a placed task that may also run on another machine, which has reused the address of
  // the task's machine. Until ReleaseWithheld, the task stays placed and charged to its team even
  // without an allocation, and is not started again.
  void Withhold(const wire::TaskId& task);
  // Ends the withholding. Called once this controller has determined whether and where the task
  // still runs.
  void ReleaseWithheld(const wire::TaskId& task);
  // Whether new tasks may be placed on the machine.
  bool IsSchedulable(const Machine& machine, double now) const;

  Jobs jobs;
  Machines machines;  // commanded by this controller
  // Machines that shard holders command. The holders report the status of these machines; the
  // entries have no allocations.
  Machines delegated_machines;
  double began_at = -1e18;  // no earlier controller answered a machine after this time
  DelegatedTasks delegated_tasks;
  MachineTypeCatalog machine_types;
  QuotaUsage quota;
  // Whether the state has changed since the last pass over the waiting jobs.
  bool changed_since_pass = true;

 private:
  // Updates a task whose allocation was removed. A second copy that may still run becomes the
  // task's allocation. Without such a copy, the task becomes pending, unless it is withheld.
  void OnAllocationRemoved(jobs::Job& job, uint32_t index);

  std::map<wire::TaskId, std::string> duplicates_;
  struct QuotaCharge {
    std::string team;
    double cpus = 0;
    double gpus = 0;
  };
  std::map<wire::TaskId, QuotaCharge> withheld_;
  const double suspect_after_s_;
  const double agent_lease_s_;
};

// Requests that the agent stops the attempt within `grace_s` seconds.
void RequestStop(Machine& machine, Allocation& allocation, double grace_s);

}  // namespace mosspath::cluster
