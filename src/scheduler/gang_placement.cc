#include "mosspath/scheduler/gang_placement.h"

#include <algorithm>

namespace mosspath::scheduler {
namespace {

// The number of tasks that fit by a resource which the tasks do not use: in effect unlimited.
constexpr double kUnboundedTasks = 1e6;
// Tolerance in tasks, for rounding errors in sums of fractional resources.
constexpr double kRoundingTolerance = 1e-6;

double TasksThatFit(double free, double needed) {
  return needed > 0 ? free / needed : kUnboundedTasks;
}

size_t TasksThatFit(const wire::JobSpec& spec, const cluster::Machine& machine) {
  const double tasks =
      std::min({TasksThatFit(machine.cpus - machine.used_cpus, spec.cpus),
                TasksThatFit(machine.gpus - machine.used_gpus, spec.gpus),
                TasksThatFit(machine.memory_gb - machine.used_memory_gb, spec.memory_gb)});
  return static_cast<size_t>(tasks + kRoundingTolerance);
}

// Whether the candidates have free capacity for all pending tasks of the gang, and all these tasks
// may be placed now.
bool FitsWhole(const PlacementAttempt& attempt, const CandidateSet& set) {
  const size_t pending_tasks = attempt.job().pending.size();
  size_t fitting = 0;
  for (const Candidate& candidate : set.candidates) {
    fitting += TasksThatFit(attempt.job().spec, attempt.MachineAt(candidate.machine));
  }
  return fitting >= pending_tasks && attempt.remaining() >= pending_tasks;
}

}  // namespace

PlacementOutcome PlaceGang(PlacementAttempt& attempt, const CandidateSet& set, MachineTier tier) {
  if (!FitsWhole(attempt, set)) return PlacementOutcome::kNoCapacity;
  if (!attempt.HasDurableStartMarker()) return PlacementOutcome::kSettled;
  return attempt.PlaceOneByOne(set, tier);
}

}  // namespace mosspath::scheduler
