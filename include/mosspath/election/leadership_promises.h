// Leading on while the state service is down for everybody: the other controllers promise the
// leader not to lead for a short time. docs/design.md, "Outages of the store that are longer than a
// store lease", says why it is safe. Pure.
#pragma once

#include <algorithm>
#include <cstdint>
#include <optional>
#include <set>
#include <string>

#include "mosspath/config/settings.h"

namespace mosspath::election {

// The promises that this controller gives as a peer and collects as the leader. All times are
// seconds on this controller's steady clock.
class LeadershipPromises {
 public:
  // Each promise lasts `promise_s`; a round is complete once `peer_count` peers have promised.
  LeadershipPromises(double promise_s, size_t peer_count)
      : promise_s_(promise_s), peer_count_(peer_count) {}

  // --- As a peer ---
  // From `now` on this controller does not lead for `promise_s`. Also called at the start of a
  // process, which does not know what the process before it promised.
  void Promise(double now) {
    promised_until_ = std::max(promised_until_, std::optional(now + promise_s_));
  }
  // How long this controller is still bound by what it promised; zero or less: not at all.
  [[nodiscard]] double RemainingPromise(double now) const {
    return promised_until_ ? *promised_until_ - now : 0;
  }

  // --- As the leader ---
  // Begins a round of requests that are sent at `now`, and returns its number. Answers to earlier
  // rounds no longer count.
  [[nodiscard]] uint64_t BeginRound(double now) {
    round_began_at_ = now;
    promised_peers_.clear();
    return ++round_;
  }
  // Counts a peer's promise. Returns when the round was begun once all peers have promised in it.
  std::optional<double> OnPromise(uint64_t round, const std::string& peer) {
    if (round != round_) return std::nullopt;
    promised_peers_.insert(peer);
    if (peer_count_ == 0 || promised_peers_.size() != peer_count_) return std::nullopt;
    // A promise counts from when the request was received, which is after it was sent.
    const double usable_s = promise_s_ * (1 - 4 * config::kMaxClockDrift);
    held_until_ = std::max(held_until_, std::optional(round_began_at_ + usable_s));
    return round_began_at_;
  }
  // All peers are bound, so nobody else can lead.
  [[nodiscard]] bool Holds(double now) const { return held_until_ && now < *held_until_; }
  // What was promised to this controller no longer counts, nor do answers that are under way.
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
