// Gives the holders of shards work beyond the room of their machines, so that they have some at
// hand when room comes free. Pure.
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

  // Work that a holder is given beyond its room, as a share of its CPUs.
  void SetShare(double share) { share_ = share; }
  // Delegates pending tasks of the jobs, in their order, to the holders with the most room ahead.
  void Run(const std::vector<jobs::Job*>& waiting_jobs, double now);

 private:
  // The holder of a shard, and the CPUs of work that it may still be given ahead.
  struct Receiver {
    uint64_t lease = 0;
    double room_cpus = 0;
    double urgent_room_cpus = 0;  // for urgent work

    double RoomCpus(bool urgent) const { return urgent ? urgent_room_cpus : room_cpus; }
  };

  std::vector<Receiver> FindReceivers() const;
  bool HasMachineFor(const jobs::Job& job, uint64_t lease, double now) const;
  // Delegates at most `max_tasks` of the job, the receivers being in order.
  void DelegateJob(jobs::Job& job, size_t max_tasks, bool urgent, std::vector<Receiver>& receivers,
                   double now);
  // Delegates to one receiver while it has room. Returns how many tasks.
  size_t DelegateTasks(jobs::Job& job, size_t max_tasks, bool urgent, Receiver& receiver);

  cluster::ClusterState& cluster_;
  ShardLeases& shard_leases_;
  StartGate& start_gate_;
  const MachineFilter& filter_;
  double share_ = 0;
};

}  // namespace mosspath::scheduler
