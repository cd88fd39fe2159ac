// Who leads, as one controller knows it, and what it may do: campaign, lead, go on in an outage,
// promise another not to lead, step down. Events and the time come in; what is to be done comes
// out. Pure: the service (election/elector) and the simulation drive it. docs/design.md, rules 1, 2
// and 12, "State outages longer than a grant" and "The state service refuses the leader alone" say
// why it is safe.
//
// Invariants: it leads only under the version that the leader key has, as far as the key was read;
// it acts only while nobody else can lead, and on a view that holds all that users were told until
// shortly before.
#pragma once

#include <algorithm>
#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "mosspath/config/settings.h"
#include "mosspath/election/leadership_promises.h"
#include "mosspath/election/resignation_backoff.h"
#include "mosspath/election/staleness_bound.h"
#include "mosspath/wire/promise_frame.h"

namespace mosspath::election {

// What the holder of a grant may assume of it. Pure.
class LeaseClock {
 public:
  LeaseClock(double life_s, double margin_s) : usable_s_(life_s - margin_s) {}
  void OnRenewed(double sent) { until_ = std::max(until_, sent + usable_s_); }
  void OnLost() { until_ = -1e18; }
  // The service counts from when it got the renewal, which is after it was sent.
  bool Holds(double now) const { return now < until_; }

 private:
  double usable_s_;
  double until_ = -1e18;
};

class Leadership {
 public:
  // `settings.node` is this controller, `settings.peers` all others. All times are seconds on this
  // controller's steady clock.
  Leadership(const config::Settings& settings, const config::DerivedSettings& derived, double now);

  // The end of this controller's leadership, and why.
  struct LeadershipLoss {
    uint64_t token = 0;
    const char* reason = "";
  };
  using MaybeLoss = std::optional<LeadershipLoss>;

  // --- Its grant; `sent`: when the request left ---
  void OnStoreLeaseGranted(uint64_t grant, double sent);
  void OnStoreLeaseRenewed(double sent) { store_lease_clock_.OnRenewed(sent); }
  MaybeLoss OnStoreLeaseEnded();
  // Commands nothing from now on, and lets others go first.
  MaybeLoss Resign(const char* why, double now);
  uint64_t store_lease() const { return store_lease_; }
  bool StoreLeaseHolds(double now) const { return store_lease_clock_.Holds(now); }

  // --- The leader key, as it is read ---
  struct LeaderKey {
    std::string node;
    uint64_t store_lease = 0;
    uint64_t version = 0;  // 0: there is none
  };
  void Reset();  // what was read is void, and is read anew
  MaybeLoss OnLeaderKey(const LeaderKey& key);
  // The key and all else was read; `fresh`: there is nothing, so nobody has ever led.
  MaybeLoss OnLoaded(bool fresh);
  // All that was written before `as_of` is known, which is up to that revision.
  void OnReadUpTo(double as_of, uint64_t revision);

  // --- What to do now ---
  struct Step {
    enum class Kind {
      kNone,
      kCampaign,  // put the key, on condition that it has `version`
      kWait,      // look again after `wait_s`
      kElected,   // it leads from now on, under token()
    };
    Kind kind = Kind::kNone;
    uint64_t version = 0;
    double wait_s = 0;
  };
  Step NextStep(double now);
  // A campaign is under way, its outcome not yet read: no other begins.
  void SetCampaigning(bool under_way) { campaigning_ = under_way; }
  bool campaigning() const { return campaigning_; }

  // --- What it may do ---
  // Entitled to command workers at this moment.
  bool MayAct(double now) const {
    return token_ != 0 && staleness_.IsFresh(now) &&
           (store_lease_clock_.Holds(now) || promises_.Holds(now));
  }
  // It keeps its grant but hardly learns of changes, while others may: to resign for.
  bool IsStale(double now) const {
    return token_ != 0 && store_lease_clock_.Holds(now) && staleness_.IsAging(now);
  }
  bool MayResign(double now) const { return resignation_backoff_.MayResign(now); }
  // Whether it may act on what it knows of the jobs, whoever leads.
  bool ViewIsFresh(double now) const { return staleness_.IsFresh(now); }
  double view_age_s(double now) const { return staleness_.age_s(now); }
  // Taken over from who leads (docs/blocks.md): all that was told before then is known.
  void OnLeaderView(double as_of) { staleness_.AdvanceTo(as_of); }
  uint64_t token() const { return token_; }  // 0: it does not lead
  // Who leads, as far as is known; 0: nobody.
  const std::string& leader() const { return leader_key_.node; }
  uint64_t leader_token() const { return leader_key_.version; }

  // --- While the state service is silent; `contact`: when it last answered a request, by when that
  // was sent ---
  bool IsDisconnected(double contact, double now) const {
    return now - contact > kMissedRenewals * derived_.store_lease_renew_s;
  }
  // As the leader: the round of questions to send now, if any.
  std::optional<uint64_t> BeginPromiseRound(double contact, double now);
  wire::PromiseRequest MakePromiseRequest() const { return {node_, token_, read_revision_}; }
  // A peer's answer. What it tells of must be ended here before anything else is done: from this
  // moment on the view counts it as known. False: such an answer can't be.
  bool OnPromiseResponse(uint64_t round, const std::string& peer,
                         const wire::PromiseResponse& answer, double now,
                         std::vector<wire::CancellationLogSlice::Entry>& learned);
  // As a peer: whether it promises the leader of this token not to lead for a moment. A leader of
  // the past may learn here that it is one.
  struct PromiseDecision {
    bool promised = false;
    bool well_formed = true;  // false: such a question can't be
    MaybeLoss loss;
  };
  PromiseDecision OnPromiseRequest(const wire::PromiseRequest& question, double contact,
                                   double now);

 private:
  static constexpr double kMissedRenewals = 1.5;  // renewals that went unanswered

  MaybeLoss StepDown(const char* why);
  // Whether the state service can have come that far since it was read.
  bool IsPlausibleRevision(uint64_t revision, double now) const;

  const std::string node_;
  std::set<std::string> peers_;
  const config::DerivedSettings derived_;
  const double most_revisions_per_s_;
  LeaseClock store_lease_clock_;
  LeadershipPromises promises_;
  ResignationBackoff resignation_backoff_;
  StalenessBound staleness_;
  uint64_t store_lease_ = 0;
  uint64_t token_ = 0;
  LeaderKey leader_key_;
  uint64_t read_revision_ = 0;  // up to where all was read
  double read_at_;              // when that was asked for
  bool loaded_ = false;
  bool had_leader_before_ = false;  // somebody has, and may go on by a promise
  bool campaigning_ = false;
  double hold_back_until_ = -1e18;        // after resigning
  std::optional<double> key_free_since_;  // the key, while it holds back
};

}  // namespace mosspath::election
