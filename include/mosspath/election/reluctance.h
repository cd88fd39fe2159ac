// A leader that can't do its work resigns for another to try; when none can, they must not pass the
// leadership round and round. Pure.
#pragma once

#include <algorithm>

namespace mosspath::election {

class Reluctance {
 public:
  // The longest that a leader stays in vain.
  explicit Reluctance(double first_s, double most_s) : first_s_(first_s), most_s_(most_s) {}

  void Resigned(double now) {
    if (now - resigned_ > kForget * most_s_) stay_s_ = 0;
    resigned_ = now;
    stay_s_ = std::clamp(2 * stay_s_, first_s_, most_s_);
  }
  void Elected(double now) { elected_ = now; }
  // Whether it may resign: each time it stays for twice as long.
  bool MayResign(double now) const {
    return now - resigned_ > kForget * most_s_ || now - elected_ > stay_s_;
  }

 private:
  static constexpr double kForget = 4;
  double first_s_;
  double most_s_;
  double stay_s_ = 0;
  double resigned_ = -1e18;
  double elected_ = -1e18;
};

}  // namespace mosspath::election
