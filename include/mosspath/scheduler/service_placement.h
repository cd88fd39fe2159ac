// Placement of services. No I/O.
#pragma once

#include "mosspath/scheduler/placement_attempt.h"

namespace mosspath::scheduler {

// Places at most one replica on each machine first, and the remaining replicas on any machine with
// free capacity. Updates the layer sizes and the free capacity in the candidate set as replicas are
// placed.
PlacementOutcome PlaceService(PlacementAttempt& attempt, CandidateSet& set, MachineTier tier);

}  // namespace mosspath::scheduler
