// The reserve and bind stages of placement. No I/O; the time is an argument.
#pragma once

#include <cstdint>

#include "mosspath/cluster/cluster_state.h"
#include "mosspath/scheduler/capacity_reservation.h"
#include "mosspath/scheduler/fair_share.h"
#include "mosspath/scheduler/shard_leases.h"

namespace mosspath::scheduler {

// Allocates the next pending task of a job on the machine that was chosen for it, or delegates the
// task to the holder of the machine's shard.
class TaskBinder {
 public:
  // The arguments outlive the binder. `token`: fencing token of this term of leadership, or the
  // number of the shard lease. The high bits of all attempt numbers are this token.
  TaskBinder(cluster::ClusterState& cluster, ShardLeases& shard_leases, FairShare& fair_share,
             CapacityReservation& reservation, uint64_t token);

  // Binds the job's first pending task, which must exist. Returns false if all attempt numbers of
  // that task have been used; the job then starts no more tasks under this leadership.
  bool Bind(jobs::Job& job, cluster::Machine& machine, double now);

 private:
  // Counts the task towards the fair share and the capacity reservation of the pass.
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
