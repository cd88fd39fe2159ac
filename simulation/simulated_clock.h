// Simulated time and its event queue.
#pragma once

#include <cstdint>
#include <functional>
#include <queue>

namespace mosspath::simulation {

// Runs events in the order of their times. Events with equal times run in the order in which they
// were added. Times are seconds since the start of the simulated day, which is 0.
class SimulatedClock {
 public:
  double now() const { return now_; }

  // Schedules the action for the given time. An action whose time has already passed runs next, at
  // the current time.
  void At(double when, std::function<void()> action) {
    queue_.push({when, next_order_++, std::move(action)});
  }

  void After(double delay_s, std::function<void()> action) {
    At(now_ + delay_s, std::move(action));
  }

  // Runs all events due up to `end`, including events that are added during the call, and advances
  // the time to `end`.
  void RunUntil(double end);

 private:
  struct Event {
    double when;
    uint64_t order;
    std::function<void()> action;

    // std::priority_queue keeps the greatest element on top, so an earlier event compares greater.
    bool operator<(const Event& other) const {
      return when != other.when ? when > other.when : order > other.order;
    }
  };

  double now_ = 0;
  uint64_t next_order_ = 0;
  std::priority_queue<Event> queue_;
};

}  // namespace mosspath::simulation
