// Lets a leader continue to act while the key-value store is down for all controllers: the peers
// promise the leader not to lead for a short time. docs/design.md, "Outages of the store that are
// longer than a store lease", shows that such promises are safe. Does no I/O.
#pragma once

#include <algorithm>
#include <cstdint>
#include <optional>
#include <set>
#include <string>

#include "mosspath/config/settings.h"

namespace mosspath::election {

// The promises that this controller makes as a peer and collects as the leader. All times are
// seconds on this controller's steady clock.
class LeadershipPromises {
 public:
  // Each promise lasts `promise_s`; a round is complete once `peer_count` peers have promised.
  LeadershipPromises(double promise_s, size_t peer_count)
      : promise_s_(promise_s), peer_count_(peer_count) {}

  // --- As a peer ---
  // Binds this controller not to lead for `promise_s` from `now`. Must also be called at the start
  // of the process: the previous process may have made promises, which are not stored.
  void Promise(double now) {
    promised_until_ = std::max(promised_until_, std::optional(now + promise_s_));
  }
  // Seconds for which this controller is still bound by its promise; zero or less: not bound.
  [[nodiscard]] double RemainingPromise(double now) const {
    return promised_until_ ? *promised_until_ - now : 0;
  }

  // --- As the leader ---
  // Begins a round of promise requests that are sent at `now`, and returns its number. From now on
  // the responses to earlier rounds are ignored.
  [[nodiscard]] uint64_t BeginRound(double now) {
    round_began_at_ = now;
    promised_peers_.clear();
    return ++round_;
  }
  // Counts a peer's promise. Once all peers have promised in the round, returns when the round
  // began; otherwise returns nothing.
  std::optional<double> OnPromise(uint64_t round, const std::string& peer) {
    if (round != round_) return std::nullopt;
    promised_peers_.insert(peer);
    if (peer_count_ == 0 || promised_peers_.size() != peer_count_) return std::nullopt;
    // Counting from when the request was sent is safe: the peer counts from its receipt of the
    // request, which is later. The factor covers the drift between the two clocks.
    const double usable_s = promise_s_ * (1 - 4 * config::kMaxClockDrift);
    held_until_ = std::max(held_until_, std::optional(round_began_at_ + usable_s));
    return round_began_at_;
  }
  // True while all peers are bound by their promises, so that no other controller can lead.
  [[nodiscard]] bool Holds(double now) const { return held_until_ && now < *held_until_; }
  // Discards the promises that this controller has collected. Responses that are still in flight
  // are ignored when they arrive.
  void Invalidate() {
    held_until_.reset();
    ++round_;
  }

 private:
  const double promise_s_;
  const size_t peer_count_;
  std::optional<double> promised_until_;
  double round_began_at_ = 0;
  uint64_t round_ = 0;
  std::set<std::string> promised_peers_;
  std::optional<double> held_until_;
};

}  // namespace mosspath::election
