#include "mosspath/election/elector.h"

#include <spdlog/spdlog.h>

#include <utility>

namespace mosspath::election {

Elector::Elector(asio::io_context& io, kvstore::Client& client, const config::Settings& settings,
                 const config::Derived& derived, std::string key, Handlers handlers)
    : client_(client),
      derived_(derived),
      node_(settings.node),
      key_(std::move(key)),
      handlers_(std::move(handlers)),
      renew_timer_(io),
      campaign_timer_(io),
      look_timer_(io),
      backoff_(0.1, derived.renew_s),
      lead_(settings, derived, net::Now()) {}

void Elector::Start() { Obtain(); }

void Elector::Obtain() {
  const double sent = net::Now();
  client_.Grant(derived_.grant_s, [this, sent](kvstore::Outcome outcome, uint64_t grant) {
    if (lead_.grant() != 0) return;
    if (outcome != kvstore::Outcome::kDone) {
      renew_timer_.After(backoff_.Next(), [this] { Obtain(); });
      return;
    }
    backoff_.Reset();
    lead_.Granted(grant, sent);
    renew_timer_.After(derived_.renew_s, [this] { Renew(); });
    Consider();
  });
}

void Elector::Renew() {
  const double sent = net::Now();
  client_.Renew(lead_.grant(), [this, sent, grant = lead_.grant()](kvstore::Outcome outcome) {
    if (grant != lead_.grant()) return;  // resigned meanwhile
    if (outcome == kvstore::Outcome::kNoGrant) {
      Told(lead_.GrantEnded());
      return Obtain();
    }
    if (outcome == kvstore::Outcome::kDone) {
      if (logged_lapse_) spdlog::info("lease: resumed token={}", lead_.token());
      logged_lapse_ = false;
      lead_.Renewed(sent);
    } else if (const double now = net::Now();
               lead_.token() != 0 && !lead_.GrantHolds(now) && !logged_lapse_) {
      logged_lapse_ = true;
      spdlog::info("lease: the grant of token={} may be over, {}", lead_.token(),
                   Entitled(now) ? "going on as all peers vouch" : "commanding nothing");
    }
    const double pause = outcome == kvstore::Outcome::kDone ? derived_.renew_s : derived_.renew_s / 4;
    renew_timer_.After(sent + pause - net::Now(), [this] { Renew(); });
  });
}

void Elector::MirrorLoaded(bool fresh) {
  Told(lead_.Loaded(fresh));
  Consider();
}

void Elector::KeyChanged(const kvstore::Event& e) {
  Leadership::Key key;
  if (e.value) key = {e.value->value("node", ""), e.value->value("grant", uint64_t{0}), e.version};
  Told(lead_.Read(key));
  Consider();
}

void Elector::Consider() {
  using Kind = Leadership::Step::Kind;
  const Leadership::Step step = lead_.Next(net::Now());
  switch (step.kind) {
    case Kind::kNone:
      return;
    case Kind::kWait:
      look_timer_.After(step.wait_s, [this] { Consider(); });
      return;
    case Kind::kCampaign:
      return Campaign(step.version);
    case Kind::kElected:
      spdlog::info("lease: elected node={} token={}", node_, lead_.token());
      return handlers_.elected(lead_.token());
  }
}

void Elector::Campaign(uint64_t version) {
  lead_.Campaigning(true);
  kvstore::Transaction txn;
  txn.conditions.push_back({key_, version});
  txn.changes.push_back({key_, wire::Json{{"node", node_}, {"grant", grant()}}, grant()});
  client_.Commit(std::move(txn), derived_.call_timeout_s, [this](kvstore::TxnResult r) {
    // The mirror tells how it went; try again if it shows the key free for a while.
    const double pause = r.outcome == kvstore::Outcome::kDone ? derived_.call_timeout_s : 0.3;
    campaign_timer_.After(pause, [this] {
      lead_.Campaigning(false);
      Consider();
    });
  });
}

void Elector::Resign(const char* why) {
  if (token() == 0) return;
  const uint64_t grant = lead_.grant();
  Told(lead_.Resign(why, net::Now()));
  client_.EndGrant(grant);
  renew_timer_.Cancel();
  Obtain();
}

Leadership::Promise Elector::Asked(const wire::VouchQuestion& question, double now) {
  Leadership::Promise promise = lead_.Asked(question, client_.last_contact(), now);
  Told(promise.lost);
  return promise;
}

void Elector::Told(const Leadership::Lost& lost) {
  if (!lost) return;
  logged_lapse_ = false;
  spdlog::info("lease: lost token={}: {}", lost->token, lost->why);
  handlers_.lost();
}

}  // namespace mosspath::election
