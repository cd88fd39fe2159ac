// Detects stalls: times in which this process did not run, for instance because it was stopped or
// got no processor time. After a stall, many timers are due and many sockets are readable at once.
// The time that elapsed in a stall does not show that another process failed to answer.
#pragma once

#include <functional>
#include <optional>
#include <utility>

#include "mosspath/net/timer.h"

namespace mosspath::net {

// Compares the times of the event loop's periodic turns with their period, `turn_s`. No I/O; the
// time is an argument.
class LoopClock {
 public:
  LoopClock(double turn_s, double now) : max_gap_s_(kStallTurns * turn_s), last_(now) {}
  // Records a turn. If the process stalled since the previous turn, returns the time of the
  // previous turn.
  std::optional<double> OnTurn(double now) {
    const double last = std::exchange(last_, now);
    return now - last > max_gap_s_ ? std::optional(last) : std::nullopt;
  }

 private:
  static constexpr double kStallTurns = 4;
  double max_gap_s_;
  double last_;
};

// Calls `on_stall` with the start and the end of each stall, in seconds of net::Now(). Runs on the
// thread of the io_context.
class StallDetector {
 public:
  using OnStall = std::function<void(double from, double now)>;

  StallDetector(asio::io_context& io, double turn_s, OnStall on_stall)
      : turn_s_(turn_s), clock_(turn_s, Now()), on_stall_(std::move(on_stall)), timer_(io) {}

  void Start() {
    timer_.After(turn_s_, [this] { Start(); });
    Check();
  }
  // Callbacks of other timers must also call Check() before they rely on elapsed time: after a
  // stall, such a callback may run before this detector's own timer.
  void Check() {
    const double now = Now();
    if (const auto from = clock_.OnTurn(now)) on_stall_(*from, now);
  }

 private:
  const double turn_s_;
  LoopClock clock_;
  OnStall on_stall_;
  Timer timer_;
};

}  // namespace mosspath::net
