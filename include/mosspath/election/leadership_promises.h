// Going on while the state service is down for everybody: the other controllers promise the leader
// not to lead for a moment. Pure; docs/design.md says why it is safe.
#pragma once

#include <algorithm>
#include <cstdint>
#include <optional>
#include <set>
#include <string>

#include "mosspath/config/settings.h"

namespace mosspath::election {

class LeadershipPromises {
 public:
  LeadershipPromises(double promise_s, size_t peers) : promise_s_(promise_s), peers_(peers) {}

  // --- As a peer ---
  // Called when this node may lead again only after whatever it has promised, or may have promised
  // before it was started anew.
  void Promise(double now) { promised_until_ = std::max(promised_until_, now + promise_s_); }
  double promised_until() const { return promised_until_; }

  // --- As the leader ---
  // Begins a round of questions, sent at `now`.
  uint64_t BeginRound(double now) {
    round_began_at_ = now;
    promised_.clear();
    return ++round_;
  }
  // When the round was asked for, once all have promised.
  std::optional<double> OnPromise(uint64_t round, const std::string& peer) {
    if (round != round_) return std::nullopt;
    promised_.insert(peer);
    // A promise counts from when the question was received, which is after it was sent.
    if (peers_ == 0 || promised_.size() != peers_) return std::nullopt;
    until_ = std::max(until_, round_began_at_ + promise_s_ * (1 - 4 * config::kMaxClockDrift));
    return round_began_at_;
  }
  // Nobody else can lead now.
  bool Holds(double now) const { return now < until_; }
  void Invalidate() {
    until_ = -1e18;
    ++round_;
  }

 private:
  const double promise_s_;
  const size_t peers_;
  double promised_until_ = -1e18;
  double round_began_at_ = 0;
  uint64_t round_ = 0;
  std::set<std::string> promised_;
  double until_ = -1e18;
};

}  // namespace mosspath::election
