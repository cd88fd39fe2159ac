#include "mosspath/cluster/cluster_state.h"

#include <algorithm>
#include <utility>

namespace mosspath::cluster {

using jobs::Job;
using jobs::TaskPhase;

namespace {

// An agent that keeps this many exited attempts takes no new tasks. With the tasks that fit on a
// machine, its heartbeats stay below the limit of 64 KiB.
constexpr size_t kMaxKeptAttempts = 256;

}  // namespace

Job* ClusterState::FindJob(const std::string& id) {
  const auto it = jobs.find(id);
  return it == jobs.end() ? nullptr : it->second.get();
}

const Job* ClusterState::FindJob(const std::string& id) const {
  const auto it = jobs.find(id);
  return it == jobs.end() ? nullptr : it->second.get();
}

Job* ClusterState::FindJobOf(const wire::TaskId& task) {
  Job* job = FindJob(task.job);
  return job != nullptr && task.index < job->spec.tasks ? job : nullptr;
}

void ClusterState::Allocate(Machine& machine, const AllocationKey& key, Allocation allocation) {
  machine.used_cpus += allocation.cpus;
  machine.used_gpus += allocation.gpus;
  machine.used_memory_gb += allocation.memory_gb;
  quota.Add(allocation.team, allocation.cpus, allocation.gpus);
  if (Job* job = FindJob(key.first.job); job != nullptr && !allocation.orphaned) {
    job->tasks[key.first.index].phase = TaskPhase::kPlaced;
    job->pending.erase(key.first.index);
    ++job->placed_by_zone[machine.zone];
  }
  machine.allocations.emplace(key, std::move(allocation));
}

void ClusterState::ReleaseResources(Machine& machine, Allocation& allocation,
                                    const wire::TaskId& task) {
  machine.used_cpus -= allocation.cpus;
  machine.used_gpus -= allocation.gpus;
  machine.used_memory_gb -= allocation.memory_gb;
  quota.Remove(allocation.team, allocation.cpus, allocation.gpus);
  allocation.cpus = allocation.gpus = allocation.memory_gb = 0;
  if (allocation.orphaned) return;
  if (Job* job = FindJob(task.job)) {
    auto& placed = job->placed_by_zone[machine.zone];
    if (placed > 0) --placed;
    jobs::Task& job_task = job->tasks[task.index];
    if (job_task.phase == TaskPhase::kPlaced) OnAllocationRemoved(*job, task.index);
  }
}

// A machine that has taken over the address of a removed machine may have executed a start that was
// sent to the removed machine. That copy of the task is being stopped. If the task were started
// again before the copy has ended, the task would run twice.
void ClusterState::OnAllocationRemoved(Job& job, uint32_t index) {
  const wire::TaskId task{job.spec.id, index};
  const auto copy = duplicates_.find(task);
  if (copy != duplicates_.end()) {
    const auto machine = machines.find(copy->second);
    duplicates_.erase(copy);
    if (machine != machines.end()) {
      auto& allocations = machine->second.allocations;
      for (auto it = allocations.lower_bound({task, 0});
           it != allocations.end() && it->first.first == task; ++it) {
        if (!it->second.orphaned || it->second.exited()) continue;
        it->second.orphaned = false;
        job.tasks[index].phase = TaskPhase::kPlaced;
        ++job.placed_by_zone[machine->second.zone];
        return;
      }
    }
  }
  if (withheld_.contains(task)) return;
  job.tasks[index].phase = TaskPhase::kPending;
  job.pending.insert(index);
}

void ClusterState::Withhold(const wire::TaskId& task) {
  const Job* job = FindJob(task.job);
  if (job == nullptr) return;
  const QuotaCharge charge{job->spec.team, job->spec.cpus, job->spec.gpus};
  if (withheld_.emplace(task, charge).second) quota.Add(charge.team, charge.cpus, charge.gpus);
}

void ClusterState::ReleaseWithheld(const wire::TaskId& task) {
  const auto it = withheld_.find(task);
  if (it == withheld_.end()) return;
  quota.Remove(it->second.team, it->second.cpus, it->second.gpus);
  withheld_.erase(it);
  changed_since_pass = true;
  Job* job = FindJob(task.job);
  if (job != nullptr && job->tasks[task.index].phase == TaskPhase::kPlaced)
    OnAllocationRemoved(*job, task.index);
}

void ClusterState::ForgetDuplicates(const std::string& job) {
  auto it = duplicates_.lower_bound({job, 0});
  while (it != duplicates_.end() && it->first.job == job) it = duplicates_.erase(it);
}

void ClusterState::RemoveAllocation(Machine& machine,
                                    std::map<AllocationKey, Allocation>::iterator it, double now) {
  if (!it->second.exited()) ReleaseResources(machine, it->second, it->first.first);
  machine.allocations.erase(it);
  if (machine.allocations.empty()) machine.idle_since = now;
  changed_since_pass = true;
}

void ClusterState::RemoveAllAllocations(Machine& machine, double now) {
  while (!machine.allocations.empty()) RemoveAllocation(machine, machine.allocations.begin(), now);
}

void ClusterState::Delegate(Job& job, uint32_t index, uint64_t lease) {
  job.pending.erase(index);
  job.tasks[index].phase = TaskPhase::kDelegated;
  delegated_tasks.Add({job.spec.id, index}, lease, {job.spec.team, job.spec.cpus, job.spec.gpus});
  quota.Add(job.spec.team, job.spec.cpus, job.spec.gpus);
}

bool ClusterState::ReturnDelegated(const wire::TaskId& task, uint64_t lease) {
  const auto charge = delegated_tasks.Remove(task, lease);
  if (!charge) return false;
  quota.Remove(charge->team, charge->cpus, charge->gpus);
  changed_since_pass = true;
  Job* job = FindJob(task.job);
  if (job == nullptr || job->tasks[task.index].phase != TaskPhase::kDelegated) return true;
  OnAllocationRemoved(*job, task.index);
  return true;
}

bool ClusterState::IsSchedulable(const Machine& machine, double now) const {
  if (machine.handover_lease != 0) return false;
  if (machine.shard_lease != 0) {
    return machine.holder_status.schedulable && !machine.recall_requested && !machine.deleting &&
           machine.cpus > 0 && now - machine.holder_status_at < suspect_after_s_;
  }
  if (machine.ignored_answers_token == machine.fencing_token) return false;
  if (machine.kept_attempts >= kMaxKeptAttempts) return false;
  // Commands don't renew the agent's lease. An agent that has not found this controller, or whose
  // heartbeats reach no controller although it answers commands, would end new tasks when its lease
  // expires. Therefore a machine takes no new tasks once half of the lease has passed without a
  // renewal.
  if (now - std::max(machine.lease_renewed_at, began_at) >= agent_lease_s_ / 2) return false;
  return machine.token_confirmed && !machine.lost && !machine.deleting && !machine.quarantined &&
         !machine.reclaim_at && machine.cpus > 0 &&
         now - machine.last_contact_at < suspect_after_s_;
}

void RequestStop(Machine& machine, Allocation& allocation, double grace_s) {
  machine.has_pending_commands = true;
  if (allocation.stop_requested && allocation.grace_s <= grace_s) return;
  allocation.stop_requested = true;
  allocation.grace_s = grace_s;
  allocation.stop_sent_at = -1e18;
}

}  // namespace mosspath::cluster
