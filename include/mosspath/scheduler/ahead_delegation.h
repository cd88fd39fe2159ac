// Delegates more tasks to the holders of shards than fit into the free capacity of their machines,
// so that a holder has tasks to start as soon as capacity comes free. Pure.
#pragma once

#include <cstddef>
#include <cstdint>
#include <vector>

#include "mosspath/cluster/cluster_state.h"
#include "mosspath/jobs/job.h"
#include "mosspath/scheduler/machine_filter.h"
#include "mosspath/scheduler/shard_leases.h"
#include "mosspath/scheduler/start_gate.h"

namespace mosspath::scheduler {

class AheadDelegation {
 public:
  // The arguments outlive this object.
  AheadDelegation(cluster::ClusterState& cluster, ShardLeases& shard_leases, StartGate& start_gate,
                  const MachineFilter& filter);

  // Sets the limit on the CPUs of the tasks that wait with a holder, as a share of the CPUs of the
  // holder's machines.
  void SetShare(double share) { share_ = share; }
  // Delegates pending tasks of the jobs, which are taken in the given order. Each job's tasks go
  // first to the holder to which the most CPUs of work may still be delegated.
  void Run(const std::vector<jobs::Job*>& waiting_jobs, double now);

 private:
  // The holder of a shard, and the CPUs of the tasks that may still be delegated to this holder.
  struct Receiver {
    uint64_t lease = 0;
    double room_cpus = 0;
    double urgent_room_cpus = 0;  // as room_cpus, for urgent tasks

    double RoomCpus(bool urgent) const { return urgent ? urgent_room_cpus : room_cpus; }
  };

  std::vector<Receiver> FindReceivers() const;
  bool HasMachineFor(const jobs::Job& job, uint64_t lease, double now) const;
  // Delegates at most `max_tasks` tasks of the job, to the receivers in the given order.
  void DelegateJob(jobs::Job& job, size_t max_tasks, bool urgent, std::vector<Receiver>& receivers,
                   double now);
  // Delegates at most `max_tasks` tasks of the job to one receiver while the receiver has room.
  // Returns the number of delegated tasks.
  size_t DelegateTasks(jobs::Job& job, size_t max_tasks, bool urgent, Receiver& receiver);

  cluster::ClusterState& cluster_;
  ShardLeases& shard_leases_;
  StartGate& start_gate_;
  const MachineFilter& filter_;
  double share_ = 0;
};

}  // namespace mosspath::scheduler
