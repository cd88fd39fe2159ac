#include "mosspath/scheduler/run_time_estimate.h"

#include <algorithm>

namespace mosspath::scheduler {
namespace {

// Minimum of the expected remaining run time, as a share of the estimated run time of the whole
// attempt.
constexpr double kMinRemainingShare = 0.25;

}  // namespace

double RemainingRunS(const cluster::Allocation& allocation, double now) {
  const double ran_s = allocation.running_since > 0 ? now - allocation.running_since : 0;
  return std::max(allocation.expected_run_s - ran_s,
                  kMinRemainingShare * allocation.expected_run_s);
}

}  // namespace mosspath::scheduler
