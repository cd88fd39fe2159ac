// Leadership over the state service's grants: obtains and renews the grant, campaigns for the
// leader key, which hangs on it and whose version is the token under which the leader commands
// workers. What it decides stands in election/leadership.
#pragma once

#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "mosspath/config/settings.h"
#include "mosspath/election/leadership.h"
#include "mosspath/kvstore/client.h"

namespace mosspath::election {

class Elector {
 public:
  struct Handlers {
    std::function<void(uint64_t token)> elected;
    std::function<void()> lost;
  };

  Elector(asio::io_context& io, kvstore::Client& client, const config::Settings& settings,
          const config::DerivedSettings& derived, std::string key, Handlers handlers);

  void Start();
  // The mirror's view of the leader key.
  void OnLeaderKey(const kvstore::Event& e);
  void OnReset() { leadership_.Reset(); }
  // `fresh`: there is nothing in it, so nobody has led yet.
  void OnCacheLoaded(bool fresh);
  // The mirror holds all that was written before this moment, which is up to that revision.
  void OnReadUpTo(double as_of, uint64_t revision) { leadership_.OnReadUpTo(as_of, revision); }
  // Taken over from who leads.
  void OnLeaderView(double as_of) { leadership_.OnLeaderView(as_of); }

  // Gives the leadership up at once, for another controller to take.
  void Resign(const char* why);
  bool MayResign(double now) const { return leadership_.MayResign(now); }

  // See election::Leadership.
  bool MayAct(double now) const { return leadership_.MayAct(now); }
  bool IsStale(double now) const { return leadership_.IsStale(now); }
  bool ViewIsFresh(double now) const { return leadership_.ViewIsFresh(now); }
  double view_age_s(double now) const { return leadership_.view_age_s(now); }
  std::optional<uint64_t> BeginPromiseRound(double now) {
    return leadership_.BeginPromiseRound(client_.last_contact(), now);
  }
  wire::PromiseRequest MakePromiseRequest() const { return leadership_.MakePromiseRequest(); }
  bool OnPromiseResponse(uint64_t round, const std::string& peer,
                         const wire::PromiseResponse& answer, double now,
                         std::vector<wire::CancellationLogSlice::Entry>& learned) {
    return leadership_.OnPromiseResponse(round, peer, answer, now, learned);
  }
  Leadership::PromiseDecision OnPromiseRequest(const wire::PromiseRequest& question, double now);
  uint64_t token() const { return leadership_.token(); }
  const std::string& leader() const { return leadership_.leader(); }
  // The present leader's, as far as is known; 0: nobody leads.
  uint64_t leader_token() const { return leadership_.leader_token(); }
  // This node's, 0 while it has none.
  uint64_t store_lease() const { return leadership_.store_lease(); }
  const std::string& key() const { return key_; }

 private:
  void GrantStoreLease();
  void RenewStoreLease();
  void Evaluate();
  void Campaign(uint64_t version);
  void HandleLoss(const Leadership::MaybeLoss& lost);

  kvstore::Client& client_;
  const config::DerivedSettings derived_;
  const std::string node_;
  const std::string key_;
  Handlers handlers_;
  net::Timer renew_timer_;
  net::Timer campaign_timer_;
  net::Timer evaluate_timer_;
  net::Backoff backoff_;
  Leadership leadership_;
  bool lapse_logged_ = false;
};

}  // namespace mosspath::election
