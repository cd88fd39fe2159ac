// A leader that can't do its work resigns for another to try; when none can, they must not pass the
// leadership round and round. Pure.
#pragma once

#include <algorithm>

namespace mosspath::election {

class ResignationBackoff {
 public:
  // The longest that a leader stays in vain.
  explicit ResignationBackoff(double first_s, double most_s) : first_s_(first_s), most_s_(most_s) {}

  void OnResigned(double now) {
    if (now - resigned_at_ > kForget * most_s_) min_tenure_s_ = 0;
    resigned_at_ = now;
    min_tenure_s_ = std::clamp(2 * min_tenure_s_, first_s_, most_s_);
  }
  void OnElected(double now) { elected_at_ = now; }
  // Whether it may resign: each time it stays for twice as long.
  bool MayResign(double now) const {
    return now - resigned_at_ > kForget * most_s_ || now - elected_at_ > min_tenure_s_;
  }

 private:
  static constexpr double kForget = 4;
  double first_s_;
  double most_s_;
  double min_tenure_s_ = 0;
  double resigned_at_ = -1e18;
  double elected_at_ = -1e18;
};

}  // namespace mosspath::election
