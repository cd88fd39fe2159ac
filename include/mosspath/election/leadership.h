// Leader election as one controller sees it: who leads, and what this controller may do (campaign,
// lead, go on in an outage, promise a peer not to lead, step down). A pure state machine: events
// and the time come in, and what is to be done comes out. The service (election/elector) and the
// simulation drive it. docs/design.md, rules 1, 2 and 12, "Outages of the store that are longer
// than a store lease" and "The state service refuses the leader alone, and then everybody" say why
// it is safe.
//
// The leader key hangs on the leader's store lease (etcd: lease, election). Its version is the
// fencing token of the term, as Raft's term number is, and every write of the leader is conditional
// on it.
//
// Invariants: a controller leads only under the version that the leader key has as far as it was
// read; it acts only while nobody else can lead, and on a view that holds all that users were told
// until shortly before.
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

// The token of a controller that does not lead, and of the leader while none is known.
inline constexpr uint64_t kNoToken = 0;

// Why a leader no longer leads.
enum class LeadershipLossReason {
  kStoreLeaseEnded,    // the state service says that the lease is over
  kLeaderKeyChanged,   // the leader key has another version
  kLeaderKeyNotOwn,    // after everything was read anew: the key hangs on another lease
  kLaterLeaderAsked,   // a peer asked for a promise under a later token
  kViewIsStale,        // resigned: changes of the state service can't be read
  kAgentsPartitioned,  // resigned: most agents can't be heard
};
// The reason as it is logged, in snake case.
[[nodiscard]] std::string_view ToString(LeadershipLossReason reason);

// What became of a peer's answer to a promise request.
enum class PromiseResponseResult {
  kCounted,      // it is a promise of the present round
  kNotCounted,   // no promise, or not everything that the peer has confirmed is known here
  kImplausible,  // no peer can have sent it: it names a revision that can't exist yet
};

class Leadership {
 public:
  // `settings.name` is this controller, `settings.peers` are all others. All times are seconds on
  // this controller's steady clock.
  Leadership(const config::Settings& settings, const config::DerivedSettings& derived, double now);

  // The end of this controller's term.
  struct LeadershipLoss {
    uint64_t token = kNoToken;
    LeadershipLossReason reason = LeadershipLossReason::kStoreLeaseEnded;
  };
  using MaybeLoss = std::optional<LeadershipLoss>;

  // --- Its store lease. `sent` is when the request left ---
  void OnStoreLeaseGranted(uint64_t store_lease, double sent);
  void OnStoreLeaseRenewed(double sent) { store_lease_clock_.OnRenewed(sent); }
  MaybeLoss OnStoreLeaseEnded();
  // Gives the leadership up: commands nothing from now on, and lets others campaign first.
  MaybeLoss Resign(LeadershipLossReason reason, double now);
  // kvstore::kNoLease while it has none.
  [[nodiscard]] uint64_t store_lease() const { return store_lease_; }
  [[nodiscard]] bool StoreLeaseHolds(double now) const { return store_lease_clock_.Holds(now); }

  // --- The leader key, as it is read ---
  struct LeaderKey {
    std::string node;
    uint64_t store_lease = kvstore::kNoLease;
    uint64_t version = kvstore::kKeyAbsent;
  };
  // What was read is void, and is read anew.
  void Reset();
  MaybeLoss OnLeaderKey(const LeaderKey& key);
  // The key and all else was read. `fresh`: the store is empty, so nobody has ever led.
  MaybeLoss OnLoaded(bool fresh);
  // All that was written before `as_of`, which is up to `revision`, is known.
  void OnReadUpTo(double as_of, uint64_t revision);

  // --- What to do now ---
  struct Step {
    enum class Kind {
      kNone,
      kCampaign,  // put the leader key, on condition that it has `version`
      kWait,      // call NextStep again after `wait_s`
      kElected,   // this controller leads from now on, under token()
    };
    Kind kind = Kind::kNone;
    uint64_t version = kvstore::kKeyAbsent;
    double wait_s = 0;
  };
  Step NextStep(double now);
  // A campaign is under way and its outcome not read yet: no other one begins.
  void SetCampaigning(bool under_way) { campaigning_ = under_way; }
  [[nodiscard]] bool campaigning() const { return campaigning_; }

