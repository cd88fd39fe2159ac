// Placement of gangs. No I/O.
#pragma once

#include "mosspath/scheduler/placement_attempt.h"

namespace mosspath::scheduler {

// Places all pending tasks of a gang at once or none: a part of a gang would only occupy machines
// while it waits for the rest.
PlacementOutcome PlaceGang(PlacementAttempt& attempt, const CandidateSet& set, MachineTier tier);

}  // namespace mosspath::scheduler
