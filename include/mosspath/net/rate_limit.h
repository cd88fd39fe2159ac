// Rate budgets and backoff; pure, the time is passed in.
#pragma once

#include <algorithm>

namespace mosspath::net {

// A token bucket.
class TokenBucket {
 public:
  TokenBucket(double per_second, double burst) : rate_(per_second), burst_(burst), level_(burst) {}

  bool TryTake(double now, double amount = 1) {
    Refill(now);
    if (level_ < std::min(amount, burst_)) return false;
    level_ -= amount;
    return true;
  }
  // Seconds until `amount` can be taken.
  double DelayFor(double now, double amount = 1) {
    Refill(now);
    return std::max(0.0, (std::min(amount, burst_) - level_) / rate_);
  }

 private:
  void Refill(double now) {
    if (now > last_) level_ = std::min(burst_, level_ + (now - last_) * rate_);
    last_ = std::max(last_, now);
  }
  double rate_;
  double burst_;
  double level_;
  double last_ = 0;
};

// Exponential backoff between two bounds.
class Backoff {
 public:
  Backoff(double least, double most) : least_(least), most_(most), next_(least) {}
  double Next() {
    const double now = next_;
    next_ = std::min(most_, next_ * 2);
    return now;
  }
  void Reset() { next_ = least_; }

 private:
  double least_;
  double most_;
  double next_;
};

}  // namespace mosspath::net
