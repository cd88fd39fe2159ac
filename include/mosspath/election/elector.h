// Leader election over the key-value store's leases (as in etcd: lease, election). The elector
// obtains and renews this controller's store lease and campaigns for the leader key. The leader key
// is attached to that lease, and its version is the fencing token of the term. This class does the
// I/O and runs the timers; election/leadership makes the decisions.
#pragma once

#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "mosspath/config/settings.h"
#include "mosspath/election/leadership.h"
#include "mosspath/kvstore/client.h"

namespace mosspath::election {

// Runs on the thread of its io_context, as `client` does. `client` must outlive the elector.
class Elector {
 public:
  struct Handlers {
    // This controller leads from now on, with `token` as its fencing token.
    std::function<void(uint64_t token)> elected;
    // This controller no longer leads and must send no more commands.
    std::function<void()> lost;
  };

  // `key` is the leader key.
  Elector(asio::io_context& io, kvstore::Client& client, const config::Settings& settings,
          const config::DerivedSettings& derived, std::string key, Handlers handlers);

  // Requests a store lease. Must be called once.
  void Start();

  // --- Events of the watch cache ---
  void OnLeaderKey(const kvstore::Event& event);
  void OnReset() { leadership_.Reset(); }
  // `fresh`: no key other than final records was read, so no controller has ever led.
  void OnCacheLoaded(bool fresh);
  // The watch cache holds every change up to `revision`, and with that everything that was written
  // to the key-value store before `as_of`.
  void OnReadUpTo(double as_of, uint64_t revision) { leadership_.OnReadUpTo(as_of, revision); }
  // The leader has sent the age of its view (what it has read of the key-value store), and the
  // watch cache holds all cancellations of that view: those that were confirmed to users before
  // `as_of`.
  void OnLeaderView(double as_of) { leadership_.OnLeaderView(as_of); }

  // Resigns at once, so that another controller can be elected. Has no effect on a follower.
  void Resign(LeadershipLossReason reason);
  [[nodiscard]] bool MayResign(double now) const { return leadership_.MayResign(now); }

  // Logs until when this controller may act as the leader, and how old its view is.
  void LogLeadership(double now) const;

  // --- See election::Leadership for the contracts ---
  [[nodiscard]] bool MayAct(double now) const { return leadership_.MayAct(now); }
  [[nodiscard]] bool IsStale(double now) const { return leadership_.IsStale(now); }
  [[nodiscard]] bool ViewIsFresh(double now) const { return leadership_.ViewIsFresh(now); }
  [[nodiscard]] double view_age_s(double now) const { return leadership_.view_age_s(now); }
  [[nodiscard]] std::optional<uint64_t> BeginPromiseRound(double now) {
    return leadership_.BeginPromiseRound(client_.last_contact(), now);
  }
  [[nodiscard]] wire::PromiseRequest MakePromiseRequest() const {
    return leadership_.MakePromiseRequest();
  }
  [[nodiscard]] PromiseResponseResult OnPromiseResponse(
      uint64_t round, const std::string& peer, const wire::PromiseResponse& response, double now,
      std::vector<wire::CancellationLogSlice::Entry>& learned) {
    return leadership_.OnPromiseResponse(round, peer, response, now, learned);
  }
  // Calls Handlers::lost if the request shows that this controller's term is over.
  [[nodiscard]] Leadership::PromiseDecision OnPromiseRequest(const wire::PromiseRequest& request,
                                                             double now);
  // kNoToken while this controller does not lead.
  [[nodiscard]] uint64_t token() const { return leadership_.token(); }
  // The controller that the leader key names, as last read; empty if the key was absent or has not
  // been read.
  [[nodiscard]] const std::string& leader() const { return leadership_.leader(); }
  // The leader's fencing token, as last read from the leader key; kNoToken if the key was absent or
  // has not been read.
  [[nodiscard]] uint64_t leader_token() const { return leadership_.leader_token(); }
  // This controller's store lease; kvstore::kNoLease while this controller has none.
  [[nodiscard]] uint64_t store_lease() const { return leadership_.store_lease(); }
  [[nodiscard]] const std::string& key() const { return key_; }

 private:
  void GrantStoreLease();
  void RenewStoreLease();
  void OnRenewal(kvstore::Outcome outcome, double sent);
  void LogLapse();
  void Evaluate();
  void Campaign(uint64_t version);
  void HandleLoss(const Leadership::MaybeLoss& loss);

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
  // The log has reported that the store lease lapsed in this term; no renewal has succeeded since.
  bool lapse_logged_ = false;
};

}  // namespace mosspath::election
