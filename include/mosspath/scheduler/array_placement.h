// Placement of array jobs. No I/O.
#pragma once

#include "mosspath/scheduler/placement_attempt.h"

namespace mosspath::scheduler {

// Places as many tasks as there is free capacity for; the tasks of an array are independent.
PlacementOutcome PlaceArray(PlacementAttempt& attempt, const CandidateSet& set, MachineTier tier);

}  // namespace mosspath::scheduler
