// What may be where: live jobs, machines, and the attempts that are or may be on them. One owner of
// the counts that follow from these, so that they can't drift apart. Pure.
//
// Invariants, from a start that may be sent until the attempt is certainly off its machine
// (docs/design.md, rule 3):
//   - a machine's use is the sum of its slots' sizes, and so is a team's;
//   - a task is pending, done, or placed; it is placed if a slot that is no orphan holds it, or it
//   is
//     withheld;
//   - a job's counts by zone are those of its placed tasks;
//   - a task that another controller has is away, and counts towards its team, until that
//   controller
//     says that it is back, or every machine of that controller is known (docs/sharding.md).
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
        silent_s_(derived.agent_suspect_s),
        lease_s_(settings.agent_lease_s) {}

  jobs::Job* FindJob(const std::string& id);
  const jobs::Job* FindJob(const std::string& id) const;

  void Allocate(Machine& m, const AllocationKey& key, Allocation slot);
  // Gives back what a slot takes; its place in the machine's list stays until it is forgotten.
  void ReleaseResources(Machine& m, Allocation& slot, const wire::TaskId& task);
  // The attempt is certainly not on the machine any more.
  void RemoveAllocation(Machine& m, std::map<AllocationKey, Allocation>::iterator it, double now);
  void RemoveAllAllocations(Machine& m, double now);
  // Another controller has the task from now on, under that lease.
  void Delegate(jobs::Job& job, uint32_t index, uint64_t lease);
  // It is certainly not with the holder of that lease; waits again unless its job is over. False:
  // it was not there.
  bool ReturnDelegated(const wire::TaskId& task, uint64_t lease);
  // A second copy of a placed task is there, to be stopped.
  void AddDuplicate(const wire::TaskId& task, const std::string& machine) {
    duplicates_[task] = machine;
  }
  bool HasDuplicate(const wire::TaskId& task) const { return duplicates_.contains(task); }
  void ForgetDuplicates(const std::string& job);
  // The task, placed now, may be on a machine that nobody knows of once it is nowhere else: it goes
  // on counting towards its team, and waits for nothing, until it is certain that it is not.
  void Withhold(const wire::TaskId& task);
  void ReleaseWithheld(const wire::TaskId& task);
  // Whether the machine takes new tasks.
  bool IsSchedulable(const Machine& m, double now) const;

  Jobs jobs;
  Machines machines;            // commanded by this controller
  Machines delegated_machines;  // commanded by others, as they tell; without their tasks
  double began_at = -1e18;      // no controller before this one answered a machine after that
  DelegatedTasks delegated_tasks;
  MachineTypeCatalog machine_types;
  QuotaUsage quota;
  bool changed_since_pass = true;  // since the last pass over the waiting jobs

 private:
  // The task is no longer where it was placed: it waits, or is where a copy of it may still run.
  void OnAllocationRemoved(jobs::Job& job, uint32_t index);

  std::map<wire::TaskId, std::string> duplicates_;
  struct QuotaCharge {
    std::string team;
    double cpus = 0;
    double gpus = 0;
  };
  std::map<wire::TaskId, QuotaCharge> withheld_;
  const double silent_s_;
  const double lease_s_;
};

// The worker is to be told to stop it.
void RequestStop(Machine& m, Allocation& slot, double grace_s);

}  // namespace mosspath::cluster
