#include "mosspath/scheduler/holder_sharding.h"

#include <algorithm>
#include <iterator>
#include <utility>

#include "mosspath/scheduler/run_time_estimate.h"

namespace mosspath::scheduler {

using cluster::Allocation;
using cluster::Machine;
using jobs::Job;
using jobs::TaskPhase;
using wire::ShardMessage;
using Kind = wire::ShardMessage::Kind;

namespace {

// The `count` of a kSetDraining message is a drain level. The machine drains if the level is above
// kNotDraining, and is also cordoned if the level is above kDrainingOnly.
constexpr uint64_t kNotDraining = 0;
constexpr uint64_t kDrainingOnly = 1;
// The `count` of a kHandOverTasks message for a machine that this holder has not returned since the
// handover. ShardHolder replaces the handover revision in the message by this value, or by 1 if
// this holder has returned the machine.
constexpr uint64_t kNotReturnedSinceHandover = 0;

}  // namespace

// ---------------------------------------------------------------------------- jobs and machines

void HolderSharding::LoadJob(wire::JobSpec spec, uint64_t version, double submitted) {
  const std::string id = spec.id;
  if (state_.cluster.jobs.contains(id)) return;
  jobs_.Add(std::move(spec), version, submitted);
  Job& job = *state_.cluster.FindJob(id);
  job.pending.clear();
  for (auto& task : job.tasks) task.phase = TaskPhase::kDelegated;
}

void HolderSharding::AcceptMachine(const std::string& id, const std::string& address,
                                   uint64_t token, double now) {
  if (state_.cluster.machines.contains(id) || state_.provisioning.is_deleted(id)) return;
  Machine& machine = state_.cluster.machines[id];
  machine.id = id;
  machine.RequireToken(token);
  machine.in_record = machine.record_durable = true;
  machine.recorded_address = address;
  machine.lease_renewed_at = now;
  state_.failover.AddMachine(machine, /*recovery_waits=*/false);
}

bool HolderSharding::AllMachinesKnown() const {
  const cluster::Machines& machines = state_.cluster.machines;
  return state_.reconciliation.empty() &&
         std::none_of(machines.begin(), machines.end(),
                      [](const auto& it) { return it.second.awaits_recovery; });
}

void HolderSharding::OnJobRemoved(const Job& job) {
  const std::string& id = job.spec.id;
  std::vector<uint32_t> held;
  for (uint32_t index = 0; index < job.spec.tasks; ++index) {
    const bool reconciling = state_.cluster.delegated_tasks.LeaseOf({id, index}) != kNoLease;
    if (reconciling || IsHeld(job, index)) held.push_back(index);
  }
  if (!held.empty()) ended_tasks_[id] = std::move(held);
}

// ---------------------------------------------------------------------------- leader's messages

void HolderSharding::OnLeaderMessage(const ShardMessage& message, double now) {
  switch (message.kind) {
    case Kind::kDelegateTasks:
      return OnDelegateTasks(message, now);
    case Kind::kHandOverTasks:
      return OnHandOverTasks(message, now);
    case Kind::kCompletionsDurable:
      return OnCompletionsDurable(message);
    case Kind::kStopTasks:
      for (const uint32_t index : message.tasks) StopTask(message.name, index);
      break;
    case Kind::kRecallMachine:
      OnRecallMachine(message.name);
      break;
    case Kind::kSetDraining:
      OnSetDraining(message.name, message.count);
      break;
    case Kind::kMachineDeleted:
      lifecycle_.OnMachineDeleted(message.name, now);
      break;
    default:
      return;  // only holders send the other kinds
  }
  state_.cluster.changed_since_pass = true;
}

void HolderSharding::OnDelegateTasks(const ShardMessage& message, double now) {
  Job* job = state_.cluster.FindJob(message.name);
  if (job == nullptr) {
    // The job has ended, or this holder has not read the job's record yet. In the latter case the
    // leader may delegate the returned tasks again.
    return SendToLeader(Kind::kReturnTasks, message.name, message.tasks);
  }
  for (const uint32_t index : message.tasks) {
    if (!CanAccept(*job, index) || ReclaimAllocation(*job, index)) continue;
    job->tasks[index].phase = TaskPhase::kPending;
    job->pending.insert(index);
  }
  job->last_delegated_at = now;
  state_.cluster.changed_since_pass = true;
}

void HolderSharding::OnHandOverTasks(const ShardMessage& message, double now) {
  Job* job = state_.cluster.FindJob(message.job);
  if (job == nullptr) return;
  const std::string& machine = message.name;
  // If this holder has already returned the machine, the holder can't find the tasks on
  // the machine, and their reconciliation would never end. The reconciliation is therefore ended at
  // once, as for a machine whose tasks are already determined.
  const bool known = message.count != kNotReturnedSinceHandover || IsMachineKnown(machine);
  const uint64_t reconciliation = state_.shard_leases.NextReconciliationId();
  for (const uint32_t index : message.tasks) {
    if (!CanAccept(*job, index) || ReclaimAllocation(*job, index)) continue;
    state_.cluster.Delegate(*job, index, reconciliation);
  }
  job->last_delegated_at = now;
  state_.reconciliation.Begin(reconciliation, {machine});
  if (known) lifecycle_.EndReconciliations(machine);
  state_.cluster.changed_since_pass = true;
}

bool HolderSharding::IsMachineKnown(const std::string& machine) const {
  const auto it = state_.cluster.machines.find(machine);
  if (it == state_.cluster.machines.end()) return state_.provisioning.is_deleted(machine);
  return !it->second.awaits_recovery;
}

bool HolderSharding::CanAccept(const Job& job, uint32_t index) const {
  return index < job.spec.tasks && job.tasks[index].phase == TaskPhase::kDelegated &&
         state_.cluster.delegated_tasks.LeaseOf({job.spec.id, index}) == kNoLease;
}

void HolderSharding::OnCompletionsDurable(const ShardMessage& message) {
  Job* job = state_.cluster.FindJob(message.name);
  if (job == nullptr) return;
  for (const uint32_t index : message.tasks) {
    if (index >= job->spec.tasks) continue;
    job->tasks[index].durable = true;
    job->done_not_durable.erase(index);
  }
}

void HolderSharding::OnRecallMachine(const std::string& machine) {
  const auto it = state_.cluster.machines.find(machine);
  if (it == state_.cluster.machines.end()) return;
  it->second.recall_requested = it->second.draining = true;
  it->second.cordoned = false;
}

void HolderSharding::OnSetDraining(const std::string& machine, uint64_t drain_level) {
  const auto it = state_.cluster.machines.find(machine);
  if (it == state_.cluster.machines.end() || it->second.recall_requested) return;
  it->second.draining = drain_level > kNotDraining;
  it->second.cordoned = drain_level > kDrainingOnly;
}

// A copy of the task that is being stopped may still run. No other copy may start before this copy
// has ended, so the task is treated as placed on this copy's machine.
bool HolderSharding::ReclaimAllocation(Job& job, uint32_t index) {
  const wire::TaskId task{job.spec.id, index};
  for (auto& [id, machine] : state_.cluster.machines) {
    for (auto it = machine.allocations.lower_bound({task, 0});
         it != machine.allocations.end() && it->first.first == task; ++it) {
      Allocation& allocation = it->second;
      if (!allocation.orphaned || allocation.exited()) continue;
      allocation.orphaned = false;
      job.tasks[index].phase = TaskPhase::kPlaced;
      ++job.placed_by_zone[machine.zone];
      return true;
    }
  }
  return false;
}

// The leader stops a task that is on another controller's machines or that the leader has recorded
// as done.
void HolderSharding::StopTask(const std::string& id, uint32_t index) {
  Job* job = state_.cluster.FindJob(id);
  if (job == nullptr || index >= job->spec.tasks) return;
  const wire::TaskId task{id, index};
  for (auto& [machine_id, machine] : state_.cluster.machines) {
    for (auto it = machine.allocations.lower_bound({task, 0});
         it != machine.allocations.end() && it->first.first == task; ++it) {
      Allocation& allocation = it->second;
      if (allocation.orphaned || allocation.exited()) continue;
      uint32_t& placed_in_zone = job->placed_by_zone[machine.zone];
      if (placed_in_zone > 0) --placed_in_zone;
      allocation.orphaned = true;
      cluster::RequestStop(machine, allocation, /*grace_s=*/0);
    }
  }
  job->pending.erase(index);
  if (job->tasks[index].phase != TaskPhase::kDone) job->tasks[index].phase = TaskPhase::kDelegated;
}

// ---------------------------------------------------------------------------- claims and returns

void HolderSharding::SendToLeader(Kind kind, const std::string& job,
                                  const std::vector<uint32_t>& tasks) {
  for (ShardMessage& message : TaskMessages(kind, job, tasks)) {
    state_.shard_leases.SendToLeader(std::move(message));
  }
}

bool HolderSharding::IsHeld(const Job& job, uint32_t index) const {
  const TaskPhase phase = job.tasks[index].phase;
  if (phase == TaskPhase::kPending || phase == TaskPhase::kPlaced) return true;
  return phase == TaskPhase::kDelegated &&
         state_.cluster.delegated_tasks.LeaseOf({job.spec.id, index}) != kNoLease;
}

std::vector<ShardMessage> HolderSharding::AllClaims() const {
  std::vector<ShardMessage> claims;
  const auto append = [&](Kind kind, const std::string& job, const std::vector<uint32_t>& tasks) {
    for (ShardMessage& message : TaskMessages(kind, job, tasks)) {
      claims.push_back(std::move(message));
    }
  };
  for (const auto& [id, job] : state_.cluster.jobs) {
    std::vector<uint32_t> held;
    for (uint32_t index = 0; index < job->spec.tasks; ++index) {
      if (IsHeld(*job, index)) held.push_back(index);
    }
    append(Kind::kClaimTasks, id, held);
    append(Kind::kTasksDone, id, {job->done_not_durable.begin(), job->done_not_durable.end()});
  }
  for (const auto& [id, tasks] : ended_tasks_) append(Kind::kClaimTasks, id, tasks);
  return claims;
}

void HolderSharding::ReturnExcess(double patience_s, bool leader_reachable, double now) {
  ReturnEndedTasks();
  ReturnMachines();
  migration_.MigrateFromDraining(now);
  cluster::Jobs& jobs = state_.cluster.jobs;
  for (auto it = jobs.begin(); it != jobs.end();) {
    const auto next = std::next(it);
    Job& job = *it->second;
    // Tasks that have waited too long for capacity in this shard may fit on another shard's
    // machines.
    const bool waits_too_long = now - job.last_delegated_at > patience_s || job.crash_looping;
    if (leader_reachable && !job.pending.empty() && waits_too_long) ReturnWaitingTasks(job);
    if (MayForgetJob(job, now)) {
      state_.placer.ForgetJob(job);
      jobs.erase(it);
    }
    it = next;
  }
}

// Returns the tasks of ended jobs once they no longer run on any machine.
void HolderSharding::ReturnEndedTasks() {
  for (auto it = ended_tasks_.begin(); it != ended_tasks_.end();) {
    const auto next = std::next(it);
    auto& [job, tasks] = *it;
    std::vector<uint32_t> ended;
    std::vector<uint32_t> running;
    for (const uint32_t index : tasks) {
      (MayStillRun({job, index}) ? running : ended).push_back(index);
    }
    SendToLeader(Kind::kReturnTasks, job, ended);
    tasks = std::move(running);
    if (tasks.empty()) ended_tasks_.erase(it);
    it = next;
  }
}

bool HolderSharding::MayStillRun(const wire::TaskId& task) const {
  const bool on_unknown_machine = state_.cluster.delegated_tasks.LeaseOf(task) != kNoLease;
  if (on_unknown_machine) return true;
  for (const auto& [id, machine] : state_.cluster.machines) {
    for (auto it = machine.allocations.lower_bound({task, 0});
         it != machine.allocations.end() && it->first.first == task; ++it) {
      if (!it->second.exited()) return true;
    }
  }
  return false;
}

void HolderSharding::ReturnMachines() {
  cluster::Machines& machines = state_.cluster.machines;
  for (auto it = machines.begin(); it != machines.end();) {
    const auto next = std::next(it);
    const Machine& machine = it->second;
    const bool recalled_and_empty = machine.recall_requested && machine.allocations.empty() &&
                                    !machine.command_in_flight && !machine.awaits_recovery;
    if (machine.lost || recalled_and_empty) {
      // The count is 1 if the machine is lost. ShardHolder adds the handover revision to the count
      // before it sends the message.
      state_.shard_leases.SendToLeader({.kind = Kind::kMachineReturned,
                                        .name = it->first,
                                        .count = machine.lost ? uint64_t{1} : 0});
      machines.erase(it);
    }
    it = next;
  }
}

void HolderSharding::ReturnWaitingTasks(Job& job) {
  const std::vector<uint32_t> waiting = job.pending.ToVector();
  SendToLeader(Kind::kReturnTasks, job.spec.id, waiting);
  job.pending.clear();
  for (const uint32_t index : waiting) job.tasks[index].phase = TaskPhase::kDelegated;
}

bool HolderSharding::MayForgetJob(const Job& job, double now) const {
  if (!job.pending.empty() || !job.done_not_durable.empty()) return false;
  if (now - job.last_delegated_at < state_.settings.agent_lease_s) return false;
  const bool any_placed = std::any_of(job.tasks.begin(), job.tasks.end(), [](const auto& task) {
    return task.phase == TaskPhase::kPlaced;
  });
  return !any_placed && state_.cluster.delegated_tasks.OfJob(job.spec.id).empty();
}

// ---------------------------------------------------------------------------- load and status

ShardMessage HolderSharding::MakeLoadMessage(uint64_t applied_batch) const {
  ShardMessage message{.kind = Kind::kLoad, .count = applied_batch};
  for (const auto& [id, job] : state_.cluster.jobs) {
    message.seconds += static_cast<double>(job->pending.size()) * job->spec.cpus;
  }
  return message;
}

ShardMessage HolderSharding::MakeMachineStatus(const Machine& machine, double now) const {
  ShardMessage::MachineStatus status;
  status.address = machine.address;
  status.type = machine.type;
  status.zone = machine.zone;
  status.spot = machine.spot;
  status.schedulable = state_.cluster.IsSchedulable(machine, now) && !machine.recall_requested;
  status.unresponsive = now - machine.last_contact_at > state_.derived.agent_suspect_s;
  status.used_cpus = machine.used_cpus;
  status.used_gpus = machine.used_gpus;
  status.used_memory_gb = machine.used_memory_gb;
  status.idle = machine.token_confirmed;
  for (const auto& [key, allocation] : machine.allocations) {
    const Job* job = allocation.orphaned ? nullptr : state_.cluster.FindJob(key.first.job);
    if (!allocation.exited() || job != nullptr) status.idle = false;
    if (allocation.exited()) continue;
    const bool on_demand_only = job != nullptr && !job->spec.spot_allowed;
    status.has_on_demand_work = status.has_on_demand_work || (!machine.spot && on_demand_only);
    status.remaining_cpu_s += allocation.cpus * RemainingRunS(allocation, now);
  }
  status.idle_s = status.idle ? now - machine.idle_since : 0;
  ShardMessage message{.kind = Kind::kMachineStatus, .name = machine.id};
  message.machine = std::move(status);
  return message;
}

}  // namespace mosspath::scheduler
