// How old the leader's view of the jobs may be while it acts on it (docs/design.md, rule 12). An
// agent that is answered keeps its tasks for a lease, whether or not the leader knows that their
// job was cancelled. Pure: the caller passes the time.
#pragma once

#include <algorithm>
#include <limits>
#include <optional>

namespace mosspath::election {

// All times are seconds on one steady clock.
class StalenessBound {
 public:
  // A view older than `max_age_s` must not be acted on.
  explicit StalenessBound(double max_age_s) : max_age_s_(max_age_s) {}

  // Everything that any user was told before `as_of` is known here. Calls may come in any order:
  // the latest moment counts.
  void AdvanceTo(double as_of) { as_of_ = std::max(as_of_, std::optional(as_of)); }

  [[nodiscard]] bool IsFresh(double now) const { return age_s(now) <= max_age_s_; }
  // More than half of the bound is used up: a controller that reads more should lead instead.
  [[nodiscard]] bool IsAging(double now) const { return age_s(now) > max_age_s_ / 2; }
  // Infinite before the first AdvanceTo.
  [[nodiscard]] double age_s(double now) const {
    return as_of_ ? now - *as_of_ : std::numeric_limits<double>::infinity();
  }

 private:
  double max_age_s_;
  std::optional<double> as_of_;
};

}  // namespace mosspath::election