  // --- What it may do ---
  // Whether it may command agents at this moment.
  [[nodiscard]] bool MayAct(double now) const {
    return leads() && staleness_.IsFresh(now) &&
           (store_lease_clock_.Holds(now) || promises_.Holds(now));
  }
  // It keeps its store lease but hardly learns of changes, while others may: a reason to resign.
  [[nodiscard]] bool IsStale(double now) const {
    return leads() && store_lease_clock_.Holds(now) && staleness_.IsAging(now);
  }
  [[nodiscard]] bool MayResign(double now) const { return resignation_backoff_.MayResign(now); }
  // Whether it may act on its view of the jobs, whoever leads.
  [[nodiscard]] bool ViewIsFresh(double now) const { return staleness_.IsFresh(now); }
  [[nodiscard]] double view_age_s(double now) const { return staleness_.age_s(now); }
  // The leader has sent its view (docs/sharding.md): all that users were told before `as_of` is
  // known.
  void OnLeaderView(double as_of) { staleness_.AdvanceTo(as_of); }
  // kNoToken: it does not lead.
  [[nodiscard]] uint64_t token() const { return token_; }
  // Who leads, as far as is known; empty: nobody.
  [[nodiscard]] const std::string& leader() const { return leader_key_.node; }
  [[nodiscard]] uint64_t leader_token() const { return leader_key_.version; }

  // --- While the state service is silent. `contact` is when the last request that it answered was
  // sent ---
  [[nodiscard]] bool IsDisconnected(double contact, double now) const {
    return now - contact > kMissedRenewals * derived_.store_lease_renew_s;
  }
  // As the leader: the number of the round of promise requests to send now, if any.
  [[nodiscard]] std::optional<uint64_t> BeginPromiseRound(double contact, double now);
  [[nodiscard]] wire::PromiseRequest MakePromiseRequest() const {
    return {node_, token_, read_revision_};
  }
  // As the leader: a peer's answer. `learned` becomes the cancellations that it lists. Their jobs
  // must be ended here before anything else is done, since from this moment the view counts them as
  // known. `learned` is unchanged when the answer is implausible.
  PromiseResponseResult OnPromiseResponse(uint64_t round, const std::string& peer,
                                          const wire::PromiseResponse& response, double now,
                                          std::vector<wire::CancellationLogSlice::Entry>& learned);
  // As a peer: whether it promises the sender of the request not to lead for a short time. A leader
  // of an earlier term may learn here that its term is over.
  struct PromiseDecision {
    bool promised = false;
    bool well_formed = true;  // false: no controller can have sent such a request
    MaybeLoss loss;
  };
  [[nodiscard]] PromiseDecision OnPromiseRequest(const wire::PromiseRequest& request,
                                                 double contact, double now);

 private:
  // Renewals that went unanswered before the state service counts as out of reach.
  static constexpr double kMissedRenewals = 1.5;

  [[nodiscard]] bool leads() const { return token_ != kNoToken; }
  // The leader key was read, and it hangs on this controller's store lease.
  [[nodiscard]] bool HoldsLeaderKey() const {
    return leader_key_.version != kvstore::kKeyAbsent && leader_key_.store_lease == store_lease_;
  }
  Step TakeOffice(double now);
  // How long to wait for others after a resignation; none: this controller may campaign.
  std::optional<double> HoldBack(double now);
  MaybeLoss StepDown(LeadershipLossReason reason);
  // Whether the state service can have come to this revision since it was last read.
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
  uint64_t read_revision_ = 0;  // everything up to here was read
  double read_at_;              // when the read that gave read_revision_ was sent
  bool loaded_ = false;
  bool had_leader_before_ = false;  // an earlier leader may still go on by promises
  bool campaigning_ = false;
  std::optional<double> hold_back_until_;  // after resigning
  std::optional<double> key_free_since_;   // the leader key, while this controller holds back
};

}  // namespace mosspath::election
