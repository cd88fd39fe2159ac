#include "simulation/simulated_clock.h"

#include <algorithm>

namespace mosspath::simulation {

void SimulatedClock::RunUntil(double end) {
  while (!queue_.empty() && queue_.top().when <= end) {
    const Event event = queue_.top();
    queue_.pop();
    now_ = std::max(now_, event.when);
    event.action();
  }
  now_ = end;
}

}  // namespace mosspath::simulation
