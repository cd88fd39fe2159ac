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
//   - a leader acts (sends commands to agents) only while no other controller can lead;
//   - a leader acts only on a fresh view. The view is what this controller has read of the state
//     service. It is fresh if it holds everything that was confirmed to users until
//     `max_view_age_s` ago.
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
  kStoreLeaseEnded,   // the key-value store reports that the store lease has ended
  kLeaderKeyChanged,  // the leader key was put again or deleted after this controller put it
  kLeaderKeyNotOwn,   // after a reload the leader key is absent or attached to another lease
  kLaterLeaderRequestedPromise,  // a peer requested a promise under a later token
  kViewIsStale,        // this controller resigned: it can't read changes of the key-value store
  kAgentsPartitioned,  // this controller resigned: most agents don't reach it
};
// Returns the reason as it is logged, in snake case.
[[nodiscard]] std::string_view ToString(LeadershipLossReason reason);

// How a peer's promise request was handled.
enum class PromiseRequestResult {
  kPromised,   // this controller will not lead for a short time
  kRefused,    // this controller makes no promise
  kMalformed,  // no correct controller can have sent the request
};

// How a peer's response to a promise request was handled.
enum class PromiseResponseResult {
  // The response is a valid promise. A promise of an earlier round is reported so too, but has no
  // effect.
  kCounted,
  // The peer made no promise, or this controller lacks cancellations that the peer has confirmed,
  // or this controller no longer leads or is reloading the watch cache.
  kNotCounted,
  // The response contains a revision that can't exist yet, so no correct peer can have sent it.
  kImplausible,
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
  // Resigns the leadership. From now on this controller sends no commands, and it delays its next
  // campaign so that other controllers can campaign first.
  MaybeLoss Resign(LeadershipLossReason reason, double now);
  // kvstore::kNoLease while this controller has no store lease.
  [[nodiscard]] uint64_t store_lease() const { return store_lease_; }
  [[nodiscard]] bool StoreLeaseHolds(double now) const { return store_lease_clock_.Holds(now); }
  // See LeaseClock::RemainingS.
  [[nodiscard]] double store_lease_left_s(double now) const {
    return store_lease_clock_.RemainingS(now);
  }

  // --- The leader key, as read from the key-value store ---
  struct LeaderKey {
    std::string node;
    uint64_t store_lease = kvstore::kNoLease;
    uint64_t version = kvstore::kKeyAbsent;
  };
  // Discards the leader key that was read; a reload of the watch cache follows.
  void Reset();
  MaybeLoss OnLeaderKey(const LeaderKey& key);
  // The watch cache has loaded the leader key and all other keys. `fresh`: the key-value store has
  // no key other than final records, so no controller has ever led.
  MaybeLoss OnLoaded(bool fresh);
  // This controller has read every change up to `revision`, and with that everything that was
  // written to the key-value store before `as_of`.
  void OnReadUpTo(double as_of, uint64_t revision);

  // --- The next step ---
  struct Step {
    enum class Kind {
      kNone,
      kCampaign,  // put the leader key if its current version is `version`
      kWait,      // call NextStep again after `wait_s`
      kElected,   // this controller leads from now on; token() is its fencing token
    };
    Kind kind = Kind::kNone;
    uint64_t version = kvstore::kKeyAbsent;
    double wait_s = 0;
  };
  // The caller must call this again after every event: a change of the leader key, a load of the
  // watch cache, a store lease that was granted or renewed, the end of a campaign.
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
  // True if this controller leads and its store lease holds, but its view is aging: more than half
  // of the maximum age is used up. Other controllers may still be able to read changes, so this
  // controller should resign.
  [[nodiscard]] bool IsStale(double now) const {
    return leads() && store_lease_clock_.Holds(now) && staleness_.IsAging(now);
  }
  [[nodiscard]] bool MayResign(double now) const { return resignation_backoff_.MayResign(now); }
  // Whether this controller may act on what it has read of the jobs in the key-value store, whether
  // it leads or not.
  [[nodiscard]] bool ViewIsFresh(double now) const { return staleness_.IsFresh(now); }
  [[nodiscard]] double view_age_s(double now) const { return staleness_.age_s(now); }
  // This controller has read every change up to this revision.
  [[nodiscard]] uint64_t read_revision() const { return read_revision_; }
  // The leader has sent the age of its view (docs/sharding.md): its view holds all cancellations
  // that were confirmed to users before `as_of`. This controller has read all of them too, so the
  // age of its own view is measured from `as_of` as well.
  void OnLeaderView(double as_of) { staleness_.AdvanceTo(as_of); }
  // kNoToken while this controller does not lead.
  [[nodiscard]] uint64_t token() const { return token_; }
  // The controller that the leader key names, as last read; empty if the key was absent or has not
  // been read.
  [[nodiscard]] const std::string& leader() const { return leader_key_.node; }
  // The leader's fencing token, as last read from the leader key; kNoToken if the key was absent or
  // has not been read.
  [[nodiscard]] uint64_t leader_token() const { return leader_key_.version; }

