#include "mosspath/scheduler/task_placer.h"

namespace mosspath::scheduler {

using cluster::Machine;
using jobs::Job;

TaskPlacer::TaskPlacer(const config::Settings& settings, cluster::ClusterState& cluster,
                       const ServiceLevelObjectives& objectives, const Failover& failover,
                       DurableState& durable_state, ShardLeases& shard_leases, uint64_t token)
    : cluster_(cluster),
      durable_state_(durable_state),
      shard_leases_(shard_leases),
      shard_map_(settings),
      fair_share_(settings.teams),
      quota_reservation_(cluster.quota),
      start_gate_(cluster.quota, quota_reservation_, failover, durable_state, token),
      machine_filter_(settings, reservation_),
      job_ranking_(settings, cluster, objectives, start_gate_, fair_share_),
      task_binder_(cluster, shard_leases, fair_share_, reservation_, token),
      stages_{cluster, shard_map_, reservation_, machine_filter_, start_gate_, task_binder_, {}},
      ahead_delegation_(cluster, shard_leases, start_gate_, machine_filter_),
      machine_refill_(reservation_, machine_filter_, start_gate_, task_binder_),
      preemption_(settings, cluster, objectives, start_gate_, machine_filter_, fair_share_),
      overdue_first_tasks_(settings, cluster),
      deficit_queue_(fair_share_) {}

void TaskPlacer::SetPolicy(const LocalityPolicy& policy, double delegate_ahead_share) {
  stages_.policy = policy;
  ahead_delegation_.SetShare(delegate_ahead_share);
}

size_t TaskPlacer::ShardOf(const Machine& machine) const {
  if (shard_leases_.role() != ShardLeases::Role::kAlone) return shard_leases_.own_shard();
  return shard_map_.ShardOf(machine.id, machine.zone);
}

void TaskPlacer::ForgetJob(const Job& job) {
  std::erase(waiting_jobs_, &job);
  deficit_queue_.ForgetJob(job);
  overdue_first_tasks_.ForgetJob(job);
  quota_reservation_.ForgetJob(job);
}

void TaskPlacer::ClearQueues() {
  waiting_jobs_.clear();
  deficit_queue_.Clear();
  overdue_first_tasks_.Clear();
  quota_reservation_.Clear();
}

void TaskPlacer::RankQueues(double now) {
  waiting_jobs_ = job_ranking_.Rank(now);
  deficit_queue_.Refresh(waiting_jobs_);
  overdue_first_tasks_.Refresh(waiting_jobs_, now);
  quota_reservation_.Refresh(waiting_jobs_);
}

void TaskPlacer::Place(double now) {
  if (!cluster_.changed_since_pass) return;
  cluster_.changed_since_pass = false;
  ClearQueues();
  const MachinePool pool = CollectPool(now);
  if (pool.empty()) return;
  BeginReservation(pool, now);
  RankQueues(now);
  UnplaceableSpecs unplaceable;
  PlaceOverdueFirstTasks(pool, unplaceable, now);
  PlaceDeficits(pool, unplaceable, now);
  PlaceInOrder(pool, unplaceable, now);
  if (shard_leases_.is_leader()) ahead_delegation_.Run(waiting_jobs_, now);
}

MachinePool TaskPlacer::CollectPool(double now) {
  MachinePool pool;
  for (auto& [id, machine] : cluster_.machines) {
    if (!cluster_.IsSchedulable(machine, now)) continue;
    if (RecordMachine(machine, now)) pool.push_back(&machine);
  }
  for (auto& [id, machine] : cluster_.delegated_machines) {
    if (cluster_.IsSchedulable(machine, now)) pool.push_back(&machine);
  }
  return pool;
}

// A machine must be in the durable record before any task is started on it. A new machine is handed
// over at once if the holder of its shard is ready.
bool TaskPlacer::RecordMachine(Machine& machine, double now) {
  if (machine.in_record) return true;
  const uint64_t lease = shard_leases_.ReadyLeaseOf(shard_map_.ShardOf(machine.id, machine.zone));
  if (lease != 0 && now >= machine.handover_not_before) {
    machine.handover_lease = lease;
    durable_state_.AssignMachine(machine, machine.address, lease);
    return false;
  }
  machine.in_record = true;
  durable_state_.AddMachine(machine.id, machine.address);
  return true;
}

void TaskPlacer::BeginReservation(const MachinePool& pool, double now) {
  reservation_.BeginPass(now, cluster_.machine_types);
  for (const Machine* machine : pool) {
    if (!machine->draining || machine->cordoned) reservation_.AddMachine(*machine);
  }
}

void TaskPlacer::PlaceOverdueFirstTasks(const MachinePool& pool, UnplaceableSpecs& unplaceable,
                                        double now) {
  for (Job* job : overdue_first_tasks_.jobs()) {
    if (!overdue_first_tasks_.MayPlace(*job)) continue;
    const bool is_gang = job->spec.kind == wire::JobKind::kGang;
    PlaceJob(*job, is_gang ? job->spec.tasks : 1, pool, unplaceable, now);
    overdue_first_tasks_.OnAttempted(*job, now);
  }
}

void TaskPlacer::PlaceDeficits(const MachinePool& pool, UnplaceableSpecs& unplaceable, double now) {
  for (Job* job : deficit_queue_.jobs()) {
    const size_t tasks_ahead = deficit_queue_.TasksAhead(*job);
    if (tasks_ahead > 0) PlaceJob(*job, tasks_ahead, pool, unplaceable, now);
  }
}

void TaskPlacer::PlaceInOrder(const MachinePool& pool, UnplaceableSpecs& unplaceable, double now) {
  bool objective_waits = false;
  for (Job* job : waiting_jobs_) {
    // While a job with an objective waits, best-effort jobs are skipped: their small tasks would
    // take all freed capacity before enough is free for a larger task of that job.
    if (job->best_effort && objective_waits) continue;
    const PlacementOutcome outcome = PlaceJob(*job, job->spec.tasks, pool, unplaceable, now);
    if (outcome == PlacementOutcome::kNoCapacity && job->can_meet_objective) objective_waits = true;
  }
}

PlacementOutcome TaskPlacer::PlaceJob(Job& job, size_t max_tasks, const MachinePool& pool,
                                      UnplaceableSpecs& unplaceable, double now) {
  if (unplaceable.Covers(job.spec)) return PlacementOutcome::kNoCapacity;
  ++placement_attempts_;
  PlacementAttempt attempt(stages_, job, pool, max_tasks, now);
  const PlacementOutcome outcome = attempt.Run();
  machines_filtered_ += attempt.machines_filtered();
  if (outcome == PlacementOutcome::kNoCapacity) unplaceable.Add(job);
  return outcome;
}

void TaskPlacer::Refill(Machine& machine, double now) {
  if (waiting_jobs_.empty() || machine.draining || !cluster_.IsSchedulable(machine, now)) return;
  machine_refill_.Run(machine, overdue_first_tasks_, deficit_queue_, waiting_jobs_, now);
}

void TaskPlacer::Preempt(double now) { preemption_.Run(job_ranking_.Rank(now), now); }

}  // namespace mosspath::scheduler
