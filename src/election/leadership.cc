#include "mosspath/election/leadership.h"

#include <algorithm>
#include <utility>

namespace mosspath::election {
namespace {

// Each change takes one revision, and settings.store_writes_per_s limits the rate of the changes of
// all controllers together. Store leases that end take revisions too. A revision is implausible if
// it implies that revisions rose faster than this multiple of the limit since the last read.
constexpr double kRevisionsPerChange = 4;
// To allow bursts, the plausibility check adds this many seconds to the time since the last read.
constexpr double kRevisionBurstS = 1;
// After a resignation a controller defers its own campaign for this many store lease durations, so
// that other controllers can campaign first.
constexpr double kDeferCampaignLeases = 2;
// In the term after its first resignation a leader may resign only after this many store lease
// durations (see ResignationBackoff).
constexpr double kMinTenureLeases = 2;

}  // namespace

std::string_view ToString(LeadershipLossReason reason) {
  switch (reason) {
    case LeadershipLossReason::kStoreLeaseEnded:
      return "store_lease_ended";
    case LeadershipLossReason::kLeaderKeyChanged:
      return "leader_key_changed";
    case LeadershipLossReason::kLeaderKeyNotOwn:
      return "leader_key_not_own";
    case LeadershipLossReason::kLaterLeaderRequestedPromise:
      return "later_leader_asked";
    case LeadershipLossReason::kViewIsStale:
      return "view_is_stale";
    case LeadershipLossReason::kAgentsPartitioned:
      return "agents_partitioned";
  }
  return "unknown";
}

Leadership::Leadership(const config::Settings& settings, const config::DerivedSettings& derived,
                       double now)
    : node_(settings.name),
      derived_(derived),
      max_revisions_per_s_(kRevisionsPerChange * settings.store_writes_per_s),
      store_lease_clock_(derived.store_lease_s, derived.lapse_margin_s),
      promises_(derived.promise_s, settings.peers.size()),
      resignation_backoff_(kMinTenureLeases * derived.store_lease_s, settings.agent_lease_s),
      staleness_(derived.max_view_age_s),
      read_at_(now) {
  for (const auto& peer : settings.peers) peers_.insert(peer.name);
  promises_.Promise(now);  // covers any promise of the previous process
}

void Leadership::OnStoreLeaseGranted(uint64_t store_lease, double sent) {
  store_lease_ = store_lease;
  store_lease_clock_.OnRenewed(sent);
}

Leadership::MaybeLoss Leadership::OnStoreLeaseEnded() {
  store_lease_clock_.OnLost();
  store_lease_ = kvstore::kNoLease;
  return StepDown(LeadershipLossReason::kStoreLeaseEnded);
}

Leadership::MaybeLoss Leadership::Resign(LeadershipLossReason reason, double now) {
  store_lease_clock_.OnLost();
  store_lease_ = kvstore::kNoLease;
  defer_campaign_until_ = now + kDeferCampaignLeases * derived_.store_lease_s;
  resignation_backoff_.OnResigned(now);
  return StepDown(reason);
}

void Leadership::Reset() {
  loaded_ = false;
  leader_key_ = {};
}

Leadership::MaybeLoss Leadership::OnLeaderKey(const LeaderKey& key) {
  leader_key_ = key;
  const bool has_leader = key.version != kvstore::kKeyAbsent;
  had_leader_before_ = had_leader_before_ || (has_leader && key.store_lease != store_lease_);
  if (leads() && token_ != key.version) return StepDown(LeadershipLossReason::kLeaderKeyChanged);
  return std::nullopt;
}

Leadership::MaybeLoss Leadership::OnLoaded(bool fresh) {
  loaded_ = true;
  had_leader_before_ = had_leader_before_ || !fresh;
  if (leads() && leader_key_.store_lease != store_lease_) {
    return StepDown(LeadershipLossReason::kLeaderKeyNotOwn);
  }
  return std::nullopt;
}

void Leadership::OnReadUpTo(double as_of, uint64_t revision) {
  staleness_.AdvanceTo(as_of);
  if (revision < read_revision_) return;
  read_revision_ = revision;
  read_at_ = std::max(read_at_, as_of);
}

Leadership::Step Leadership::NextStep(double now) {
  using Kind = Step::Kind;
  if (!loaded_ || store_lease_ == kvstore::kNoLease) return {};
  if (HoldsLeaderKey()) return AssumeLeadership(now);
  if (const auto wait_s = CampaignDelay(now)) {
    return {.kind = Kind::kWait, .version = kvstore::kKeyAbsent, .wait_s = *wait_s};
  }
  // A leader key that names this controller but is attached to another store lease was put under an
  // earlier store lease of this controller, for example by an earlier process. This controller may
  // overwrite that leader key at once. Other controllers must wait until that store lease has
  // ended.
  const bool led_by_other = leader_key_.version != kvstore::kKeyAbsent && leader_key_.node != node_;
  if (led_by_other || campaigning_ || !store_lease_clock_.Holds(now)) return {};
  return {.kind = Kind::kCampaign, .version = leader_key_.version, .wait_s = 0};
}

// This controller has read its own leader key, and therefore all writes of earlier leaders: each
// such write is conditional on an earlier version of the leader key, so it can't have succeeded
// after this controller put the key.
Leadership::Step Leadership::AssumeLeadership(double now) {
  using Kind = Step::Kind;
  if (token_ == leader_key_.version) return {};
  const double remaining_s = promises_.RemainingPromise(now);
  if (remaining_s > 0 && had_leader_before_) {
    return {.kind = Kind::kWait, .version = kvstore::kKeyAbsent, .wait_s = remaining_s};
  }
  token_ = leader_key_.version;
  resignation_backoff_.OnElected(now);
  return {.kind = Kind::kElected, .version = kvstore::kKeyAbsent, .wait_s = 0};
}

// After its resignation this controller lets other controllers campaign first. If no controller
// does and the leader key stays absent for half a store lease duration, this controller campaigns
// early.
std::optional<double> Leadership::CampaignDelay(double now) {
  if (!defer_campaign_until_ || now >= *defer_campaign_until_) return std::nullopt;
  const double recheck_s = derived_.store_lease_s / 2;
  if (leader_key_.version != kvstore::kKeyAbsent) {
    key_free_since_.reset();
    return std::min(*defer_campaign_until_ - now, recheck_s);
  }
  if (!key_free_since_) key_free_since_ = now;
  const double campaign_at = *key_free_since_ + recheck_s;
  if (now < campaign_at) return campaign_at - now;
  return std::nullopt;
}

Leadership::MaybeLoss Leadership::StepDown(LeadershipLossReason reason) {
  promises_.Invalidate();
  if (!leads()) return std::nullopt;
  return LeadershipLoss{std::exchange(token_, kNoToken), reason};
}

bool Leadership::IsPlausibleRevision(uint64_t revision, double now) const {
  if (revision <= read_revision_) return true;
  const double elapsed_s = std::max(0.0, now - read_at_) + kRevisionBurstS;
  return static_cast<double>(revision - read_revision_) <= max_revisions_per_s_ * elapsed_s;
}

std::optional<uint64_t> Leadership::BeginPromiseRound(double contact, double now) {
  // During a reload, what this controller has read of the key-value store is incomplete, even if
  // the pages that were loaded so far have a recent revision: the ends of jobs on pages that are
  // still to be loaded can be missing.
  if (!leads() || !loaded_ || !IsDisconnected(contact, now)) return std::nullopt;
  return promises_.BeginRound(now);
}

PromiseResponseResult Leadership::OnPromiseResponse(
    uint64_t round, const std::string& peer, const wire::PromiseResponse& response, double now,
    std::vector<wire::CancellationLogSlice::Entry>& learned) {
  const wire::CancellationLogSlice& slice = response.cancellations;
  if (!IsPlausibleRevision(std::max(slice.newest, slice.to_revision), now)) {
    return PromiseResponseResult::kImplausible;
  }
  learned = slice.entries;
  // A promise lets this leader keep tasks running. It must not be counted while this controller
  // lacks a confirmed cancellation, or the tasks of the cancelled job would be kept running too.
  // The entries of an earlier response are no substitute for a complete list: a peer may receive
  // the responses to its changes out of order, and so add an earlier cancellation to its log after
  // a later one. Only what this controller has read from the key-value store is complete, up to
  // read_revision_. So each response must list all cancellations after read_revision_.
  const bool all_known = slice.from_revision <= read_revision_ &&
                         slice.newest <= std::max(read_revision_, slice.to_revision);
  if (!response.promised || !all_known || !loaded_ || !leads()) {
    return PromiseResponseResult::kNotCounted;
  }
  // This controller has every cancellation that a peer had confirmed when that peer received the
  // request. So the promises of all peers together are equivalent to a read of the key-value store
  // at the time the requests were sent.
  if (const auto sent_at = promises_.OnPromise(round, peer)) staleness_.AdvanceTo(*sent_at);
  return PromiseResponseResult::kCounted;
}

bool Leadership::IsWellFormed(const wire::PromiseRequest& request, double now) const {
  return peers_.contains(request.node) && request.token != kNoToken &&
         IsPlausibleRevision(std::max(request.token, request.read_revision), now);
}

Leadership::PromiseDecision Leadership::OnPromiseRequest(const wire::PromiseRequest& request,
                                                         double contact, double now) {
  PromiseDecision decision;
  // Until the watch cache is loaded, this controller does not know which cancellations its previous
  // process may have confirmed, and so it could not list them in its response.
  if (!loaded_) return decision;
  if (!IsWellFormed(request, now)) {
    decision.result = PromiseRequestResult::kMalformed;
    return decision;
  }
  if (!IsDisconnected(contact, now)) return decision;
  if (request.token != leader_key_.version) {
    // A token is the revision at which the leader key was put. A token up to read_revision_ that is
    // not the version of the leader key belongs to a former leader. A token above read_revision_
    // belongs to a leader key that was put after the last read. That leader key has replaced the
    // leader key that this controller has read, even if the latter is this controller's own.
    if (request.token <= read_revision_ || request.token <= leader_key_.version) return decision;
    leader_key_ = {request.node, kvstore::kNoLease, request.token};
    had_leader_before_ = true;
    if (leads()) decision.loss = StepDown(LeadershipLossReason::kLaterLeaderRequestedPromise);
    promises_.Invalidate();
  }
  if (leads()) return decision;
  promises_.Promise(now);
  decision.result = PromiseRequestResult::kPromised;
  return decision;
}

}  // namespace mosspath::election
