// Notices that this process did not run for a while though the clocks did, as when it is stopped or
// gets no processor time: then timers are due and sockets full at once, and time that went by tells
// nothing about others.
#pragma once

#include <functional>
#include <optional>
#include <utility>

#include "mosspath/net/timer.h"

namespace mosspath::net {

// Pure: compares the turns of the loop with the clock.
class LoopClock {
 public:
  LoopClock(double turn_s, double now) : most_s_(kTurns * turn_s), last_(now) {}
  // When the process stopped running, if it just did for long.
  std::optional<double> OnTurn(double now) {
    const double last = std::exchange(last_, now);
    return now - last > most_s_ ? std::optional(last) : std::nullopt;
  }

 private:
  static constexpr double kTurns = 4;
  double most_s_;
  double last_;
};

class StallDetector {
 public:
  using OnStall = std::function<void(double from, double now)>;

  StallDetector(asio::io_context& io, double turn_s, OnStall on_stall)
      : turn_s_(turn_s), clock_(turn_s, Now()), on_stall_(std::move(on_stall)), timer_(io) {}

  void Start() {
    timer_.After(turn_s_, [this] { Start(); });
    Check();
  }
  // Also called by duties before they conclude anything from the time: after a stall they may be
  // due before the watch is.
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
