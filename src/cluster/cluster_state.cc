#include "mosspath/cluster/cluster_state.h"

#include <algorithm>
#include <utility>

namespace mosspath::cluster {

using jobs::Job;
using jobs::TaskPhase;

Job* ClusterState::FindJob(const std::string& id) {
  const auto it = jobs.find(id);
  return it == jobs.end() ? nullptr : it->second.get();
}

const Job* ClusterState::FindJob(const std::string& id) const {
  const auto it = jobs.find(id);
  return it == jobs.end() ? nullptr : it->second.get();
}

void ClusterState::Allocate(Machine& m, const AllocationKey& key, Allocation slot) {
  m.used_cpus += slot.cpus;
  m.used_gpus += slot.gpus;
  m.used_memory_gb += slot.memory_gb;
  quota.Add(slot.team, slot.cpus, slot.gpus);
  if (Job* job = FindJob(key.first.job); job != nullptr && !slot.orphaned) {
    job->tasks[key.first.index].phase = TaskPhase::kPlaced;
    job->pending.erase(key.first.index);
    ++job->placed_by_zone[m.zone];
  }
  m.allocations.emplace(key, std::move(slot));
}

void ClusterState::ReleaseResources(Machine& m, Allocation& slot, const wire::TaskId& task) {
  m.used_cpus -= slot.cpus;
  m.used_gpus -= slot.gpus;
  m.used_memory_gb -= slot.memory_gb;
  quota.Remove(slot.team, slot.cpus, slot.gpus);
  slot.cpus = slot.gpus = slot.memory_gb = 0;
  if (slot.orphaned) return;
  if (Job* job = FindJob(task.job)) {
    auto& n = job->placed_by_zone[m.zone];
    if (n > 0) --n;
    jobs::Task& t = job->tasks[task.index];
    if (t.phase == TaskPhase::kPlaced) OnAllocationRemoved(*job, task.index);
  }
}

// A start that was meant for a machine that is gone may have been taken by another under its old
// address. Its copy was to be stopped; started anew before it had ended, the task ran twice.
void ClusterState::OnAllocationRemoved(Job& job, uint32_t index) {
  const wire::TaskId task{job.spec.id, index};
  const auto copy = duplicates_.find(task);
  if (copy != duplicates_.end()) {
    const auto m = machines.find(copy->second);
    duplicates_.erase(copy);
    if (m != machines.end()) {
      auto& slots = m->second.allocations;
      for (auto it = slots.lower_bound({task, 0}); it != slots.end() && it->first.first == task;
           ++it) {
        if (!it->second.orphaned || it->second.exited()) continue;
        it->second.orphaned = false;
        job.tasks[index].phase = TaskPhase::kPlaced;
        ++job.placed_by_zone[m->second.zone];
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
  const QuotaCharge size{job->spec.team, job->spec.cpus, job->spec.gpus};
  if (withheld_.emplace(task, size).second) quota.Add(size.team, size.cpus, size.gpus);
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

void ClusterState::RemoveAllocation(Machine& m, std::map<AllocationKey, Allocation>::iterator it,
                                    double now) {
  if (!it->second.exited()) ReleaseResources(m, it->second, it->first.first);
  m.allocations.erase(it);
  if (m.allocations.empty()) m.idle_since = now;
  changed_since_pass = true;
}

void ClusterState::RemoveAllAllocations(Machine& m, double now) {
  while (!m.allocations.empty()) RemoveAllocation(m, m.allocations.begin(), now);
}

void ClusterState::Delegate(Job& job, uint32_t index, uint64_t lease) {
  job.pending.erase(index);
  job.tasks[index].phase = TaskPhase::kDelegated;
  delegated_tasks.Add({job.spec.id, index}, lease, {job.spec.team, job.spec.cpus, job.spec.gpus});
  quota.Add(job.spec.team, job.spec.cpus, job.spec.gpus);
}

bool ClusterState::ReturnDelegated(const wire::TaskId& task, uint64_t lease) {
  const auto size = delegated_tasks.Remove(task, lease);
  if (!size) return false;
  quota.Remove(size->team, size->cpus, size->gpus);
  changed_since_pass = true;
  Job* job = FindJob(task.job);
  if (job == nullptr || job->tasks[task.index].phase != TaskPhase::kDelegated) return true;
  OnAllocationRemoved(*job, task.index);
  return true;
}

bool ClusterState::IsSchedulable(const Machine& m, double now) const {
  if (m.handover_lease != 0) return false;
  if (m.shard_lease != 0) {
    return m.holder_status.schedulable && !m.recall_requested && !m.deleting && m.cpus > 0 &&
           now - m.holder_status_at < silent_s_;
  }
  if (m.unheeded_token == m.fencing_token) return false;
  // Orders don't renew its lease, so what has not found us, or reaches nobody any more although it
  // answers orders, would lose what it is given.
  if (now - std::max(m.lease_renewed_at, began_at) >= lease_s_ / 2) return false;
  return m.token_confirmed && !m.lost && !m.deleting && !m.quarantined && !m.reclaim_at &&
         m.cpus > 0 && now - m.last_contact_at < silent_s_;
}

void RequestStop(Machine& m, Allocation& slot, double grace_s) {
  m.has_pending_commands = true;
  if (slot.stop_requested && slot.grace_s <= grace_s) return;
  slot.stop_requested = true;
  slot.grace_s = grace_s;
  slot.stop_sent_at = -1e18;
}

}  // namespace mosspath::cluster
