// The machines to which the tasks of draining machines may move, with their free capacity. No I/O.
#pragma once

#include <cstddef>
#include <vector>

#include "mosspath/cluster/resources.h"
#include "mosspath/scheduler/scheduler_state.h"

namespace mosspath::scheduler {

// Reserves capacity for the tasks that one scaling plan moves. A task needs its CPUs, GPUs and
// memory on one machine that its job may use. The waiting tasks take part of the capacity first.
class MigrationTargets {
 public:
  // `state` outlives this object and keeps its machines meanwhile.
  MigrationTargets(const SchedulerState& state, double now);

  // Reserves capacity for all tasks that run on `source`, whose jobs are all known. Returns false,
  // and reserves nothing, unless all of them find capacity.
  bool ReserveFor(const cluster::Machine& source);

 private:
  struct Target {
    const cluster::Machine* machine = nullptr;
    cluster::Resources free;
  };
  struct Reservation {
    size_t target = 0;  // index in targets_
    cluster::Resources task;
  };

  // Returns the index of the first target with capacity for a task of the job that runs on
  // `source`, or the number of targets if there is none.
  size_t FindTarget(const jobs::Job& job, const cluster::Machine& source) const;

  const SchedulerState& state_;
  const double now_;
  std::vector<Target> targets_;
  // Free capacity of all targets that neither waiting nor moved tasks need. May be negative.
  cluster::Resources unreserved_;
};

}  // namespace mosspath::scheduler