  // --- Outages of the key-value store. `contact` is when the last request that the key-value store
  // answered was sent ---
  [[nodiscard]] bool IsDisconnected(double contact, double now) const {
    return now - contact > kMissedRenewals * derived_.store_lease_renew_s;
  }
  // Leader: begins a round of promise requests and returns its number; the caller sends the
  // requests. Returns nothing if no round is needed or allowed: this controller does not lead, is
  // reloading the watch cache, or reaches the key-value store.
  [[nodiscard]] std::optional<uint64_t> BeginPromiseRound(double contact, double now);
  [[nodiscard]] wire::PromiseRequest MakePromiseRequest() const {
    return {node_, token_, read_revision_};
  }
  // Leader: handles a peer's response to the promise request of round `round`. Sets `learned` to
  // the cancellations that the response lists. The caller must end the cancelled jobs before it
  // does anything else: the age of the view is computed as if the view held these cancellations
  // already. Leaves `learned` unchanged if the response is implausible.
  PromiseResponseResult OnPromiseResponse(uint64_t round, const std::string& peer,
                                          const wire::PromiseResponse& response, double now,
                                          std::vector<wire::CancellationLogSlice::Entry>& learned);
  // Peer: decides whether to promise the sender of the request not to lead for a short time. If
  // this controller leads under an earlier token than that of the request, its term ends.
  struct PromiseDecision {
    PromiseRequestResult result = PromiseRequestResult::kRefused;
    MaybeLoss loss;

    [[nodiscard]] bool promised() const { return result == PromiseRequestResult::kPromised; }
    [[nodiscard]] bool malformed() const { return result == PromiseRequestResult::kMalformed; }
  };
  [[nodiscard]] PromiseDecision OnPromiseRequest(const wire::PromiseRequest& request,
                                                 double contact, double now);

 private:
  // This controller is disconnected from the key-value store after this many renewal intervals
  // without contact.
  static constexpr double kMissedRenewals = 1.5;

  [[nodiscard]] bool leads() const { return token_ != kNoToken; }
  // True if the leader key that was last read exists and is attached to this controller's store
  // lease.
  [[nodiscard]] bool HoldsLeaderKey() const {
    return leader_key_.version != kvstore::kKeyAbsent && leader_key_.store_lease == store_lease_;
  }
  Step AssumeLeadership(double now);
  // Returns the seconds for which this controller, after its resignation, still waits for other
  // controllers to campaign. Returns nothing if this controller may campaign now.
  std::optional<double> CampaignDelay(double now);
  MaybeLoss StepDown(LeadershipLossReason reason);
  // Whether the key-value store can have reached `revision` by `now`, given the revision that this
  // controller has read last and the limit on the rate of changes.
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
  uint64_t read_revision_ = 0;  // this controller has read every change up to this revision
  double read_at_;              // when the read that returned read_revision_ was sent
  bool loaded_ = false;         // the watch cache is complete: no reload is in progress
  // Another controller, or an earlier process of this controller, may have led before and may still
  // act under promises.
  bool had_leader_before_ = false;
  bool campaigning_ = false;
  // Set by a resignation: until this time, this controller leaves the campaign to other
  // controllers.
  std::optional<double> defer_campaign_until_;
  // Since when the leader key has been absent while this controller defers its campaign.
  std::optional<double> key_free_since_;
};

}  // namespace mosspath::election
