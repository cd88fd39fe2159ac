// The reserve and bind stages of placement: the next pending task of a job takes its room on a
// machine that was chosen for it. Pure.
#pragma once

#include <cstdint>

#include "mosspath/cluster/cluster_state.h"
#include "mosspath/scheduler/capacity_reservation.h"
#include "mosspath/scheduler/fair_share.h"
#include "mosspath/scheduler/shard_leases.h"

namespace mosspath::scheduler {

class TaskBinder {
 public:
  // The arguments outlive the binder. `token`: fencing token of this leadership, which begins the
  // numbers of its attempts.
  TaskBinder(cluster::ClusterState& cluster, ShardLeases& shard_leases, FairShare& fair_share,
             CapacityReservation& reservation, uint64_t token);

  // The job has a pending task; its first one goes to the machine, or to the holder of the
  // machine's shard. False: the task has used up its attempt numbers, and the job starts nothing
  // more under this leadership.
  bool Bind(jobs::Job& job, cluster::Machine& machine, double now);

 private:
  // Counts the task against the pass's bounds.
  void Reserve(const jobs::Job& job, const cluster::Machine& machine);
  void BindToHolder(jobs::Job& job, uint32_t index, cluster::Machine& machine);
  bool BindToMachine(jobs::Job& job, uint32_t index, cluster::Machine& machine, double now);

  cluster::ClusterState& cluster_;
  ShardLeases& shard_leases_;
  FairShare& fair_share_;
  CapacityReservation& reservation_;
  const uint64_t token_;
};

}  // namespace mosspath::scheduler
