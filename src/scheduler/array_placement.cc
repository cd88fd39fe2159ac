#include "mosspath/scheduler/array_placement.h"

namespace mosspath::scheduler {

PlacementOutcome PlaceArray(PlacementAttempt& attempt, const CandidateSet& set, MachineTier tier) {
  if (set.candidates.empty()) return PlacementOutcome::kNoCapacity;
  if (!attempt.HasDurableStartMarker()) return PlacementOutcome::kSettled;
  return attempt.PlaceOneByOne(set, tier);
}

}  // namespace mosspath::scheduler
