#include "mosspath/election/elector.h"

#include <spdlog/spdlog.h>

#include <utility>

namespace mosspath::election {

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
      backoff_(0.1, derived.store_lease_renew_s),
      leadership_(settings, derived, net::Now()) {}

void Elector::Start() { GrantStoreLease(); }

void Elector::GrantStoreLease() {
  const double sent = net::Now();
  client_.GrantLease(
      derived_.store_lease_s, [this, sent](kvstore::Outcome outcome, uint64_t grant) {
        if (leadership_.store_lease() != 0) return;
        if (outcome != kvstore::Outcome::kDone) {
          renew_timer_.After(backoff_.Next(), [this] { GrantStoreLease(); });
          return;
        }
        backoff_.Reset();
        leadership_.OnStoreLeaseGranted(grant, sent);
        renew_timer_.After(derived_.store_lease_renew_s, [this] { RenewStoreLease(); });
        Evaluate();
      });
}

void Elector::RenewStoreLease() {
  const double sent = net::Now();
  client_.RenewLease(leadership_.store_lease(), [this, sent, grant = leadership_.store_lease()](
                                                    kvstore::Outcome outcome) {
    if (grant != leadership_.store_lease()) return;  // resigned meanwhile
    if (outcome == kvstore::Outcome::kLeaseNotFound) {
      HandleLoss(leadership_.OnStoreLeaseEnded());
      return GrantStoreLease();
    }
    if (outcome == kvstore::Outcome::kDone) {
      if (lapse_logged_) spdlog::info("lease: resumed token={}", leadership_.token());
      lapse_logged_ = false;
      leadership_.OnStoreLeaseRenewed(sent);
    } else if (const double now = net::Now();
               leadership_.token() != 0 && !leadership_.StoreLeaseHolds(now) && !lapse_logged_) {
      lapse_logged_ = true;
      spdlog::info("lease: the grant of token={} may be over, {}", leadership_.token(),
                   MayAct(now) ? "going on as all peers vouch" : "commanding nothing");
    }
    const double pause = outcome == kvstore::Outcome::kDone ? derived_.store_lease_renew_s
                                                            : derived_.store_lease_renew_s / 4;
    renew_timer_.After(sent + pause - net::Now(), [this] { RenewStoreLease(); });
  });
}

void Elector::OnCacheLoaded(bool fresh) {
  HandleLoss(leadership_.OnLoaded(fresh));
  Evaluate();
}

void Elector::OnLeaderKey(const kvstore::Event& e) {
  Leadership::LeaderKey key;
  if (e.value) key = {e.value->value("node", ""), e.value->value("grant", uint64_t{0}), e.version};
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
      spdlog::info("lease: elected node={} token={}", node_, leadership_.token());
      return handlers_.elected(leadership_.token());
  }
}

void Elector::Campaign(uint64_t version) {
  leadership_.SetCampaigning(true);
  kvstore::Transaction txn;
  txn.conditions.push_back({key_, version});
  txn.changes.push_back(
      {key_, wire::Json{{"node", node_}, {"grant", store_lease()}}, store_lease()});
  client_.Commit(std::move(txn), derived_.call_timeout_s, [this](kvstore::TransactionResult r) {
    // The mirror tells how it went; try again if it shows the key free for a while.
    const double pause = r.outcome == kvstore::Outcome::kDone ? derived_.call_timeout_s : 0.3;
    campaign_timer_.After(pause, [this] {
      leadership_.SetCampaigning(false);
      Evaluate();
    });
  });
}

void Elector::Resign(const char* why) {
  if (token() == 0) return;
  const uint64_t grant = leadership_.store_lease();
  HandleLoss(leadership_.Resign(why, net::Now()));
  client_.RevokeLease(grant);
  renew_timer_.Cancel();
  GrantStoreLease();
}

Leadership::PromiseDecision Elector::OnPromiseRequest(const wire::PromiseRequest& question,
                                                      double now) {
  Leadership::PromiseDecision promise =
      leadership_.OnPromiseRequest(question, client_.last_contact(), now);
  HandleLoss(promise.loss);
  return promise;
}

void Elector::HandleLoss(const Leadership::MaybeLoss& lost) {
  if (!lost) return;
  lapse_logged_ = false;
  spdlog::info("lease: lost token={}: {}", lost->token, lost->reason);
  handlers_.lost();
}

}  // namespace mosspath::election
