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
          const config::Derived& derived, std::string key, Handlers handlers);

  void Start();
  // The mirror's view of the leader key.
  void KeyChanged(const kvstore::Event& e);
  void KeyReset() { lead_.Reset(); }
  // `fresh`: there is nothing in it, so nobody has led yet.
  void MirrorLoaded(bool fresh);
  // The mirror holds all that was written before this moment, which is up to that revision.
  void Seen(double as_of, uint64_t revision) { lead_.Seen(as_of, revision); }
  // Taken over from who leads.
  void Heard(double as_of) { lead_.Heard(as_of); }

  // Gives the leadership up at once, for another controller to take.
  void Resign(const char* why);
  bool MayResign(double now) const { return lead_.MayResign(now); }

  // See election::Leadership.
  bool Entitled(double now) const { return lead_.Entitled(now); }
  bool OutOfDate(double now) const { return lead_.OutOfDate(now); }
  bool ViewFresh(double now) const { return lead_.ViewFresh(now); }
  double view_age_s(double now) const { return lead_.view_age_s(now); }
  std::optional<uint64_t> AskPeers(double now) { return lead_.Ask(client_.last_contact(), now); }
  wire::VouchQuestion Question() const { return lead_.Question(); }
  bool PeerAnswered(uint64_t round, const std::string& peer, const wire::VouchAnswer& answer,
                    double now, std::vector<wire::CancelledPart::Entry>& learned) {
    return lead_.Answered(round, peer, answer, now, learned);
  }
  Leadership::Promise Asked(const wire::VouchQuestion& question, double now);
  uint64_t token() const { return lead_.token(); }
  const std::string& leader() const { return lead_.leader(); }
  // The present leader's, as far as is known; 0: nobody leads.
  uint64_t leader_token() const { return lead_.leader_token(); }
  // This node's, 0 while it has none.
  uint64_t grant() const { return lead_.grant(); }
  const std::string& key() const { return key_; }

 private:
  void Obtain();
  void Renew();
  void Consider();
  void Campaign(uint64_t version);
  void Told(const Leadership::Lost& lost);

  kvstore::Client& client_;
  const config::Derived derived_;
  const std::string node_;
  const std::string key_;
  Handlers handlers_;
  net::Timer renew_timer_;
  net::Timer campaign_timer_;
  net::Timer look_timer_;
  net::Backoff backoff_;
  Leadership lead_;
  bool logged_lapse_ = false;
};

}  // namespace mosspath::election
