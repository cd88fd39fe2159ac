#include "mosspath/scheduler/task_migration.h"

#include <spdlog/spdlog.h>

#include <iterator>
#include <optional>

#include "mosspath/scheduler/migration_targets.h"

namespace mosspath::scheduler {

using cluster::Allocation;
using cluster::Machine;
using jobs::Job;

namespace {

// A move is worthwhile if a task's remaining run time is more than this many times its move cost.
constexpr double kMinRunPerMoveCost = 2;
// The time until a machine is reclaimed may be shorter than announced by up to this factor.
constexpr double kNoticeErrorFactor = 2;
// A stop may take this many heartbeat intervals to reach its task. The duration of the checkpoint
// is added to that time.
constexpr double kStopDelayHeartbeats = 2;

}  // namespace

void TaskMigration::MigrateFromDraining(double now) {
  std::optional<MigrationTargets> targets;
  for (auto& [id, machine] : state_.cluster.machines) {
    if (!machine.draining || !machine.token_confirmed) continue;
    if (ValueOfMigrating(machine, now) != MigrationValue::kWorthwhile) continue;
    if (!targets) targets.emplace(state_, now);
    if (!targets->ReserveFor(machine)) continue;
    StopTasks(machine);
    spdlog::debug("scheduler: migrating_tasks machine={}", id);
  }
}

TaskMigration::MigrationValue TaskMigration::ValueOfMigrating(const Machine& machine,
                                                              double now) const {
  bool worthwhile = false;
  for (const auto& [key, allocation] : machine.allocations) {
    if (allocation.exited()) continue;
    const Job* job = allocation.orphaned ? nullptr : state_.cluster.FindJob(key.first.job);
    if (job == nullptr || !IsMovable(*job, key.first, allocation, now)) {
      return MigrationValue::kImpossible;
    }
    const double remaining_s = ExpectedRunS(*job) - (now - allocation.running_since);
    const double move_cost_s = job->spec.checkpoint_duration_s + state_.settings.heartbeat_s;
    worthwhile = worthwhile || remaining_s > kMinRunPerMoveCost * move_cost_s;
  }
  return worthwhile ? MigrationValue::kWorthwhile : MigrationValue::kNotWorthwhile;
}

bool TaskMigration::IsMovable(const Job& job, const wire::TaskId& task,
                              const Allocation& allocation, double now) const {
  if (allocation.stop_requested || allocation.reported != wire::TaskState::kRunning) return false;
  // Each task is moved at most once. The set of draining machines changes often, and each move
  // delays the task.
  if (job.tasks[task.index].migrated) return false;
  if (job.spec.checkpoint_interval_s <= 0 || job.spec.kind == wire::JobKind::kGang) return false;
  return !IsSettling(job, now - allocation.running_since);
}

void TaskMigration::StopTasks(Machine& machine) {
  for (auto& [key, allocation] : machine.allocations) {
    if (allocation.exited()) continue;
    Job* job = state_.cluster.FindJob(key.first.job);
    job->tasks[key.first.index].migrated = true;
    cluster::RequestStop(machine, allocation, job->spec.checkpoint_duration_s);
  }
}

void TaskMigration::LeaveUnschedulableMachines(double now) {
  for (auto& [id, machine] : state_.cluster.machines) {
    if (state_.cluster.IsSchedulable(machine, now)) continue;
    WithdrawPlannedStarts(machine, now);
    if (machine.reclaim_at || machine.quarantined) StopEndangeredTasks(machine, now);
  }
}

void TaskMigration::WithdrawPlannedStarts(Machine& machine, double now) {
  for (auto it = machine.allocations.begin(); it != machine.allocations.end();) {
    const auto next = std::next(it);
    if (it->second.state == Allocation::State::kPlanned) {
      state_.cluster.RemoveAllocation(machine, it, now);
    }
    it = next;
  }
}

void TaskMigration::StopEndangeredTasks(Machine& machine, double now) {
  for (auto& [key, allocation] : machine.allocations) {
    const Job* job = allocation.orphaned ? nullptr : state_.cluster.FindJob(key.first.job);
    if (job == nullptr || allocation.stop_requested || allocation.exited()) continue;
    const double ran_s = allocation.running_since > 0 ? now - allocation.running_since : 0;
    if (state_.machine_health.ShouldRestartElsewhere(machine, *job, ran_s) ||
        MustSaveNow(machine, *job, now)) {
      cluster::RequestStop(machine, allocation, job->spec.checkpoint_duration_s);
    }
  }
}

bool TaskMigration::MustSaveNow(const Machine& machine, const Job& job, double now) const {
  if (!machine.reclaim_at || job.spec.checkpoint_interval_s <= 0) return false;
  const double min_remaining_s = (*machine.reclaim_at - now) / kNoticeErrorFactor;
  return min_remaining_s <
         job.spec.checkpoint_duration_s + kStopDelayHeartbeats * state_.settings.heartbeat_s;
}

}  // namespace mosspath::scheduler
