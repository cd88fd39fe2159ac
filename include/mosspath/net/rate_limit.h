// Rate limits and backoff. Pure: the time is passed in, in seconds.
#pragma once

#include <algorithm>

namespace mosspath::net {

// A token bucket that starts full, with `burst` tokens. Taking more than `burst` tokens requires a
// full bucket and leaves a negative number of tokens in the bucket.
class TokenBucket {
 public:
  TokenBucket(double per_second, double burst)
      : tokens_per_s_(per_second), burst_(burst), tokens_(burst) {}

  bool TryTake(double now, double amount = 1) {
    Refill(now);
    if (tokens_ < std::min(amount, burst_)) return false;
    tokens_ -= amount;
    return true;
  }
  // Seconds until `amount` can be taken.
  double DelayFor(double now, double amount = 1) {
    Refill(now);
    return std::max(0.0, (std::min(amount, burst_) - tokens_) / tokens_per_s_);
  }

 private:
  void Refill(double now) {
    if (now > last_) tokens_ = std::min(burst_, tokens_ + (now - last_) * tokens_per_s_);
    last_ = std::max(last_, now);
  }
  double tokens_per_s_;
  double burst_;
  double tokens_;
  double last_ = 0;
};

// Exponential backoff that doubles from `min_s` up to `max_s`.
class Backoff {
 public:
  Backoff(double min_s, double max_s) : min_s_(min_s), max_s_(max_s), next_s_(min_s) {}
  double Next() {
    const double current = next_s_;
    next_s_ = std::min(max_s_, next_s_ * 2);
    return current;
  }
  void Reset() { next_s_ = min_s_; }

 private:
  double min_s_;
  double max_s_;
  double next_s_;
};

}  // namespace mosspath::net
