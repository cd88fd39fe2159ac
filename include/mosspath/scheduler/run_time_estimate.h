// Estimates of the remaining run time of task attempts. No I/O; the time is an argument.
#pragma once

#include "mosspath/cluster/machine.h"

namespace mosspath::scheduler {

// Returns for how many more seconds the attempt is expected to run after `now`. An attempt that has
// nearly reached or exceeded its estimate is expected to run for a fixed share of the estimate, so
// the result is positive whenever the estimate is.
double RemainingRunS(const cluster::Allocation& allocation, double now);

}  // namespace mosspath::scheduler
