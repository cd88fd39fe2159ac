// Placement of waiting tasks on machines. No I/O; the time is an argument.
//
// A placement pass has these stages, each in its own module:
//   - queue order (job_ranking); overdue first tasks and groups below their fair-share floor go
//     ahead of the queue order (overdue_first_tasks, deficit_queue);
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
#include "mosspath/scheduler/quota_reservation.h"
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
  // The arguments outlive the placer. `token`: fencing token of this term of leadership, or the
  // number of the shard lease. The high bits of all attempt numbers are this token.
  TaskPlacer(const config::Settings& settings, cluster::ClusterState& cluster,
             const ServiceLevelObjectives& objectives, const Failover& failover,
             DurableState& durable_state, ShardLeases& shard_leases, uint64_t token);
  // The stages hold references to each other.
  TaskPlacer(const TaskPlacer&) = delete;
  TaskPlacer& operator=(const TaskPlacer&) = delete;

  // `delegate_ahead_share`: limit on the work that may wait on a shard holder for free capacity, as
  // a share of the CPUs of the shard's machines.
  void SetPolicy(const LocalityPolicy& policy, double delegate_ahead_share);
  // Sets the share of all schedulable machines' CPUs that overdue first tasks may take within one
  // agent lease time.
  void SetFirstTaskShare(double share) { overdue_first_tasks_.SetShare(share); }
  FairShare& fair_share() { return fair_share_; }
  CapacityReservation& reservation() { return reservation_; }
  const ShardMap& shard_map() const { return shard_map_; }

  // Runs a placement pass over the waiting jobs if the cluster state has changed since the last
  // pass.
  void Place(double now);
  // Places waiting tasks on a machine whose capacity was freed, without a placement pass.
  void Refill(cluster::Machine& machine, double now);
  // Frees capacity for waiting jobs by stopping tasks of lower priority, beginning with those that
  // lose the least work.
  void Preempt(double now);
  // Removes the job from all queues. Called before the job is destroyed.
  void ForgetJob(const jobs::Job& job);

  // See StartGate.
  static constexpr uint64_t kNever = StartGate::kNever;
  void SetMarkersSince(uint64_t version) { start_gate_.SetMarkersSince(version); }
  bool IsStartable(const jobs::Job& job) const { return start_gate_.IsStartable(job); }
  // Returns whether the team's limit allows a pending task of the job to be placed now.
  bool IsWithinQuota(const jobs::Job& job) const { return start_gate_.PlaceableTasks(job) > 0; }
  // Returns whether the job's constraints allow the machine, whatever its free capacity.
  bool IsAllowedOn(const jobs::Job& job, const cluster::Machine& machine, double now) const {
    return machine_filter_.IsAllowedOn(job, machine, now);
  }
  // Returns whether the job's tasks may be delegated to shard holders.
  bool IsDelegable(const jobs::Job& job) const { return scheduler::IsDelegable(job); }
  // Returns the shard of a machine that this controller commands. On a holder, and on a leader with
  // shard holders, that is the shard of the controller itself, whatever the shard map says.
  size_t ShardOf(const cluster::Machine& machine) const;

  // Return how many attempts to place tasks of a job were made since construction, and how many
  // machines these attempts filtered.
  uint64_t placement_attempts() const { return placement_attempts_; }
  uint64_t machines_filtered() const { return machines_filtered_; }

 private:
  // Returns the machines of this pass.
  MachinePool CollectPool(double now);
  // If the machine is not in the durable record, adds it to the record, or begins its handover if
  // the holder of its shard is ready. Returns whether this controller may use the machine in this
  // pass.
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
  QuotaReservation quota_reservation_;
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
  uint64_t machines_filtered_ = 0;
};

}  // namespace mosspath::scheduler
