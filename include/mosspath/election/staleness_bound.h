// How old the leader's view of the jobs may be while it acts on it. A worker that is answered keeps
// its tasks for a lease, whether the leader knows that their job was cancelled or not. Pure.
#pragma once

#include <algorithm>

namespace mosspath::election {

class StalenessBound {
 public:
  // `most_s`: a view older than this (seconds) must not be acted on.
  explicit StalenessBound(double most_s) : most_s_(most_s) {}

  // Everything that anybody was told before this moment is known here. Moments may come in any
  // order.
  void AdvanceTo(double as_of) { as_of_ = std::max(as_of_, as_of); }

  bool IsFresh(double now) const { return now - as_of_ <= most_s_; }
  // Half of what is allowed is used up: somebody who sees more should act instead.
  bool IsAging(double now) const { return now - as_of_ > most_s_ / 2; }
  double age_s(double now) const { return now - as_of_; }

 private:
  double most_s_;
  double as_of_ = -1e18;
};

}  // namespace mosspath::election
