// The leader election state of one controller: which controller leads, and what this controller may
// do (campaign, lead, continue in an outage, promise a peer not to lead, step down). A state
// machine without I/O: events and the time are its input, the next step is its output. The service
// (election/elector) and the simulation drive it. docs/design.md, rules 1, 2 and 12, "Outages of
// the store that are longer than a store lease" and "The state service refuses the leader alone,
// and then everybody" show that it is safe.
//
// The leader key is attached to the leader's store lease (as in etcd: lease, election). Its version
// is the fencing token of the term, comparable to Raft's term number. Every write of the leader is
// conditional on that version.
//
// Invariants:
//   - a controller leads only under the version of the leader key that it has read last;
//   - a leader acts only while no other controller can lead;
//   - a leader acts only on a view that holds everything that was confirmed to users until shortly
//     before.
#pragma once

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "mosspath/config/settings.h"
#include "mosspath/election/leadership_promises.h"
#include "mosspath/election/lease_clock.h"
#include "mosspath/election/resignation_backoff.h"
#include "mosspath/election/staleness_bound.h"
#include "mosspath/kvstore/ids.h"
#include "mosspath/wire/promise_frame.h"

namespace mosspath::election {

// The token of a controller that does not lead, and the leader's token while no leader is known.
inline constexpr uint64_t kNoToken = 0;

// Why a controller lost the leadership.
enum class LeadershipLossReason {
  kStoreLeaseEnded,    // the state service reports that the store lease has ended
  kLeaderKeyChanged,   // the leader key has another version
  kLeaderKeyNotOwn,    // after a reload the leader key is attached to another lease
  kLaterLeaderAsked,   // a peer requested a promise under a later token
  kViewIsStale,        // resigned: this controller can't read changes of the state service
  kAgentsPartitioned,  // resigned: most agents don't reach this controller
};
// Returns the reason as it is logged, in snake case.
[[nodiscard]] std::string_view ToString(LeadershipLossReason reason);

// How a peer's response to a promise request was handled.
enum class PromiseResponseResult {
  kCounted,      // the response is a promise of the current round
  kNotCounted,   // no promise, or this controller lacks cancellations that the peer has confirmed
  kImplausible,  // no peer can have sent the response: it contains a revision that can't exist yet
};

class Leadership {
 public:
  // `settings.name` is this controller, `settings.peers` are all other controllers. All times are
  // seconds on this controller's steady clock.
  Leadership(const config::Settings& settings, const config::DerivedSettings& derived, double now);

  // The end of this controller's term.
  struct LeadershipLoss {
    uint64_t token = kNoToken;
    LeadershipLossReason reason = LeadershipLossReason::kStoreLeaseEnded;
  };
  using MaybeLoss = std::optional<LeadershipLoss>;

  // --- This controller's store lease. `sent` is when the request was sent ---
  void OnStoreLeaseGranted(uint64_t store_lease, double sent);
  void OnStoreLeaseRenewed(double sent) { store_lease_clock_.OnRenewed(sent); }
  MaybeLoss OnStoreLeaseEnded();
  // Gives up the leadership: this controller sends no commands from now on, and lets other
  // controllers campaign first.
  MaybeLoss Resign(LeadershipLossReason reason, double now);
  // kvstore::kNoLease while this controller has no store lease.
  [[nodiscard]] uint64_t store_lease() const { return store_lease_; }
  [[nodiscard]] bool StoreLeaseHolds(double now) const { return store_lease_clock_.Holds(now); }

  // --- The leader key, as read from the state service ---
  struct LeaderKey {
    std::string node;
    uint64_t store_lease = kvstore::kNoLease;
    uint64_t version = kvstore::kKeyAbsent;
  };
  // Discards what was read; a reload follows.
  void Reset();
  MaybeLoss OnLeaderKey(const LeaderKey& key);
  // The leader key and all other keys were read. `fresh`: the store is empty, so no controller has
  // ever led.
  MaybeLoss OnLoaded(bool fresh);
  // This controller has read everything that was written before `as_of`, up to `revision`.
  void OnReadUpTo(double as_of, uint64_t revision);

  // --- The next step ---
  struct Step {
    enum class Kind {
      kNone,
      kCampaign,  // put the leader key, on condition that its current version is `version`
      kWait,      // call NextStep again after `wait_s`
      kElected,   // this controller leads from now on; token() is its fencing token
    };
    Kind kind = Kind::kNone;
    uint64_t version = kvstore::kKeyAbsent;
    double wait_s = 0;
  };
  Step NextStep(double now);
  // While a campaign is in flight and its outcome has not been read, no other campaign begins.
  void SetCampaigning(bool under_way) { campaigning_ = under_way; }
  [[nodiscard]] bool campaigning() const { return campaigning_; }

