// Who of the controllers is there, and what each lacks, by what they tell each other. Nothing that
// must be safe is decided on it: silence proves nothing. Pure.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "mosspath/config/settings.h"
#include "mosspath/wire/peer_heartbeat.h"

namespace mosspath::election {

class FailureDetector {
 public:
  explicit FailureDetector(const config::Settings& settings);

  void OnHeartbeat(const wire::PeerHeartbeat& p, double now);
  // This process did not run from then until now: nobody was silent for that.
  void OnProcessStall(double from, double now);

  // Not heard of for several times as long as they are to be heard of; false for one never heard.
  bool IsSuspected(const std::string& node, double now) const;
  // The last time the state service answered any of the others, as far as they told.
  double state_contact() const { return state_contact_; }
  // All others were heard, and none is any more.
  bool IsIsolated(double now) const;
  // Whether users should be sent here, by when the state service last answered this controller; it
  // may fail to for `patience_s`. In an outage that everybody has, leaving the load balancer would
  // only delay the users after it. One that is refused alone leaves, since the others can serve;
  // and so does one that is cut off from the others too: it can't tell these apart, and kept
  // answering 503 to users that others would have served for as long as it had them and its
  // workers.
  bool ShouldServeUsers(double state_contact, double patience_s, double now) const;
  std::vector<wire::PeerHeartbeat::PeerContact> PeerContacts(double now) const;
  // All of them, this one by what it says of itself.
  std::vector<wire::ControllerState> ControllerStates(const wire::PeerHeartbeat& own,
                                                      double now) const;

  double interval_s() const { return interval_s_; }

 private:
  struct Peer {
    std::string zone;
    double heard_at = -1e18;
    wire::PeerHeartbeat heartbeat;
  };
  void AddUnreachable(const wire::PeerHeartbeat& p, double later_s,
                      wire::ControllerState& out) const;

  const std::string node_;
  const std::string zone_;
  const double interval_s_;
  const double report_s_;
  std::map<std::string, Peer> peers_;
  double state_contact_ = -1e18;
};

}  // namespace mosspath::election
