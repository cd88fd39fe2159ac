#include "mosspath/scheduler/ahead_delegation.h"

#include <algorithm>

namespace mosspath::scheduler {

using cluster::Machine;
using jobs::Job;

namespace {

// Urgent tasks are delegated until the CPUs of the tasks that wait with a holder reach this
// multiple of the limit for other tasks.
constexpr double kUrgentAheadFactor = 2;
constexpr double kMinTaskCpus = 0.1;  // a task with fewer CPUs is charged this many

}  // namespace

AheadDelegation::AheadDelegation(cluster::ClusterState& cluster, ShardLeases& shard_leases,
                                 StartGate& start_gate, const MachineFilter& filter)
    : cluster_(cluster), shard_leases_(shard_leases), start_gate_(start_gate), filter_(filter) {}

void AheadDelegation::Run(const std::vector<Job*>& waiting_jobs, double now) {
  std::vector<Receiver> receivers = FindReceivers();
  if (receivers.empty()) return;
  for (Job* job : waiting_jobs) {
    if (job->pending.empty() || !IsDelegable(*job)) continue;
    // Best-effort tasks run only on idle capacity, so they are not delegated ahead: the tasks that
    // wait with a holder take all capacity that comes free.
    if (job->best_effort) continue;
    const size_t max_tasks = start_gate_.PlaceableTasks(*job);
    if (max_tasks == 0) continue;
    const bool urgent = job->spec.priority >= wire::Priority::kHigh;
    std::sort(receivers.begin(), receivers.end(), [urgent](const Receiver& a, const Receiver& b) {
      return a.RoomCpus(urgent) > b.RoomCpus(urgent);
    });
    const bool all_full = receivers.front().RoomCpus(urgent) <= 0;
    if (all_full && !urgent) break;
    if (!all_full) DelegateJob(*job, max_tasks, urgent, receivers, now);
  }
}

std::vector<AheadDelegation::Receiver> AheadDelegation::FindReceivers() const {
  std::vector<Receiver> receivers;
  for (const auto& [id, lease] : shard_leases_.leases()) {
    if (!lease.ready || lease.cpus <= 0) continue;
    Receiver receiver;
    receiver.lease = id;
    receiver.room_cpus = shard_leases_.RoomAheadCpus(lease, share_);
    receiver.urgent_room_cpus = shard_leases_.RoomAheadCpus(lease, kUrgentAheadFactor * share_);
    receivers.push_back(receiver);
  }
  return receivers;
}

bool AheadDelegation::HasMachineFor(const Job& job, uint64_t lease, double now) const {
  const cluster::Resources task = cluster::TaskResources(job.spec);
  return std::any_of(cluster_.delegated_machines.begin(), cluster_.delegated_machines.end(),
                     [&](const auto& entry) {
                       const Machine& machine = entry.second;
                       return machine.shard_lease == lease &&
                              cluster_.IsSchedulable(machine, now) &&
                              filter_.IsAllowedOn(job, machine, now) &&
                              cluster::Fits(task, machine.resources());
                     });
}

void AheadDelegation::DelegateJob(Job& job, size_t max_tasks, bool urgent,
                                  std::vector<Receiver>& receivers, double now) {
  size_t left = max_tasks;
  for (Receiver& receiver : receivers) {
    if (left == 0 || receiver.RoomCpus(urgent) <= 0) return;
    if (!HasMachineFor(job, receiver.lease, now)) continue;
    if (!start_gate_.HasDurableStartMarker(job)) return;
    left -= DelegateTasks(job, left, urgent, receiver);
  }
}

size_t AheadDelegation::DelegateTasks(Job& job, size_t max_tasks, bool urgent, Receiver& receiver) {
  const double task_cpus = std::max(job.spec.cpus, kMinTaskCpus);
  size_t delegated = 0;
  while (delegated < max_tasks && receiver.RoomCpus(urgent) > 0) {
    const uint32_t index = job.pending.first();
    shard_leases_.DelegateAhead(receiver.lease, job, index);
    cluster_.Delegate(job, index, receiver.lease);
    receiver.room_cpus -= task_cpus;
    receiver.urgent_room_cpus -= task_cpus;
    ++delegated;
  }
  return delegated;
}

}  // namespace mosspath::scheduler
