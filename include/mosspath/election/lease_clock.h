// How long the holder of a store lease may rely on it (etcd: lease keep-alive). Pure.
#pragma once

#include <algorithm>
#include <optional>

namespace mosspath::election {

// All times are seconds on the holder's steady clock.
class LeaseClock {
 public:
  // The lease lives for `life_s` after each renewal; `margin_s` of it covers clock drift.
  LeaseClock(double life_s, double margin_s) : usable_s_(life_s - margin_s) {}

  // The request that renewed the lease left at `sent`. The service counts from when it received the
  // request, which is later, so counting from `sent` is safe.
  void OnRenewed(double sent) { until_ = std::max(until_, std::optional(sent + usable_s_)); }
  // The lease has ended or is about to be revoked.
  void OnLost() { until_.reset(); }
  [[nodiscard]] bool Holds(double now) const { return until_ && now < *until_; }

 private:
  double usable_s_;
  std::optional<double> until_;
};

}  // namespace mosspath::election
