#include "mosspath/scheduler/leader_sharding.h"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <iterator>
#include <utility>

#include "mosspath/scheduler/role.h"

namespace mosspath::scheduler {

using cluster::Machine;
using jobs::Job;
using jobs::TaskPhase;
using wire::ShardMessage;
using Kind = wire::ShardMessage::Kind;

namespace {

// Upper limit of the retry count that is accepted from a holder's report on a crash-looping job.
constexpr uint64_t kMaxRetries = 1000;

// The decoded `count` of a kMachineReturned message (wire/shard_frame.h).
struct ReturnedMachine {
  uint64_t handover_revision = 0;
  bool lost = false;
};

ReturnedMachine DecodeReturnedMachine(uint64_t count) { return {count >> 1, (count & 1) != 0}; }

cluster::MachineStatusUpdate ToStatusUpdate(const ShardMessage::MachineStatus& status) {
  cluster::MachineStatusUpdate update;
  update.schedulable = status.schedulable;
  update.idle = status.idle;
  update.has_on_demand_work = status.has_on_demand_work;
  update.unresponsive = status.unresponsive;
  update.idle_s = status.idle_s;
  update.remaining_cpu_s = status.remaining_cpu_s;
  update.used_cpus = status.used_cpus;
  update.used_gpus = status.used_gpus;
  update.used_memory_gb = status.used_memory_gb;
  return update;
}

}  // namespace

// ---------------------------------------------------------------------------- leases

void LeaderSharding::OpenLease(uint64_t lease, size_t shard, bool inherited) {
  state_.shard_leases.Open(lease, shard);
  // Until the holder has claimed its tasks, the leader can't tell which other tasks are safe to
  // start.
  if (inherited) state_.failover.AwaitHolder(lease);
}

void LeaderSharding::SetLeaseReady(uint64_t lease, bool ready) {
  ShardLeases::Lease* held = state_.shard_leases.Find(lease);
  if (held == nullptr || held->ready == ready) return;
  held->ready = ready;
  state_.cluster.changed_since_pass = true;
}

uint64_t LeaderSharding::LeaseOf(const std::string& machine) const {
  const cluster::Machines& delegated = state_.cluster.delegated_machines;
  const auto it = delegated.find(machine);
  return it == delegated.end() ? kNoLease : it->second.shard_lease;
}

void LeaderSharding::CloseLease(uint64_t lease, double last_acted) {
  const ShardLeases::Lease* held = state_.shard_leases.Find(lease);
  if (held == nullptr) return;
  for (const auto& [job, tasks] : held->unsent_tasks) {
    for (const uint32_t index : tasks) state_.cluster.ReturnDelegated({job, index}, lease);
  }
  std::vector<std::string> machines = TakeBackDelegatedMachines(lease, last_acted);
  const std::vector<std::string> aborted = AbortHandovers(lease, last_acted);
  machines.insert(machines.end(), aborted.begin(), aborted.end());
  state_.failover.OnHolderSynced(lease);
  state_.shard_leases.Close(lease);
  const auto tasks = state_.cluster.delegated_tasks.UnderLease(lease);
  spdlog::info("scheduler: lease_closed lease={} machines_to_ask={} tasks={}", lease,
               machines.size(), tasks.size());
  if (!state_.reconciliation.Begin(lease, machines)) {
    for (const auto& task : tasks) state_.cluster.ReturnDelegated(task, lease);
  }
  state_.cluster.changed_since_pass = state_.wants_scaling_plan = true;
}

std::vector<std::string> LeaderSharding::TakeBackDelegatedMachines(uint64_t lease,
                                                                   double last_acted) {
  const bool recovery_awaits_holder = state_.failover.IsAwaiting(lease);
  std::vector<std::string> taken_back;
  for (const auto& [id, machine] : state_.cluster.delegated_machines) {
    if (machine.shard_lease == lease) taken_back.push_back(id);
  }
  for (const auto& id : taken_back) {
    const Machine delegated = state_.cluster.delegated_machines.at(id);
    Machine& machine = handover_.TakeBack(delegated, lease, last_acted);
    state_.failover.AddMachine(machine, recovery_awaits_holder);
    machine.lease_renewed_at = last_acted;
  }
  return taken_back;
}

// Aborts the handovers to the holder of the lease. The record of such a machine may already name
// the holder, so the holder may have sent commands to the machine and started delegated tasks
// there. Returns the machines that must be probed for their tasks.
std::vector<std::string> LeaderSharding::AbortHandovers(uint64_t lease, double last_acted) {
  std::vector<std::string> aborted;
  for (auto& [id, machine] : state_.cluster.machines) {
    if (machine.handover_lease != lease) continue;
    machine.handover_lease = kNoLease;
    machine.answers_suspended = false;
    machine.needs_new_token = true;
    machine.recorded_address = machine.address;
    machine.expired_lease = lease;
    state_.durable_state.AssignMachine(machine, machine.address, lease);
    if (machine.lost) continue;
    state_.failover.AddMachine(machine, /*recovery_waits=*/false);
    machine.lease_renewed_at = std::max(machine.lease_renewed_at, last_acted);
    aborted.push_back(id);
  }
  return aborted;
}

std::set<uint64_t> LeaderSharding::ExpiredLeases() const {
  std::set<uint64_t> leases;
  for (const auto& [id, machine] : state_.cluster.machines) {
    if (machine.expired_lease != kNoLease) leases.insert(machine.expired_lease);
  }
  return leases;
}

void LeaderSharding::OnHolderCeased(uint64_t lease, double now) {
  for (auto& [id, machine] : state_.cluster.machines) {
    if (machine.expired_lease != lease) continue;
    machine.lease_renewed_at = std::min(machine.lease_renewed_at, now);
  }
}

// ---------------------------------------------------------------------------- messages

void LeaderSharding::OnHolderMessage(uint64_t lease, const ShardMessage& message, double now) {
  if (state_.shard_leases.Find(lease) == nullptr) return;
  switch (message.kind) {
    case Kind::kClaimTasks:
      return OnClaim(lease, message);
    case Kind::kSyncComplete:
      return OnSyncComplete(lease, message.count);
    case Kind::kTasksDone:
      return OnTasksDone(lease, message, now);
    case Kind::kReturnTasks:
      for (const uint32_t index : message.tasks) {
        state_.cluster.ReturnDelegated({message.name, index}, lease);
      }
      return;
    case Kind::kMachineStatus:
      return OnMachineStatus(lease, message, now);
    case Kind::kMachineReturned:
      return OnMachineReturned(lease, message, now);
    case Kind::kLoad:
      return OnLoad(lease, message, now);
    case Kind::kCrashLoop:
      return OnCrashLoop(message, now);
    default:
      return;  // only leaders send messages of the remaining kinds
  }
}

// Handles a claim of tasks that the holder has although this leader has not delegated them: an
// earlier leader delegated them, or they ran on machines that were handed over to the holder.
void LeaderSharding::OnClaim(uint64_t lease, const ShardMessage& message) {
  Job* job = state_.cluster.FindJob(message.name);
  std::vector<uint32_t> refused;
  for (const uint32_t index : message.tasks) {
    if (job == nullptr) {
      OnClaimOfUnknownJob(lease, {message.name, index});
    } else if (index < job->spec.tasks && !AcceptClaim(lease, *job, index)) {
      refused.push_back(index);
    }
  }
  for (ShardMessage& stop : TaskMessages(Kind::kStopTasks, message.name, refused)) {
    spdlog::info("scheduler: claim_refused job={} tasks={}", message.name, stop.tasks.size());
    state_.shard_leases.SendToHolder(lease, std::move(stop));
  }
}

// The job has ended: this leader has read all jobs that were accepted before its election and have
// not ended since. The task may still run. Its team and its resources can no longer be looked up,
// so the task is counted as one of unknown quota use.
void LeaderSharding::OnClaimOfUnknownJob(uint64_t lease, const wire::TaskId& task) {
  cluster::ClusterState& cluster = state_.cluster;
  if (cluster.delegated_tasks.LeaseOf(task) != kNoLease) return;
  cluster.delegated_tasks.Add(task, lease, {});
  cluster.quota.Add("", 0, 0);
  cluster.quota.AddUnknownTask();
}

// Records a claimed task as delegated to the holder of the lease, if the task is pending or being
// reconciled. Returns false if the task is done, or belongs to another controller or lease.
bool LeaderSharding::AcceptClaim(uint64_t lease, Job& job, uint32_t index) {
  const wire::TaskId task{job.spec.id, index};
  cluster::ClusterState& cluster = state_.cluster;
  if (state_.IsReconciling(task)) {
    cluster.ReturnDelegated(task, cluster.delegated_tasks.LeaseOf(task));
  }
  if (job.tasks[index].phase == TaskPhase::kPending) {
    cluster.Delegate(job, index, lease);
    return true;
  }
  return cluster.delegated_tasks.LeaseOf(task) == lease || IsBeingHandedOver(task, lease);
}

// Returns whether the task is on a machine that is being handed over to the holder. The holder may
// already command the machine, although this leader has not yet received the confirmation that the
// record was written. Without this check, the claimed task was treated as a duplicate: the holder
// was ordered to stop it, and it was started on another machine before it had ended, so it ran
// twice.
bool LeaderSharding::IsBeingHandedOver(const wire::TaskId& task, uint64_t lease) const {
  const cluster::Machines& machines = state_.cluster.machines;
  return std::any_of(machines.begin(), machines.end(), [&](const auto& it) {
    const Machine& machine = it.second;
    if (machine.handover_lease != lease) return false;
    const auto allocation = machine.allocations.lower_bound({task, 0});
    return allocation != machine.allocations.end() && allocation->first.first == task;
  });
}

// The holder has claimed all tasks of the machines that it commands according to its view of the
// key-value store up to `known_revision`. The message is ignored if that view is older than the
// election of this leader.
void LeaderSharding::OnSyncComplete(uint64_t lease, uint64_t known_revision) {
  if (known_revision >= state_.token && state_.failover.OnHolderSynced(lease)) {
    spdlog::info("scheduler: recovery_complete cause=holders_synced");
  }
  state_.cluster.changed_since_pass = true;
}

void LeaderSharding::OnTasksDone(uint64_t lease, const ShardMessage& message, double now) {
  Job* job = state_.cluster.FindJob(message.name);
  ShardLeases::Lease* held = state_.shard_leases.Find(lease);
  for (const uint32_t index : message.tasks) {
    state_.cluster.ReturnDelegated({message.name, index}, lease);
    if (job == nullptr || index >= job->spec.tasks) continue;
    if (job->MarkDone(index)) state_.role->OnTaskDone(*job, index);
    if (!job->tasks[index].start_counted) state_.activity.OnTaskStarted(*job, index, now);
    held->done_not_durable[message.name].insert(index);
  }
  if (job != nullptr) {
    job->consecutive_failures = 0;
    job->timed_run_s += message.seconds;
    job->timed_tasks += static_cast<uint32_t>(message.count);
  }
  SendDurableCompletions();
  state_.cluster.changed_since_pass = true;
}

void LeaderSharding::SendDurableCompletions() {
  for (auto& [lease, held] : state_.shard_leases.leases()) {
    for (auto it = held.done_not_durable.begin(); it != held.done_not_durable.end();) {
      const auto next = std::next(it);
      auto& [id, not_durable] = *it;
      const Job* job = state_.cluster.FindJob(id);
      if (job != nullptr) {
        std::vector<uint32_t> durable;
        std::copy_if(not_durable.begin(), not_durable.end(), std::back_inserter(durable),
                     [&](uint32_t index) { return job->tasks[index].durable; });
        for (const uint32_t index : durable) not_durable.erase(index);
        for (ShardMessage& message : TaskMessages(Kind::kCompletionsDurable, id, durable)) {
          held.outbox.push_back(std::move(message));
        }
      }
      // Tasks of an ended job need no message: the holder reads from the store which jobs have
      // ended.
      if (job == nullptr || not_durable.empty()) held.done_not_durable.erase(it);
      it = next;
    }
  }
}

Machine* LeaderSharding::FindDelegated(const std::string& machine, uint64_t lease) {
  cluster::Machines& delegated = state_.cluster.delegated_machines;
  const auto it = delegated.find(machine);
  return it == delegated.end() || it->second.shard_lease != lease ? nullptr : &it->second;
}

void LeaderSharding::OnMachineStatus(uint64_t lease, const ShardMessage& message, double now) {
  Machine* machine = FindDelegated(message.name, lease);
  if (machine == nullptr || !message.machine) return;
  const ShardMessage::MachineStatus& status = *message.machine;
  if (machine->address.empty() || machine->type != status.type) {
    machine->address = machine->recorded_address = status.address;
    machine->type = status.type;
    machine->zone = status.zone;
    machine->spot = status.spot;
    state_.cluster.machine_types.ApplyTo(*machine);
    state_.provisioning.OnMachineUp(machine->id);
  }
  const uint64_t applied_batch = state_.shard_leases.Find(lease)->applied_batch;
  state_.shard_leases.OnMachineStatus(*machine, ToStatusUpdate(status), applied_batch, now);
  if (!status.unresponsive) machine->last_contact_at = now;
  state_.cluster.changed_since_pass = true;
}

// A returned machine is empty or lost, so the leader does not probe it for tasks.
void LeaderSharding::OnMachineReturned(uint64_t lease, const ShardMessage& message, double now) {
  const Machine* found = FindDelegated(message.name, lease);
  if (found == nullptr) return;
  // A holder repeats all its returns to a new leader. Since a return, the machine may have been
  // handed over to the holder again, with tasks, and the holder may not have read the new record
  // yet. A return that belongs to an earlier handover is therefore ignored.
  const ReturnedMachine returned = DecodeReturnedMachine(message.count);
  if (returned.handover_revision < found->handover_revision) return;
  const Machine delegated = *found;
  Machine& machine = handover_.TakeBack(delegated, kNoLease, now);
  machine.address = delegated.recorded_address;
  machine.type = delegated.type;
  machine.zone = delegated.zone;
  machine.spot = delegated.spot;
  machine.shard = state_.shard_leases.own_shard();
  machine.last_contact_at = delegated.last_contact_at;
  machine.idle_since = now;
  machine.lost = returned.lost;
  state_.cluster.machine_types.ApplyTo(machine);
  state_.cluster.changed_since_pass = state_.wants_scaling_plan = true;
}

void LeaderSharding::OnLoad(uint64_t lease, const ShardMessage& message, double now) {
  ShardLeases::Lease& held = *state_.shard_leases.Find(lease);
  held.waiting_cpus = message.seconds;
  held.applied_batch = message.count;
  held.ahead_cpus_by_batch.erase(held.ahead_cpus_by_batch.begin(),
                                 held.ahead_cpus_by_batch.upper_bound(held.applied_batch));
  held.cpus = 0;
  for (auto& [id, machine] : state_.cluster.delegated_machines) {
    if (machine.shard_lease != lease) continue;
    // The holder reports only changes of a machine, so a machine that was reported idle is still
    // idle. Without this extrapolation of its idle time, no delegated machine was ever deleted.
    if (machine.holder_status.idle) {
      machine.holder_status.idle_s += now - machine.holder_status_at;
    }
    machine.holder_status_at = now;
    if (!machine.holder_status.unresponsive) machine.last_contact_at = now;
    if (state_.cluster.IsSchedulable(machine, now)) held.cpus += machine.cpus;
  }
}

void LeaderSharding::OnCrashLoop(const ShardMessage& message, double now) {
  Job* job = state_.cluster.FindJob(message.name);
  if (job == nullptr || job->done > 0) return;
  job->crash_looping = true;
  job->retries = static_cast<uint32_t>(std::min(message.count, kMaxRetries));
  job->not_before = now + state_.settings.agent_lease_s;
  state_.role->OnCrashLoop(*job);
}

}  // namespace mosspath::scheduler
