// Moves tasks off machines that drain, that are about to be reclaimed, or that are far too slow.
// Pure.
#pragma once

#include <string>

#include "mosspath/scheduler/scheduler_state.h"

namespace mosspath::scheduler {

class TaskMigration {
 public:
  // `state` outlives this object.
  explicit TaskMigration(SchedulerState& state) : state_(state) {}

  // Requests the stop, with time for a checkpoint, of all tasks on each draining machine whose
  // tasks can all be moved, fit into the room that is free elsewhere, and have longer to run than
  // a move costs. The stopped tasks wait again, and are placed like any others.
  void MigrateFromDraining(double now);
  // Withdraws planned starts from machines that take no new tasks, and requests the stop of tasks
  // that should be saved before their machine is reclaimed, or restarted on a faster one.
  void LeaveUnschedulableMachines(double now);

 private:
  // What moving all tasks of one machine would mean.
  enum class MigrationValue { kImpossible, kNotWorthwhile, kWorthwhile };

  // Free CPUs on machines that take new tasks, less those that waiting tasks need; negative if
  // more waits than there is room for.
  double FreeCpus(double now) const;
  MigrationValue ValueOfMigrating(const cluster::Machine& machine, double now) const;
  bool IsMovable(const jobs::Job& job, const wire::TaskId& task,
                 const cluster::Allocation& allocation, double now) const;
  void StopTasks(cluster::Machine& machine);
  void WithdrawPlannedStarts(cluster::Machine& machine, double now);
  void StopEndangeredTasks(cluster::Machine& machine, double now);
  // Whether the time until the machine is reclaimed is just long enough for a checkpoint.
  bool MustSaveNow(const cluster::Machine& machine, const jobs::Job& job, double now) const;

  SchedulerState& state_;
};

}  // namespace mosspath::scheduler
