// Places tasks of an array: each stands alone, so as many as find room. Pure.
#pragma once

#include "mosspath/scheduler/placement_attempt.h"

namespace mosspath::scheduler {

PlacementOutcome PlaceArray(PlacementAttempt& attempt, const CandidateSet& set, MachineTier tier);

}  // namespace mosspath::scheduler
