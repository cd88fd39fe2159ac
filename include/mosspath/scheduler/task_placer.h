// Placement of waiting tasks on machines. No I/O; the time is an argument.
//
// A placement pass has these stages, each in its own module:
//   - queue order (job_ranking); overdue first tasks and groups below their fair-share floor go
//     ahead of it (overdue_first_tasks, deficit_queue);
//   - gate and filter: which tasks may start at all, and on which machines (start_gate,
//     machine_filter);
//   - score: layer locality (locality, image_fetch);
//   - reserve and bind (task_binder).
// Arrays, services and gangs each run score and bind in their own way (placement_attempt).
#pragma once

#include <cstdint>
#include <vector>

#include "mosspath/cluster/cluster_state.h"
#include "mosspath/config/settings.h"
#include "mosspath/scheduler/ahead_delegation.h"
#include "mosspath/scheduler/capacity_reservation.h"
#include "mosspath/scheduler/deficit_queue.h"
#include "mosspath/scheduler/durable_state.h"
#include "mosspath/scheduler/failover.h"
#include "mosspath/scheduler/fair_share.h"
#include "mosspath/scheduler/job_ranking.h"
#include "mosspath/scheduler/locality.h"
#include "mosspath/scheduler/machine_filter.h"
#include "mosspath/scheduler/machine_pool.h"
#include "mosspath/scheduler/machine_refill.h"
#include "mosspath/scheduler/overdue_first_tasks.h"
#include "mosspath/scheduler/placement_attempt.h"
#include "mosspath/scheduler/preemption.h"
#include "mosspath/scheduler/service_level_objectives.h"
#include "mosspath/scheduler/shard_leases.h"
#include "mosspath/scheduler/shard_map.h"
#include "mosspath/scheduler/start_gate.h"
#include "mosspath/scheduler/task_binder.h"
#include "mosspath/scheduler/unplaceable_specs.h"

namespace mosspath::scheduler {

// The facade of placement: owns the stages of a placement pass and the queues that the last pass
// computed. Not thread-safe.
class TaskPlacer {
 public:
  // The arguments outlive the placer. `token`: fencing token of this leadership, the high bits of
  // its attempt numbers.
  TaskPlacer(const config::Settings& settings, cluster::ClusterState& cluster,
             const ServiceLevelObjectives& objectives, const Failover& failover,
             DurableState& durable_state, ShardLeases& shard_leases, uint64_t token);
  // The stages hold references to each other.
  TaskPlacer(const TaskPlacer&) = delete;
  TaskPlacer& operator=(const TaskPlacer&) = delete;

  // `delegate_ahead_share`: work that is delegated to shard holders beyond the free capacity of
  // their machines, as a share of their CPUs.
  void SetPolicy(const LocalityPolicy& policy, double delegate_ahead_share);
  // Share of the pool's CPUs that may go to overdue first tasks within one lease time.
  void SetFirstTaskShare(double share) { overdue_first_tasks_.SetShare(share); }
  FairShare& fair_share() { return fair_share_; }
  CapacityReservation& reservation() { return reservation_; }
  const ShardMap& shard_map() const { return shard_map_; }

  // Runs a placement pass over the waiting jobs if the cluster state has changed since the last
  // pass.
  void Place(double now);
  // Places waiting tasks on a machine whose capacity was freed, without a placement pass.
  void Refill(cluster::Machine& machine, double now);
  // Stops tasks of lower priority, least lost work first, to free capacity for waiting jobs of a
  // higher priority.
  void Preempt(double now);
  // Removes the job from all queues. Called before the job is destroyed.
  void ForgetJob(const jobs::Job& job);

  // See StartGate.
  static constexpr uint64_t kNever = StartGate::kNever;
  void SetMarkersSince(uint64_t version) { start_gate_.SetMarkersSince(version); }
  bool IsStartable(const jobs::Job& job) const { return start_gate_.IsStartable(job); }
  // Returns whether the job's constraints allow the machine, whatever its free capacity.
  bool IsAllowedOn(const jobs::Job& job, const cluster::Machine& machine, double now) const {
    return machine_filter_.IsAllowedOn(job, machine, now);
  }
  // Returns whether the job's tasks may be delegated to shard holders.
  bool IsDelegable(const jobs::Job& job) const { return scheduler::IsDelegable(job); }
  // Returns the shard that the machine counts towards. All machines that a delegating leader or a
  // holder commands count as one shard.
  size_t ShardOf(const cluster::Machine& machine) const;

  // Jobs for which placement was attempted, and machines that were filtered for them, since
  // construction.
  uint64_t placement_attempts() const { return placement_attempts_; }
  uint64_t candidates_scored() const { return candidates_scored_; }

 private:
  // Returns the machines of this pass.
  MachinePool CollectPool(double now);
  // Adds a machine that has no record entry to the record, or hands it over to the ready holder of
  // its shard. Returns whether this controller may use the machine in this pass.
  bool RecordMachine(cluster::Machine& machine, double now);
  void BeginReservation(const MachinePool& pool, double now);
  void RankQueues(double now);
  void ClearQueues();
  void PlaceOverdueFirstTasks(const MachinePool& pool, UnplaceableSpecs& unplaceable, double now);
  void PlaceDeficits(const MachinePool& pool, UnplaceableSpecs& unplaceable, double now);
  void PlaceInOrder(const MachinePool& pool, UnplaceableSpecs& unplaceable, double now);
  // Places at most `max_tasks` tasks of the job.
  PlacementOutcome PlaceJob(jobs::Job& job, size_t max_tasks, const MachinePool& pool,
                            UnplaceableSpecs& unplaceable, double now);

  cluster::ClusterState& cluster_;
  DurableState& durable_state_;
  ShardLeases& shard_leases_;
  const ShardMap shard_map_;
  FairShare fair_share_;
  CapacityReservation reservation_;
  StartGate start_gate_;
  MachineFilter machine_filter_;
  JobRanking job_ranking_;
  TaskBinder task_binder_;
  PlacementStages stages_;
  AheadDelegation ahead_delegation_;
  MachineRefill machine_refill_;
  Preemption preemption_;

  // --- Queues of the last pass; some of their jobs may have no pending tasks any more ---
  std::vector<jobs::Job*> waiting_jobs_;
  OverdueFirstTasks overdue_first_tasks_;
  DeficitQueue deficit_queue_;

  uint64_t placement_attempts_ = 0;
  uint64_t candidates_scored_ = 0;
};

}  // namespace mosspath::scheduler
