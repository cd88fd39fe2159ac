// The leader's side of moving machines between the leader and the holders of shards
// (docs/sharding.md). Pure.
//
// Invariant: at any time, the machine's record names the one controller that may command the
// machine. That controller's fencing token for the machine is at least the revision of the record.
#pragma once

#include <cstddef>
#include <cstdint>
#include <vector>

#include "mosspath/scheduler/scheduler_state.h"

namespace mosspath::scheduler {

class MachineHandover {
 public:
  // `state` outlives this object.
  explicit MachineHandover(SchedulerState& state) : state_(state) {}

  // Begins to hand machines over to the holders of their shards, together with the tasks on the
  // machines. Limits the handovers in progress, because a machine starts no tasks during its
  // handover.
  void HandOverMachines(double now);
  // Completes a handover whose record is durable: from now on the holder commands the machine and
  // its tasks. Removes `machine` from the leader's machines.
  void CompleteHandover(cluster::Machine& machine, double now);
  // Recalls machines from holders for tasks that only the leader may place and that do not fit on
  // the leader's machines.
  void RecallMachines(double now);
  // Moves a delegated machine back to the leader. The holder may have commanded the machine until
  // `last_acted`. `past_lease`: the ended lease of the holder, or kNoLease if the holder has
  // returned the machine. `delegated` must be a copy, because the original is removed.
  cluster::Machine& TakeBack(const cluster::Machine& delegated, uint64_t past_lease,
                             double last_acted);

 private:
  // --- Handing over ---
  double CpusForLeaderOnlyWork() const;
  size_t HandoversAllowed() const;
  bool CanHandOver(const cluster::Machine& machine, double now) const;
  bool RunsLeaderOnlyWork(const cluster::Machine& machine) const;
  ShardLeases::TasksByJob TasksToHandOver(const cluster::Machine& machine) const;
  void SendHandedOverTasks(const cluster::Machine& machine, uint64_t lease,
                           ShardLeases::TasksByJob tasks_by_job);
  // --- Recalling ---
  // The pending tasks for which machines are recalled.
  struct UnplacedWork {
    double cpus = 0;
    const jobs::Job* oldest_job = nullptr;  // null if no task waits
  };
  UnplacedWork UnplacedLeaderOnlyWork(double now) const;

  SchedulerState& state_;
};

}  // namespace mosspath::scheduler
