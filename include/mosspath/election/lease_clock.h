// How long the holder of a store lease may rely on it (as in etcd: lease keep-alive). Does no I/O.
#pragma once

#include <algorithm>
#include <optional>

namespace mosspath::election {

// All times are seconds on the holder's steady clock.
class LeaseClock {
 public:
  // The lease expires `ttl_s` after its last renewal; `margin_s` of that time covers clock drift.
  LeaseClock(double ttl_s, double margin_s) : usable_s_(ttl_s - margin_s) {}

  // The request that renewed the lease was sent at `sent`. Counting from `sent` is safe: the
  // key-value store counts from its receipt of the request, which is later.
  void OnRenewed(double sent) {
    expires_at_ = std::max(expires_at_, std::optional(sent + usable_s_));
  }
  // Called when the lease has ended or is about to be revoked: Holds() is false until a renewal.
  void OnLost() { expires_at_.reset(); }
  [[nodiscard]] bool Holds(double now) const { return expires_at_ && now < *expires_at_; }
  // Returns 0 if there is no lease, and a negative number once the lease may have expired.
  [[nodiscard]] double RemainingS(double now) const { return expires_at_ ? *expires_at_ - now : 0; }

 private:
  double usable_s_;
  std::optional<double> expires_at_;
};

}  // namespace mosspath::election
