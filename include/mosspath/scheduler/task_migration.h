// Migration of tasks off machines that are draining, about to be reclaimed, or far too slow. No
// I/O; the time is an argument.
#pragma once

#include <string>

#include "mosspath/scheduler/scheduler_state.h"

namespace mosspath::scheduler {

// Requests stops of tasks and withdraws planned starts. Placement then starts these tasks on other
// machines.
class TaskMigration {
 public:
  // `state` outlives this object.
  explicit TaskMigration(SchedulerState& state) : state_(state) {}

  // Requests the stop of all tasks on a draining machine, with time for a checkpoint. The tasks are
  // stopped only if all of them can be moved, each fits on another machine that its job may use,
  // and the remaining run time of at least one of them is worth the cost of a move. The stopped
  // tasks become pending and are placed like other pending tasks.
  void MigrateFromDraining(double now);
  // Withdraws planned starts from unschedulable machines. Requests the stop of tasks that must
  // write a checkpoint before their machine is reclaimed, or that should restart on a faster
  // machine.
  void LeaveUnschedulableMachines(double now);

 private:
  // Whether all tasks of a machine can be moved, and whether the move is worth its cost.
  enum class MigrationValue { kImpossible, kNotWorthwhile, kWorthwhile };

  MigrationValue ValueOfMigrating(const cluster::Machine& machine, double now) const;
  bool IsMovable(const jobs::Job& job, const wire::TaskId& task,
                 const cluster::Allocation& allocation, double now) const;
  void StopTasks(cluster::Machine& machine);
  void WithdrawPlannedStarts(cluster::Machine& machine, double now);
  void StopEndangeredTasks(cluster::Machine& machine, double now);
  // Returns whether a checkpoint of a task of the job must begin now, because a checkpoint that
  // begins later may not be complete when the machine is reclaimed.
  bool MustSaveNow(const cluster::Machine& machine, const jobs::Job& job, double now) const;

  SchedulerState& state_;
};

}  // namespace mosspath::scheduler
