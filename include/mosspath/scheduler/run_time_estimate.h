// How much longer the attempts of tasks are expected to run. Pure.
#pragma once

#include "mosspath/cluster/machine.h"

namespace mosspath::scheduler {

// Returns the seconds that the attempt is expected to run from `now` on. An attempt that has
// outlived its estimate is expected to run for a fixed share of the estimate yet, so the result is
// positive whenever the estimate is.
double RemainingRunS(const cluster::Allocation& allocation, double now);

}  // namespace mosspath::scheduler
