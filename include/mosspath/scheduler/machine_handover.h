// Machines that change hands between the leader and the holders of shards (docs/sharding.md), on
// the leader's side. Pure.
//
// Invariant: at any time the record names the one controller that may command a machine, and that
// controller's fencing token for it is the revision of that record or a later one.
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

  // Begins to hand machines over to the holders of their shards, with what they run: a few at a
  // time, as a machine starts nothing while it changes hands.
  void HandOverMachines(double now);
  // The record that names the holder is durable: from here on the machine and what it runs are the
  // holder's. `machine` is removed from the leader's machines.
  void CompleteHandover(cluster::Machine& machine, double now);
  // Asks holders for machines for work that only the leader places and that finds no room.
  void RecallMachines(double now);
  // Takes a delegated machine back. Its holder may have commanded it until `last_acted` under
  // `past_lease`, kNoLease if the holder has returned the machine itself. `delegated` is a copy, as
  // the original is removed.
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
  // The work that recalls are made for.
  struct UnplacedWork {
    double cpus = 0;
    const jobs::Job* oldest_job = nullptr;  // null if nothing waits
  };
  UnplacedWork UnplacedLeaderOnlyWork(double now) const;

  SchedulerState& state_;
};

}  // namespace mosspath::scheduler
