#include "mosspath/scheduler/gang_placement.h"

#include <algorithm>

namespace mosspath::scheduler {
namespace {

constexpr double kUnboundedTasks = 1e6;  // of a resource that a task needs none of
constexpr double kSlack = 1e-6;          // of a task, for sums of fractions

double TasksThatFit(double free, double needed) {
  return needed > 0 ? free / needed : kUnboundedTasks;
}

size_t TasksThatFit(const wire::JobSpec& spec, const cluster::Machine& machine) {
  const double tasks =
      std::min({TasksThatFit(machine.cpus - machine.used_cpus, spec.cpus),
                TasksThatFit(machine.gpus - machine.used_gpus, spec.gpus),
                TasksThatFit(machine.memory_gb - machine.used_memory_gb, spec.memory_gb)});
  return static_cast<size_t>(tasks + kSlack);
}

bool FitsWhole(const PlacementAttempt& attempt, const CandidateSet& set) {
  const size_t missing = attempt.job().pending.size();
  size_t fitting = 0;
  for (const Candidate& candidate : set.candidates) {
    fitting += TasksThatFit(attempt.job().spec, attempt.MachineAt(candidate.machine));
  }
  return fitting >= missing && attempt.remaining() >= missing;
}

}  // namespace

PlacementOutcome PlaceGang(PlacementAttempt& attempt, const CandidateSet& set, MachineTier tier) {
  if (!FitsWhole(attempt, set)) return PlacementOutcome::kNoRoom;
  if (!attempt.HasDurableStartMarker()) return PlacementOutcome::kSettled;
  return attempt.PlaceOneByOne(set, tier);
}

}  // namespace mosspath::scheduler
