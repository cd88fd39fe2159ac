// Where waiting tasks go. The facade of placement: it owns the stages of a placement pass and the
// queues that the last pass left. Pure.
//
// A pass goes through these stages, each in a module of its own:
//   - queue order (job_ranking), with overdue first tasks and groups below their fair-share floor
//     ahead of it (overdue_first_tasks, deficit_queue);
//   - gate and filter: what may start at all, and on which machines (start_gate, machine_filter);
//   - score: layer locality (locality, image_fetch);
//   - reserve and bind (task_binder).
// Arrays, services and gangs each have a way of their own through score and bind
// (placement_attempt).
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

class TaskPlacer {
 public:
  // The arguments outlive the placer. `token`: fencing token of this leadership, which begins the
  // numbers of its attempts.
  TaskPlacer(const config::Settings& settings, cluster::ClusterState& cluster,
             const ServiceLevelObjectives& objectives, const Failover& failover,
             DurableState& durable_state, ShardLeases& shard_leases, uint64_t token);
  // Its stages refer to each other.
  TaskPlacer(const TaskPlacer&) = delete;
  TaskPlacer& operator=(const TaskPlacer&) = delete;

  // `delegate_ahead_share`: work that holders are given beyond their room, as a share of their
  // CPUs.
  void SetPolicy(const LocalityPolicy& policy, double delegate_ahead_share);
  // Share of the pool's CPUs that may go to overdue first tasks within one lease time.
  void SetFirstTaskShare(double share) { overdue_first_tasks_.SetShare(share); }
  FairShare& fair_share() { return fair_share_; }
  CapacityReservation& reservation() { return reservation_; }
  const ShardMap& shard_map() const { return shard_map_; }

  // Runs a placement pass over the waiting jobs, if the cluster state has changed since the last.
  void Place(double now);
  // Room came free on the machine: waiting work may take it without a pass.
  void Refill(cluster::Machine& machine, double now);
  // Makes room for waiting work of a higher priority by stopping lower work that loses least.
  void Preempt(double now);
  // The job is over, and about to be destroyed.
  void ForgetJob(const jobs::Job& job);

  // See StartGate.
  static constexpr uint64_t kNever = StartGate::kNever;
  void SetMarkersSince(uint64_t version) { start_gate_.SetMarkersSince(version); }
  bool IsStartable(const jobs::Job& job) const { return start_gate_.IsStartable(job); }
  // The job's constraints allow the machine, whatever room it has.
  bool IsAllowedOn(const jobs::Job& job, const cluster::Machine& machine, double now) const {
    return machine_filter_.IsAllowedOn(job, machine, now);
  }
  // Whether the job's tasks may be delegated to the holders of shards.
  bool IsDelegable(const jobs::Job& job) const { return scheduler::IsDelegable(job); }
  // The shard that the machine counts towards. What a leader or a holder commands is one shard.
  size_t ShardOf(const cluster::Machine& machine) const;

  // Jobs tried, and machines that filters looked at for them, since this placer was made.
  uint64_t placement_attempts() const { return placement_attempts_; }
  uint64_t candidates_scored() const { return candidates_scored_; }

 private:
  // The machines of this pass. Those that are in no record yet get their entry, or are handed over
  // to the holder of their shard.
  MachinePool CollectPool(double now);
  // Whether the machine is this controller's to use in this pass.
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

  // --- Queues of the last pass; some of their jobs may wait no more ---
  std::vector<jobs::Job*> waiting_jobs_;
  OverdueFirstTasks overdue_first_tasks_;
  DeficitQueue deficit_queue_;

  uint64_t placement_attempts_ = 0;
  uint64_t candidates_scored_ = 0;
};

}  // namespace mosspath::scheduler
