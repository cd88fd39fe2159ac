// Places a gang: all of its missing tasks at once or none, since part of a gang would only hold
// machines while it waits. Pure.
#pragma once

#include "mosspath/scheduler/placement_attempt.h"

namespace mosspath::scheduler {

PlacementOutcome PlaceGang(PlacementAttempt& attempt, const CandidateSet& set, MachineTier tier);

}  // namespace mosspath::scheduler
