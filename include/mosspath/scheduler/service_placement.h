// Places replicas of a service: on distinct machines while these last, then wherever there is room.
// Pure.
#pragma once

#include "mosspath/scheduler/placement_attempt.h"

namespace mosspath::scheduler {

// Updates the set's layer bytes and its candidates' room as replicas take their places.
PlacementOutcome PlaceService(PlacementAttempt& attempt, CandidateSet& set, MachineTier tier);

}  // namespace mosspath::scheduler