  // --- What this controller may do ---
  // Whether this controller may send commands to agents now.
  [[nodiscard]] bool MayAct(double now) const {
    return leads() && staleness_.IsFresh(now) &&
           (store_lease_clock_.Holds(now) || promises_.Holds(now));
  }
  // True if this leader keeps its store lease but its view is aging. Other controllers may still
  // read changes, so the leader should resign.
  [[nodiscard]] bool IsStale(double now) const {
    return leads() && store_lease_clock_.Holds(now) && staleness_.IsAging(now);
  }
  [[nodiscard]] bool MayResign(double now) const { return resignation_backoff_.MayResign(now); }
  // Whether this controller may act on its view of the jobs, as a leader or not.
  [[nodiscard]] bool ViewIsFresh(double now) const { return staleness_.IsFresh(now); }
  [[nodiscard]] double view_age_s(double now) const { return staleness_.age_s(now); }
  // The leader has sent its view (docs/sharding.md): this controller has everything that was
  // confirmed to users before `as_of`.
  void OnLeaderView(double as_of) { staleness_.AdvanceTo(as_of); }
  // kNoToken while this controller does not lead.
  [[nodiscard]] uint64_t token() const { return token_; }
  // The name of the last known leader; empty if none is known.
  [[nodiscard]] const std::string& leader() const { return leader_key_.node; }
  // The fencing token of that leader; kNoToken if none is known.
  [[nodiscard]] uint64_t leader_token() const { return leader_key_.version; }

  // --- Outages of the state service. `contact` is when the last request that the state service
  // answered was sent ---
  [[nodiscard]] bool IsDisconnected(double contact, double now) const {
    return now - contact > kMissedRenewals * derived_.store_lease_renew_s;
  }
  // Leader: returns the number of the round of promise requests to send now, if any.
  [[nodiscard]] std::optional<uint64_t> BeginPromiseRound(double contact, double now);
  [[nodiscard]] wire::PromiseRequest MakePromiseRequest() const {
    return {node_, token_, read_revision_};
  }
  // Leader: handles a peer's response. Sets `learned` to the cancellations that the response lists.
  // The caller must end their jobs before it does anything else, since from now on the view counts
  // as including them. Leaves `learned` unchanged if the response is implausible.
  PromiseResponseResult OnPromiseResponse(uint64_t round, const std::string& peer,
                                          const wire::PromiseResponse& response, double now,
                                          std::vector<wire::CancellationLogSlice::Entry>& learned);
  // Peer: decides whether to promise the sender of the request not to lead for a short time. A
  // request under a later token ends the term of a leader of an earlier one.
  struct PromiseDecision {
    bool promised = false;
    bool well_formed = true;  // false: no correct controller can have sent the request
    MaybeLoss loss;
  };
  [[nodiscard]] PromiseDecision OnPromiseRequest(const wire::PromiseRequest& request,
                                                 double contact, double now);

 private:
  // The state service counts as disconnected after this many renewal intervals without contact.
  static constexpr double kMissedRenewals = 1.5;

  [[nodiscard]] bool leads() const { return token_ != kNoToken; }
  // The leader key was read and is attached to this controller's store lease.
  [[nodiscard]] bool HoldsLeaderKey() const {
    return leader_key_.version != kvstore::kKeyAbsent && leader_key_.store_lease == store_lease_;
  }
  Step AssumeLeadership(double now);
  // Seconds to wait for other controllers to campaign after a resignation; none: this controller
  // may campaign.
  std::optional<double> CampaignDelay(double now);
  MaybeLoss StepDown(LeadershipLossReason reason);
  // Whether the state service can have reached this revision since it was last read.
  [[nodiscard]] bool IsPlausibleRevision(uint64_t revision, double now) const;
  [[nodiscard]] bool IsWellFormed(const wire::PromiseRequest& request, double now) const;

  const std::string node_;
  std::set<std::string> peers_;
  const config::DerivedSettings derived_;
  const double max_revisions_per_s_;
  LeaseClock store_lease_clock_;
  LeadershipPromises promises_;
  ResignationBackoff resignation_backoff_;
  StalenessBound staleness_;
  uint64_t store_lease_ = kvstore::kNoLease;
  uint64_t token_ = kNoToken;
  LeaderKey leader_key_;
  uint64_t read_revision_ = 0;  // everything up to this revision was read
  double read_at_;              // when the read that returned read_revision_ was sent
  bool loaded_ = false;
  bool had_leader_before_ = false;  // an earlier leader may still act under promises
  bool campaigning_ = false;
  std::optional<double> defer_campaign_until_;  // after a resignation
  std::optional<double> key_free_since_;        // leader key absent while the campaign is deferred
};

}  // namespace mosspath::election
