// The bound on the age of the view on which a leader may act (docs/design.md, rule 12). The view is
// what this controller has read of the jobs in the key-value store. Each response to an agent
// extends the agent's lease on its tasks, even if the leader has not yet read that the tasks' job
// was cancelled. So a leader with a stale view would keep the tasks of cancelled jobs running. Does
// no I/O; the caller passes the time.
#pragma once

#include <algorithm>
#include <limits>
#include <optional>

namespace mosspath::election {

// All times are seconds on one steady clock.
class StalenessBound {
 public:
  // A leader must not act on a view older than `max_age_s`.
  explicit StalenessBound(double max_age_s) : max_age_s_(max_age_s) {}

  // The view holds everything that was confirmed to any user before `as_of`. Calls may come in any
  // order of `as_of`; the latest `as_of` is kept.
  void AdvanceTo(double as_of) { as_of_ = std::max(as_of_, std::optional(as_of)); }

  [[nodiscard]] bool IsFresh(double now) const { return age_s(now) <= max_age_s_; }
  // True once more than half of the bound is used up. A controller with a fresher view should lead
  // instead.
  [[nodiscard]] bool IsAging(double now) const { return age_s(now) > max_age_s_ / 2; }
  // The age of the view in seconds; infinite before the first AdvanceTo.
  [[nodiscard]] double age_s(double now) const {
    return as_of_ ? now - *as_of_ : std::numeric_limits<double>::infinity();
  }

 private:
  double max_age_s_;
  std::optional<double> as_of_;
};

}  // namespace mosspath::election
