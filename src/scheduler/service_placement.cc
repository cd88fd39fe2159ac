#include "mosspath/scheduler/service_placement.h"

#include "mosspath/scheduler/image_fetch.h"

namespace mosspath::scheduler {
namespace {

using cluster::Machine;

// Places at most one replica on each machine. Returns false if the job may start no more tasks.
bool PlaceOnDistinctMachines(PlacementAttempt& attempt, CandidateSet& set, MachineTier tier) {
  const PlacementStages& stages = attempt.stages();
  const std::vector<size_t> chosen = BestDistinctMachines(
      set.candidates, attempt.remaining(), set.scope_gb, set.scope_size, stages.policy);
  for (const size_t index : chosen) {
    Machine& machine = attempt.MachineAt(index);
    if (!attempt.FitsInTier(machine, tier) || attempt.IsZoneFull(machine)) continue;
    if (!stages.reservation.MayTake(attempt.job().spec, machine)) continue;
    const double layers_before_gb = machine.image_cache.size_gb();
    if (!attempt.Bind(machine)) return false;
    set.scope_gb += machine.image_cache.size_gb() - layers_before_gb;
  }
  return true;
}

void RefreshCandidates(const PlacementAttempt& attempt, CandidateSet& set, MachineTier tier) {
  for (Candidate& candidate : set.candidates) {
    const Machine& machine = attempt.MachineAt(candidate.machine);
    candidate.missing_gb =
        MissingImageGb(attempt.job(), machine, attempt.stages().cluster.machine_types);
    candidate.held_gb = machine.image_cache.size_gb();
    candidate.has_capacity = attempt.FitsInTier(machine, tier);
  }
}

}  // namespace

PlacementOutcome PlaceService(PlacementAttempt& attempt, CandidateSet& set, MachineTier tier) {
  if (set.candidates.empty()) return PlacementOutcome::kNoCapacity;
  if (!attempt.HasDurableStartMarker()) return PlacementOutcome::kSettled;
  if (!PlaceOnDistinctMachines(attempt, set, tier)) return PlacementOutcome::kSettled;
  RefreshCandidates(attempt, set, tier);
  return attempt.PlaceOneByOne(set, tier);
}

}  // namespace mosspath::scheduler
