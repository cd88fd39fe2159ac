#include "mosspath/scheduler/machine_handover.h"

#include <algorithm>
#include <string>
#include <utility>

#include "mosspath/scheduler/quota_reservation.h"

namespace mosspath::scheduler {

using cluster::Allocation;
using cluster::Machine;
using jobs::Job;
using jobs::TaskPhase;
using wire::ShardMessage;

namespace {

// Limit on the handovers in progress: this number of machines, or this share of the machines that
// the leader commands, whichever is more.
constexpr size_t kMinHandovers = 8;
constexpr double kMaxHandoverShare = 0.125;
// Limit on the recalls in progress, as a share of the delegated machines; at least one is allowed.
constexpr double kMaxRecallShare = 0.125;
// Machines are recalled once the oldest job that only the leader may place has waited for this many
// heartbeat intervals.
constexpr double kRecallPatienceHeartbeats = 0.5;

size_t ShareOf(double share, size_t machines) {
  return static_cast<size_t>(share * static_cast<double>(machines));
}

}  // namespace

// ---------------------------------------------------------------------------- handing over

void MachineHandover::HandOverMachines(double now) {
  if (!state_.failover.recovery_complete()) return;
  cluster::Machines& machines = state_.cluster.machines;
  const double cpus_to_keep = CpusForLeaderOnlyWork();
  double cpus = 0;
  for (const auto& [id, machine] : machines) {
    cpus += state_.cluster.IsSchedulable(machine, now) ? machine.cpus : 0;
  }
  size_t allowed = HandoversAllowed();
  for (auto& [id, machine] : machines) {
    if (allowed == 0) return;
    if (!CanHandOver(machine, now)) continue;
    const size_t shard = state_.placer.shard_map().ShardOf(machine.id, machine.zone);
    const uint64_t lease = state_.shard_leases.ReadyLeaseOf(shard);
    if (lease == kNoLease) continue;
    if (RunsLeaderOnlyWork(machine) || cpus - machine.cpus < cpus_to_keep) continue;
    cpus -= machine.cpus;
    machine.handover_lease = lease;
    state_.durable_state.AssignMachine(machine, machine.address, lease);
    --allowed;
  }
}

// Returns the CPUs that the leader keeps for the jobs that only it may place.
double MachineHandover::CpusForLeaderOnlyWork() const {
  double cpus = 0;
  for (const auto& [id, job] : state_.cluster.jobs) {
    if (state_.placer.IsDelegable(*job)) continue;
    const double tasks = job->crash_looping
                             ? job->placed() + static_cast<double>(RunnableTasks(*job))
                             : job->spec.tasks - job->done;
    cpus += tasks * job->spec.cpus;
  }
  return cpus;
}

size_t MachineHandover::HandoversAllowed() const {
  const cluster::Machines& machines = state_.cluster.machines;
  const size_t limit = std::max(kMinHandovers, ShareOf(kMaxHandoverShare, machines.size()));
  const auto in_progress =
      static_cast<size_t>(std::count_if(machines.begin(), machines.end(), [](const auto& it) {
        return it.second.handover_lease != kNoLease;
      }));
  return limit - std::min(limit, in_progress);
}

bool MachineHandover::CanHandOver(const Machine& machine, double now) const {
  return machine.handover_lease == kNoLease && !machine.needs_new_token &&
         !machine.awaits_recovery && machine.record_durable &&
         state_.cluster.IsSchedulable(machine, now) && now >= machine.handover_not_before;
}

bool MachineHandover::RunsLeaderOnlyWork(const Machine& machine) const {
  return std::any_of(machine.allocations.begin(), machine.allocations.end(), [&](const auto& it) {
    const auto& [key, allocation] = it;
    if (allocation.orphaned) return true;
    const Job* job = state_.cluster.FindJob(key.first.job);
    return job != nullptr && !state_.placer.IsDelegable(*job);
  });
}

void MachineHandover::CompleteHandover(Machine& machine, double now) {
  const uint64_t lease = std::exchange(machine.handover_lease, kNoLease);
  ShardLeases::TasksByJob tasks_by_job = TasksToHandOver(machine);
  state_.cluster.RemoveAllAllocations(machine, now);
  SendHandedOverTasks(machine, lease, std::move(tasks_by_job));
  Machine delegated = machine;
  delegated.allocations.clear();
  delegated.answers_suspended = false;
  delegated.shard_lease = lease;
  delegated.recorded_address = machine.address;
  delegated.holder_status = {};
  delegated.draining = delegated.cordoned = false;
  if (const ShardLeases::Lease* held = state_.shard_leases.Find(lease)) {
    delegated.shard = held->shard;
  }
  const std::string id = machine.id;
  state_.cluster.machines.erase(id);
  state_.cluster.delegated_machines[id] = std::move(delegated);
  state_.cluster.changed_since_pass = true;
}

// Returns the tasks that run, or may run, on the machine.
ShardLeases::TasksByJob MachineHandover::TasksToHandOver(const Machine& machine) const {
  ShardLeases::TasksByJob tasks_by_job;
  for (const auto& [key, allocation] : machine.allocations) {
    if (allocation.orphaned || allocation.exited()) continue;
    if (allocation.state == Allocation::State::kPlanned) continue;
    const wire::TaskId& task = key.first;
    if (state_.cluster.FindJob(task.job) == nullptr) continue;
    tasks_by_job[task.job].push_back(task.index);
  }
  return tasks_by_job;
}

void MachineHandover::SendHandedOverTasks(const Machine& machine, uint64_t lease,
                                          ShardLeases::TasksByJob tasks_by_job) {
  for (auto& [id, tasks] : tasks_by_job) {
    Job& job = *state_.cluster.FindJob(id);
    for (const uint32_t index : tasks) {
      if (job.tasks[index].phase == TaskPhase::kPending) {
        state_.cluster.Delegate(job, index, lease);
      }
    }
    std::sort(tasks.begin(), tasks.end());
    for (ShardMessage& message : TaskMessages(ShardMessage::Kind::kHandOverTasks, id, tasks)) {
      message.job = std::exchange(message.name, machine.id);
      message.count = machine.handover_revision;
      state_.shard_leases.SendToHolder(lease, std::move(message));
    }
  }
}

// ---------------------------------------------------------------------------- taking back

// The holder's fencing token for the machine is the revision of the record that assigned it. The
// leader therefore sends the machine no commands until a later write of that record.
//
// Until the machine has reported its tasks, its record keeps the id of the ended lease. From this
// id, a new leader infers that the former holder may still answer the machine's heartbeats. Without
// this, a new leader counted the silence of such a machine from its own election only. It declared
// the machine lost while the former holder, in the same network partition as the machine, still
// renewed the lease of the machine's agent, and a task ran twice.
Machine& MachineHandover::TakeBack(const Machine& delegated, uint64_t past_lease,
                                   double last_acted) {
  Machine machine;
  machine.id = delegated.id;
  machine.recorded_address = delegated.recorded_address;
  machine.RequireToken(state_.token);
  machine.needs_new_token = true;
  machine.lease_renewed_at = last_acted;
  machine.first_contact_at = delegated.first_contact_at;
  machine.failed = delegated.failed;
  machine.missing_from_list = delegated.missing_from_list;
  machine.deleting = delegated.deleting;
  machine.handover_not_before = delegated.handover_not_before;
  machine.image_cache = delegated.image_cache;
  const std::string address = delegated.recorded_address;
  state_.cluster.delegated_machines.erase(machine.id);
  Machine& own = state_.cluster.machines[machine.id] = std::move(machine);
  own.expired_lease = past_lease;
  state_.durable_state.AssignMachine(own, address, past_lease);
  return own;
}

void MachineHandover::RecallMachines(double now) {
  const UnplacedWork work = UnplacedLeaderOnlyWork(now);
  const double patience_s = state_.settings.heartbeat_s * kRecallPatienceHeartbeats;
  if (work.oldest_job == nullptr || now - work.oldest_job->submitted_at < patience_s) return;
  double cpus_needed = work.cpus;
  size_t recalled = 0;
  std::vector<Machine*> candidates;
  for (auto& [id, machine] : state_.cluster.delegated_machines) {
    if (machine.recall_requested) {
      ++recalled;
      cpus_needed -= machine.cpus;
    } else if (state_.cluster.IsSchedulable(machine, now) &&
               state_.placer.IsAllowedOn(*work.oldest_job, machine, now)) {
      candidates.push_back(&machine);
    }
  }
  // Machines with the least work become empty first.
  std::stable_sort(candidates.begin(), candidates.end(),
                   [](const Machine* a, const Machine* b) { return a->used_cpus < b->used_cpus; });
  const size_t limit =
      std::max<size_t>(1, ShareOf(kMaxRecallShare, state_.cluster.delegated_machines.size()));
  for (Machine* machine : candidates) {
    if (cpus_needed <= 0 || recalled >= limit) return;
    machine->recall_requested = true;
    machine->handover_not_before = now + state_.settings.agent_lease_s;
    state_.shard_leases.SendToHolder(
        machine->shard_lease, {.kind = ShardMessage::Kind::kRecallMachine, .name = machine->id});
    cpus_needed -= machine->cpus;
    ++recalled;
  }
}

MachineHandover::UnplacedWork MachineHandover::UnplacedLeaderOnlyWork(double now) const {
  UnplacedWork work;
  for (const auto& [id, job] : state_.cluster.jobs) {
    const size_t runnable_tasks = RunnableTasks(*job);
    if (runnable_tasks == 0 || state_.placer.IsDelegable(*job)) continue;
    if (now < job->not_before || !state_.placer.IsStartable(*job)) continue;
    if (!state_.placer.IsWithinQuota(*job)) continue;
    work.cpus += static_cast<double>(runnable_tasks) * job->spec.cpus;
    if (work.oldest_job == nullptr || job->submitted_at < work.oldest_job->submitted_at) {
      work.oldest_job = job.get();
    }
  }
  return work;
}

}  // namespace mosspath::scheduler
