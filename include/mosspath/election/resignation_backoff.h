// Exponential backoff of resignations. A leader that can't do its work resigns, so that another
// controller can try. If no controller can, the backoff keeps the leadership from moving between
// controllers without end. Does no I/O.
#pragma once

#include <algorithm>
#include <optional>

namespace mosspath::election {

// All times are seconds on one steady clock.
class ResignationBackoff {
 public:
  // After the first resignation a leader must lead for `first_s` (the minimum tenure) before it may
  // resign again. Each further resignation doubles the minimum tenure, up to `max_s`.
  ResignationBackoff(double first_s, double max_s) : first_s_(first_s), max_s_(max_s) {}

  void OnResigned(double now) {
    if (HasReset(now)) min_tenure_s_ = 0;
    resigned_at_ = now;
    min_tenure_s_ = std::clamp(2 * min_tenure_s_, first_s_, max_s_);
  }
  void OnElected(double now) { elected_at_ = now; }
  // Whether this controller has led for long enough to resign.
  [[nodiscard]] bool MayResign(double now) const {
    return HasReset(now) || !elected_at_ || now - *elected_at_ > min_tenure_s_;
  }

 private:
  // The backoff resets this many times `max_s` after the last resignation.
  static constexpr double kResetFactor = 4;

  [[nodiscard]] bool HasReset(double now) const {
    return !resigned_at_ || now - *resigned_at_ > kResetFactor * max_s_;
  }

  double first_s_;
  double max_s_;
  double min_tenure_s_ = 0;
  std::optional<double> resigned_at_;
  std::optional<double> elected_at_;
};

}  // namespace mosspath::election
