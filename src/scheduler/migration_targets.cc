#include "mosspath/scheduler/migration_targets.h"

#include <algorithm>
#include <string>

namespace mosspath::scheduler {

using cluster::Allocation;
using cluster::Machine;
using cluster::Resources;
using jobs::Job;

namespace {

// Returns whether `available` has enough of each resource that is needed at all.
bool CoversNeeds(const Resources& available, const Resources& needed) {
  const Resources at_least_zero = {std::max(0.0, available.cpus), std::max(0.0, available.gpus),
                                   std::max(0.0, available.memory_gb)};
  return cluster::Fits(needed, at_least_zero);
}

// Returns whether a task of the job that runs in the zone `from` may run in the zone `to`. The
// other tasks of a job with a constraint on zones stay where they are, so placement may refuse
// another zone.
bool MayChangeZone(const Job& job, const std::string& from, const std::string& to) {
  return from == to || (!job.spec.single_zone && !job.spec.spread_over_zones);
}

}  // namespace

MigrationTargets::MigrationTargets(const SchedulerState& state, double now)
    : state_(state), now_(now) {
  for (const auto& [id, machine] : state.cluster.machines) {
    if (!state.cluster.IsSchedulable(machine, now) || machine.draining) continue;
    targets_.push_back({&machine, machine.free()});
    unreserved_ += machine.free();
  }
  for (const auto& [id, job] : state.cluster.jobs) {
    if (now < job->not_before) continue;
    unreserved_ -= static_cast<double>(job->pending.size()) * cluster::TaskResources(job->spec);
  }
}

bool MigrationTargets::ReserveFor(const Machine& source) {
  if (!CoversNeeds(unreserved_, source.used())) return false;
  std::vector<Reservation> reservations;
  bool all_fit = true;
  for (const auto& [key, allocation] : source.allocations) {
    if (allocation.exited()) continue;
    const Job& job = *state_.cluster.FindJob(key.first.job);
    const size_t target = FindTarget(job, source);
    all_fit = target < targets_.size();
    if (!all_fit) break;
    const Resources task = cluster::TaskResources(job.spec);
    targets_[target].free -= task;
    reservations.push_back({target, task});
  }
  if (all_fit) {
    unreserved_ -= source.used();
    return true;
  }
  for (const Reservation& reserved : reservations) targets_[reserved.target].free += reserved.task;
  return false;
}

size_t MigrationTargets::FindTarget(const Job& job, const Machine& source) const {
  const Resources task = cluster::TaskResources(job.spec);
  const auto found = std::find_if(targets_.begin(), targets_.end(), [&](const Target& target) {
    return cluster::Fits(task, target.free) &&
           MayChangeZone(job, source.zone, target.machine->zone) &&
           state_.placer.IsAllowedOn(job, *target.machine, now_);
  });
  return static_cast<size_t>(found - targets_.begin());
}

}  // namespace mosspath::scheduler
