#include "mosspath/scheduler/gang_placement.h"

#include "mosspath/cluster/resources.h"

namespace mosspath::scheduler {
namespace {

// Whether the candidates have free capacity for all pending tasks of the gang, and all these tasks
// may be placed now.
bool FitsWhole(const PlacementAttempt& attempt, const CandidateSet& set) {
  const size_t pending_tasks = attempt.job().pending.size();
  const cluster::Resources task = cluster::TaskResources(attempt.job().spec);
  double fitting = 0;
  for (const Candidate& candidate : set.candidates) {
    fitting += cluster::TasksThatFit(task, attempt.MachineAt(candidate.machine).free());
  }
  return fitting >= static_cast<double>(pending_tasks) && attempt.remaining() >= pending_tasks;
}

}  // namespace

PlacementOutcome PlaceGang(PlacementAttempt& attempt, const CandidateSet& set, MachineTier tier) {
  if (!FitsWhole(attempt, set)) return PlacementOutcome::kNoCapacity;
  if (!attempt.HasDurableStartMarker()) return PlacementOutcome::kSettled;
  return attempt.PlaceOneByOne(set, tier);
}

}  // namespace mosspath::scheduler
