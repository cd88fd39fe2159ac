#include "mosspath/scheduler/run_time_estimate.h"

#include <algorithm>

namespace mosspath::scheduler {
namespace {

// The share of its estimate that an attempt is always expected to run yet.
constexpr double kMinRemainingShare = 0.25;

}  // namespace

double RemainingRunS(const cluster::Allocation& allocation, double now) {
  const double ran = allocation.running_since > 0 ? now - allocation.running_since : 0;
  return std::max(allocation.expected_run_s - ran, kMinRemainingShare * allocation.expected_run_s);
}

}  // namespace mosspath::scheduler
