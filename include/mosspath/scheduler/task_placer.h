// Where waiting tasks go: the order of jobs, Layer Locality in blocks with overflow, refilling room
// that comes free, preemption. Pure.
#pragma once

#include <cstdint>
#include <vector>

#include "mosspath/cluster/cluster_state.h"
#include "mosspath/config/operator_settings.h"
#include "mosspath/config/settings.h"
#include "mosspath/scheduler/capacity_reservation.h"
#include "mosspath/scheduler/durable_state.h"
#include "mosspath/scheduler/failover.h"
#include "mosspath/scheduler/fair_share.h"
#include "mosspath/scheduler/locality.h"
#include "mosspath/scheduler/service_level_objectives.h"
#include "mosspath/scheduler/shard_leases.h"
#include "mosspath/scheduler/shard_map.h"

namespace mosspath::scheduler {

class TaskPlacer {
 public:
  // All that it refers to outlives it. `token`: what attempts begin with.
  TaskPlacer(const config::Settings& settings, cluster::ClusterState& picture,
             const ServiceLevelObjectives& aims, const Failover& takeover, DurableState& records,
             ShardLeases& leased, uint64_t token);

  // `ahead`: work that holders are given beyond their room, as a share of their CPUs.
  void SetPolicy(const LocalityPolicy& policy, double ahead) {
    policy_ = policy;
    delegate_ahead_share_ = ahead;
  }
  // Of the pool, in a lease, for first tasks of jobs that have waited long to begin.
  void SetFirstTaskShare(double share) { first_task_share_ = share; }
  FairShare& fair_share() { return fair_share_; }
  CapacityReservation& reservation() { return reservation_; }
  const ShardMap& shard_map() const { return shard_map_; }

  // A pass over the waiting jobs, if anything has changed since the last.
  void Place(double now);
  // Room came free on a machine, while work waits for just that.
  void Refill(cluster::Machine& m, double now);
  // Makes room for waiting work of a higher rank by stopping lower work that loses least.
  void Preempt(double now);
  // The job is over.
  void ForgetJob(const jobs::Job& job);

  // Jobs of a later version than this are marked in the record before anything of them is started,
  // by whoever leads.
  // kNever: not by all. A leader that has begun to mark goes on: its view of who marks is empty for
  // a moment while it is loaded anew, and a successor would take what it started then for
  // unstarted.
  static constexpr uint64_t kNever = ~uint64_t{0};
  void SetMarkersSince(uint64_t version) {
    markers_since_ = version;
    markers_in_use_ = markers_in_use_ || version != kNever;
  }
  // Nobody else can have started what is waiting of it: all machines are known, it was accepted
  // under our token, or no earlier leader has marked it.
  bool IsStartable(const jobs::Job& job) const;
  bool IsAllowedOn(const jobs::Job& job, const cluster::Machine& m, double now) const;
  // Whether its tasks may be given to holders of blocks. What needs one view is the leader's:
  // gangs, services, tasks that must be together or apart, jobs that fail everywhere.
  bool IsDelegable(const jobs::Job& job) const;
  // Where the machine is placed: what the leader or a holder commands is one block.
  size_t ShardOf(const cluster::Machine& m) const {
    return shard_leases_.role() == ShardLeases::Role::kAlone ? shard_map_.ShardOf(m.id, m.zone)
                                                             : shard_leases_.own_shard();
  }

  // Jobs tried and machines looked at for them, so far.
  uint64_t placement_attempts() const { return placement_attempts_; }
  uint64_t candidates_scored() const { return candidates_scored_; }

 private:
  using MachinePool = std::vector<cluster::Machine*>;

  std::vector<jobs::Job*> RankJobs(double now);
  size_t ChooseShard(const jobs::Job& job, const MachinePool& pool, double now) const;
  // Jobs of which nothing has run for long: one task each goes ahead of all.
  std::vector<jobs::Job*> RankOverdueFirstTasks(double now);
  // Places the first task of one of them, or its gang, if the bound allows.
  bool MayPlaceFirstTask(const jobs::Job& job) const;
  void OnFirstTaskPlaced(jobs::Job& job, double now);
  // Who is owed a turn goes first, the longest waiting of each.
  std::vector<jobs::Job*> RankOwedJobs() const;
  // Tasks of the job that go ahead of others now.
  size_t OwedTasks(const jobs::Job& job) const;
  // At most so many tasks. False when it found too little room.
  bool PlaceJob(jobs::Job& job, const MachinePool& pool, size_t most, double now);
  bool Bind(jobs::Job& job, cluster::Machine& m, double now);
  // Gives holders work beyond their room, so that they have some when room comes free.
  void DelegateAhead(double now);
  bool NeedsStartMarker(const jobs::Job& job) const;
  // Whether the job may be started as far as its mark goes; asks for the mark if not.
  bool HasDurableStartMarker(jobs::Job& job);
  double MissingGb(const jobs::Job& job, const cluster::Machine& m) const;
  double FetchTimeS(const jobs::Job& job, const cluster::Machine& m) const;
  // How many of the job's tasks may be placed now, room aside.
  size_t PlaceableTasks(const jobs::Job& job) const;

  const config::Settings& settings_;
  cluster::ClusterState& cluster_;
  const ServiceLevelObjectives& objectives_;
  const Failover& failover_;
  DurableState& durable_state_;
  ShardLeases& shard_leases_;
  const uint64_t token_;
  const ShardMap shard_map_;
  LocalityPolicy policy_;
  double delegate_ahead_share_ = 0;
  uint64_t markers_since_ = kNever;
  bool markers_in_use_ = false;
  std::vector<jobs::Job*>
      waiting_jobs_;  // of the jobs that the last pass left waiting, or may have
  std::vector<jobs::Job*> overdue_jobs_;  // of those that should begin
  double first_task_share_ = config::OperatorSettings().begin_share;
  double first_task_cpus_left_ = 0;    // that may yet go to their first tasks
  std::vector<jobs::Job*> owed_jobs_;  // of those whose team or class is owed a turn
  FairShare fair_share_;
  CapacityReservation reservation_;
  uint64_t placement_attempts_ = 0;
  uint64_t candidates_scored_ = 0;
};

}  // namespace mosspath::scheduler
