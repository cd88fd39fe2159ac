#include "mosspath/scheduler/machine_lifecycle.h"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <iterator>
#include <set>
#include <utility>

#include "mosspath/scheduler/role.h"
#include "mosspath/scheduler/time_points.h"

namespace mosspath::scheduler {

using cluster::Allocation;
using cluster::Machine;

// ---------------------------------------------------------------------------- adding machines

void MachineLifecycle::AddRecorded(const std::string& id, const MachineRecord& record) {
  if (const ShardLeases::Lease* lease = state_.shard_leases.Find(record.lease)) {
    return AddDelegated(id, record, lease->shard);
  }
  Machine& machine = state_.cluster.machines[id];
  machine.in_record = machine.record_durable = true;
  if (machine.awaits_recovery) return;
  machine.id = id;
  machine.RequireToken(state_.token);
  machine.recorded_address = record.address;
  state_.failover.AddMachine(machine);
  // The record may name a lease that is not open under this leader. The holder of that lease may go
  // on commanding the machine until the holder's view of the key-value store is too old.
  if (record.lease != kNoLease) machine.lease_renewed_at += state_.derived.shard_hold_s;
  machine.expired_lease = record.lease;
}

// Adds a machine that another controller commands. The holder reports the tasks on the machine. The
// machine can't be in `machines` as well, because each machine has its record in exactly one pack.
void MachineLifecycle::AddDelegated(const std::string& id, const MachineRecord& record,
                                    size_t shard) {
  Machine& machine = state_.cluster.delegated_machines[id];
  machine.id = id;
  machine.shard_lease = record.lease;
  machine.handover_revision = record.handover_revision;
  machine.shard = shard;
  machine.in_record = machine.record_durable = true;
  machine.recorded_address = record.address;
  machine.first_contact_at = machine.last_contact_at = state_.failover.began_at();
}

Machine& MachineLifecycle::FindOrAdd(const wire::Heartbeat& heartbeat, double now) {
  Machine& machine = state_.cluster.machines[heartbeat.machine];
  if (machine.address.empty()) {
    // A machine that another controller has commanded already has a fencing token, which is higher
    // than the token of that controller.
    if (machine.id.empty()) machine.RequireToken(state_.token);
    machine.id = heartbeat.machine;
    machine.type = heartbeat.type;
    machine.zone = heartbeat.zone;
    machine.spot = heartbeat.spot;
    machine.shard = state_.placer.ShardOf(machine);
    machine.first_contact_at = machine.idle_since = now;
    state_.cluster.machine_types.ApplyTo(machine);
    state_.provisioning.OnMachineUp(heartbeat.machine);
    spdlog::info("scheduler: machine_added machine={} type={} zone={} spot={}", machine.id,
                 machine.type, machine.zone, machine.spot);
  }
  machine.address = heartbeat.address;
  return machine;
}

void MachineLifecycle::OnAgentEpoch(Machine& machine, uint64_t agent_epoch, double now) {
  if (agent_epoch == machine.agent_epoch) return;
  const bool had_epoch = machine.agent_epoch != 0;
  const bool lease_was_valid = now - machine.lease_renewed_at < state_.settings.agent_lease_s;
  if (had_epoch && machine.token_confirmed && !machine.lost && lease_was_valid) {
    // The agent's lease has expired although all of its heartbeats were answered.
    spdlog::info("scheduler: unexpected_agent_epoch machine={}", machine.id);
    OnDeliveryFailureSuspected(machine);
  }
  // The lease of the earlier epoch has expired: the agent has killed all of its tasks, and refuses
  // late commands that were sent for that epoch.
  for (auto it = machine.allocations.begin(); it != machine.allocations.end();) {
    const auto next = std::next(it);
    if (it->second.state != Allocation::State::kPlanned) {
      state_.cluster.RemoveAllocation(machine, it, now);
    }
    it = next;
  }
  if (had_epoch) {
    spdlog::info("scheduler: agent_epoch_began machine={} epoch={}", machine.id, agent_epoch);
  }
  machine.agent_epoch = agent_epoch;
  // An agent epoch lasts for at least one agent lease, even if none of its heartbeats is answered.
  // The expiry of the lease must therefore not be counted from the last heartbeat answer alone.
  // When the expiry was counted that way, an epoch that was first seen in the answer to a command
  // batch executed starts, and went on after its lease was taken to have expired: tasks ran twice.
  machine.epoch_seen_at = now;
}

void MachineLifecycle::OnMachineReconciled(Machine& machine) {
  const bool awaited_recovery = machine.awaits_recovery;
  state_.failover.OnMachineReconciled(machine);
  state_.cluster.changed_since_pass = state_.cluster.changed_since_pass || awaited_recovery;
  const uint64_t expired_lease = std::exchange(machine.expired_lease, kNoLease);
  if (expired_lease != kNoLease && machine.in_record) {
    state_.durable_state.ClearExpiredLease(machine.id, machine.recorded_address);
  }
  EndReconciliations(machine.id);
}

void MachineLifecycle::EndReconciliations(const std::string& machine) {
  if (state_.reconciliation.empty()) return;
  for (const uint64_t reconciliation : state_.reconciliation.OnMachineReconciled(machine)) {
    const auto not_found = state_.cluster.delegated_tasks.UnderLease(reconciliation);
    for (const auto& task : not_found) state_.cluster.ReturnDelegated(task, reconciliation);
    state_.role->OnReconciliationEnded(reconciliation, not_found.size());
  }
}

void MachineLifecycle::OnRecordDurable(Machine& machine, uint64_t revision) {
  if (!machine.needs_new_token) return;
  machine.needs_new_token = false;
  machine.RequireToken(revision);
  machine.next_probe_at = kLongAgo;
}

void MachineLifecycle::OnDeliveryFailureSuspected(Machine& machine) {
  machine.ignored_answers = 0;
  state_.role->OnDeliveryFailureSuspected(machine);
}

// ---------------------------------------------------------------------------- removing machines

void MachineLifecycle::ExpireLeases(double now) {
  cluster::Machines& machines = state_.cluster.machines;
  for (auto it = machines.begin(); it != machines.end();) {
    Machine& machine = it->second;
    const auto next = std::next(it);
    const double lease_began_at = std::max(machine.lease_renewed_at, machine.epoch_seen_at);
    if (!machine.lost && now - lease_began_at > state_.derived.agent_lease_over_s) {
      OnLeaseExpired(machine, now);
      const bool may_forget = state_.role->OnMachineLost(machine);
      if (may_forget && machine.address.empty()) machines.erase(it);
    }
    it = next;
  }
}

void MachineLifecycle::OnLeaseExpired(Machine& machine, double now) {
  const size_t tasks = machine.allocations.size();
  spdlog::info("scheduler: machine_lost machine={} tasks={}", machine.id, tasks);
  state_.activity.AddIncident(
      now, "machine " + machine.id + " was lost with " + std::to_string(tasks) + " tasks");
  machine.lost = true;
  machine.token_confirmed = false;
  machine.min_agent_epoch = machine.agent_epoch + 1;
  EndAllocations(machine, now);
  OnMachineReconciled(machine);
}

void MachineLifecycle::OnMachineDeleted(const std::string& id, double now) {
  state_.provisioning.OnMachineDeleted(id, now);
  cluster::ClusterState& cluster = state_.cluster;
  if (auto it = cluster.delegated_machines.find(id); it != cluster.delegated_machines.end()) {
    return OnDelegatedMachineDeleted(it);
  }
  const auto it = cluster.machines.find(id);
  if (it == cluster.machines.end()) return EndReconciliations(id);
  OnMachineReconciled(it->second);
  EndAllocations(it->second, now);
  cluster.machines.erase(it);
  state_.durable_state.RemoveMachine(id);
  cluster.changed_since_pass = true;
}

void MachineLifecycle::OnDelegatedMachineDeleted(cluster::Machines::iterator machine) {
  const std::string id = machine->first;
  state_.shard_leases.SendToHolder(machine->second.shard_lease,
                                   {.kind = wire::ShardMessage::Kind::kMachineDeleted, .name = id});
  state_.cluster.delegated_machines.erase(machine);
  state_.durable_state.RemoveMachine(id);
  state_.cluster.changed_since_pass = true;
}

void MachineLifecycle::EndAllocations(Machine& machine, double now) {
  // The holder of a shard receives no machine lists. It can't rule out that another machine has
  // executed an unconfirmed start, and could never release a withheld task; docs/sharding.md
  // describes the remaining risk.
  if (state_.role->ReceivesMachineLists()) WithholdUnconfirmedStarts(machine);
  state_.cluster.RemoveAllAllocations(machine, now);
  ReleaseRuledOutStarts();
}

// Withholds the tasks whose start was sent directly to the agent and got no answer: another machine
// that has reused the address may have executed the start. Without this, such a task was restarted
// elsewhere at once, and ran twice.
void MachineLifecycle::WithholdUnconfirmedStarts(const Machine& machine) {
  for (const auto& [key, allocation] : machine.allocations) {
    const wire::TaskId& task = key.first;
    if (allocation.orphaned || allocation.state != Allocation::State::kStartSent ||
        !allocation.start_sent_directly) {
      continue;
    }
    if (state_.cluster.FindJob(task.job) == nullptr || state_.cluster.HasDuplicate(task)) continue;
    spdlog::debug("scheduler: task_withheld task={} address={}", wire::TaskName(task),
                  machine.address);
    state_.cluster.Withhold(task);
    state_.unconfirmed_starts.Add(
        task, {machine.id, machine.address, allocation.start_sent_token, allocation.start_sent_at});
  }
}

void MachineLifecycle::ReleaseRuledOutStarts() {
  if (state_.unconfirmed_starts.empty()) return;
  std::set<std::string> suspects;
  for (const auto& task : state_.unconfirmed_starts.TakeRuledOut(state_.cluster, suspects)) {
    spdlog::debug("scheduler: withheld_task_released task={}", wire::TaskName(task));
    state_.cluster.ReleaseWithheld(task);
  }
  for (const auto& id : suspects) {
    Machine& machine = state_.cluster.machines.at(id);
    if (machine.token_confirmed) OnDeliveryFailureSuspected(machine);
  }
}

}  // namespace mosspath::scheduler
