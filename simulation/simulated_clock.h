// Simulated time and the queue of events that are due in it.
#pragma once

#include <cstdint>
#include <functional>
#include <queue>

namespace mosspath::simulation {

// Runs events in the order of their times; events of equal times run in the order in which they
// were added. Times are seconds since the start of the simulated day, which is 0.
class SimulatedClock {
 public:
  double now() const { return now_; }

  // Runs the action at that time, or at once when the time has passed already.
  void At(double when, std::function<void()> action) {
    queue_.push({when, next_order_++, std::move(action)});
  }

  void After(double delay_s, std::function<void()> action) {
    At(now_ + delay_s, std::move(action));
  }

  // Runs all events up to `end`, those included that are added meanwhile; then it is `end`.
  void RunUntil(double end);

 private:
  struct Event {
    double when;
    uint64_t order;
    std::function<void()> action;

    // The priority queue has its greatest element on top, so the earliest event is the greatest.
    bool operator<(const Event& other) const {
      return when != other.when ? when > other.when : order > other.order;
    }
  };

  double now_ = 0;
  uint64_t next_order_ = 0;
  std::priority_queue<Event> queue_;
};

}  // namespace mosspath::simulation
