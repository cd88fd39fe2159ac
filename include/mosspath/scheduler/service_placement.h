// Placement of services. No I/O.
#pragma once

#include "mosspath/scheduler/placement_attempt.h"

namespace mosspath::scheduler {

// Places replicas on distinct machines first, then on any machine with free capacity. Updates the
// layer sizes and the free capacity in the candidate set as replicas are placed.
PlacementOutcome PlaceService(PlacementAttempt& attempt, CandidateSet& set, MachineTier tier);

}  // namespace mosspath::scheduler
