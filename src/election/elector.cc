#include "mosspath/election/elector.h"

#include <spdlog/spdlog.h>

#include <utility>

namespace mosspath::election {
namespace {

constexpr double kFirstGrantRetryS = 0.1;
constexpr double kFailedCampaignPauseS = 0.3;
// A failed renewal is retried after this fraction of the renewal interval.
constexpr double kRenewRetryRatio = 0.25;

// Field names of the stored value of the leader key.
constexpr const char* kNodeField = "node";
constexpr const char* kStoreLeaseField = "grant";

}  // namespace

Elector::Elector(asio::io_context& io, kvstore::Client& client, const config::Settings& settings,
                 const config::DerivedSettings& derived, std::string key, Handlers handlers)
    : client_(client),
      derived_(derived),
      node_(settings.name),
      key_(std::move(key)),
      handlers_(std::move(handlers)),
      renew_timer_(io),
      campaign_timer_(io),
      evaluate_timer_(io),
      backoff_(kFirstGrantRetryS, derived.store_lease_renew_s),
      leadership_(settings, derived, net::Now()) {}

void Elector::Start() { GrantStoreLease(); }

void Elector::GrantStoreLease() {
  const double sent = net::Now();
  client_.GrantLease(
      derived_.store_lease_s, [this, sent](kvstore::Outcome outcome, uint64_t store_lease) {
        if (leadership_.store_lease() != kvstore::kNoLease) return;
        if (outcome != kvstore::Outcome::kDone) {
          renew_timer_.After(backoff_.Next(), [this] { GrantStoreLease(); });
          return;
        }
        backoff_.Reset();
        leadership_.OnStoreLeaseGranted(store_lease, sent);
        renew_timer_.After(derived_.store_lease_renew_s, [this] { RenewStoreLease(); });
        Evaluate();
      });
}

void Elector::RenewStoreLease() {
  const double sent = net::Now();
  const uint64_t store_lease = leadership_.store_lease();
  client_.RenewLease(store_lease, [this, sent, store_lease](kvstore::Outcome outcome) {
    if (store_lease != leadership_.store_lease()) return;  // this controller resigned meanwhile
    OnRenewal(outcome, sent);
  });
}

void Elector::OnRenewal(kvstore::Outcome outcome, double sent) {
  if (outcome == kvstore::Outcome::kLeaseNotFound) {
    HandleLoss(leadership_.OnStoreLeaseEnded());
    return GrantStoreLease();
  }
  const bool renewed = outcome == kvstore::Outcome::kDone;
  if (renewed) {
    if (lapse_logged_) spdlog::info("election: store_lease_resumed token={}", token());
    lapse_logged_ = false;
    leadership_.OnStoreLeaseRenewed(sent);
  } else {
    LogLapse();
  }
  const double pause_s = derived_.store_lease_renew_s * (renewed ? 1 : kRenewRetryRatio);
  renew_timer_.After(sent + pause_s - net::Now(), [this] { RenewStoreLease(); });
  // A controller whose store lease had lapsed by its own clock does not campaign. After an outage
  // the renewal may be the only event that says that it may campaign again: open watches report no
  // change, and nobody holds the leader key.
  if (renewed) Evaluate();
}

void Elector::LogLapse() {
  const double now = net::Now();
  if (token() == kNoToken || leadership_.StoreLeaseHolds(now) || lapse_logged_) return;
  lapse_logged_ = true;
  spdlog::info("election: store_lease_lapsed token={} acting={}", token(),
               MayAct(now) ? "under_promises" : "no");
}

void Elector::LogLeadership(double now) const {
  spdlog::info(
      "election: leading token={} acting={} store_lease_left_s={:.1f} view_age_s={:.2f} "
      "revision={}",
      token(), MayAct(now) ? "yes" : "no", leadership_.store_lease_left_s(now), view_age_s(now),
      leadership_.read_revision());
}

void Elector::OnCacheLoaded(bool fresh) {
  HandleLoss(leadership_.OnLoaded(fresh));
  Evaluate();
}

void Elector::OnLeaderKey(const kvstore::Event& event) {
  Leadership::LeaderKey key;
  if (event.value) {
    key.node = event.value->value(kNodeField, "");
    key.store_lease = event.value->value(kStoreLeaseField, kvstore::kNoLease);
    key.version = event.version;
  }
  HandleLoss(leadership_.OnLeaderKey(key));
  Evaluate();
}

void Elector::Evaluate() {
  using Kind = Leadership::Step::Kind;
  const Leadership::Step step = leadership_.NextStep(net::Now());
  switch (step.kind) {
    case Kind::kNone:
      return;
    case Kind::kWait:
      evaluate_timer_.After(step.wait_s, [this] { Evaluate(); });
      return;
    case Kind::kCampaign:
      return Campaign(step.version);
    case Kind::kElected:
      spdlog::info("election: elected node={} token={}", node_, token());
      return handlers_.elected(token());
  }
}

void Elector::Campaign(uint64_t version) {
  leadership_.SetCampaigning(true);
  kvstore::Transaction transaction;
  transaction.conditions.push_back({key_, version});
  transaction.changes.push_back(
      {key_, wire::Json{{kNodeField, node_}, {kStoreLeaseField, store_lease()}}, store_lease()});
  const auto on_committed = [this](const kvstore::TransactionResult& result) {
    // This controller reads from the watch cache whether the leader key was put, not from this
    // response. It begins no other campaign before the pause ends.
    const bool done = result.outcome == kvstore::Outcome::kDone;
    spdlog::info("election: campaigned node={} committed={}", node_, done ? "yes" : "no");
    const double pause_s = done ? derived_.call_timeout_s : kFailedCampaignPauseS;
    campaign_timer_.After(pause_s, [this] {
      leadership_.SetCampaigning(false);
      Evaluate();
    });
  };
  client_.Commit(transaction, derived_.call_timeout_s, on_committed);
}

void Elector::Resign(LeadershipLossReason reason) {
  if (token() == kNoToken) return;
  const uint64_t store_lease = leadership_.store_lease();
  HandleLoss(leadership_.Resign(reason, net::Now()));
  client_.RevokeLease(store_lease);
  renew_timer_.Cancel();
  GrantStoreLease();
}

Leadership::PromiseDecision Elector::OnPromiseRequest(const wire::PromiseRequest& request,
                                                      double now) {
  Leadership::PromiseDecision decision =
      leadership_.OnPromiseRequest(request, client_.last_contact(), now);
  HandleLoss(decision.loss);
  return decision;
}

void Elector::HandleLoss(const Leadership::MaybeLoss& loss) {
  if (!loss) return;
  lapse_logged_ = false;
  spdlog::info("election: lost token={} reason={}", loss->token, ToString(loss->reason));
  handlers_.lost();
}

}  // namespace mosspath::election
