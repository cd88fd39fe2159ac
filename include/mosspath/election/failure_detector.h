// A heartbeat failure detector between controllers: which of them are up, and what each can't
// reach. Its verdicts are hints for routing and for the status page. Nothing that must be safe is
// decided on them, since silence proves nothing. Pure.
#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "mosspath/config/settings.h"
#include "mosspath/wire/peer_heartbeat.h"

namespace mosspath::election {

// All times are seconds on this controller's steady clock.
class FailureDetector {
 public:
  explicit FailureDetector(const config::Settings& settings);

  // Heartbeats of controllers that are not in the settings are ignored.
  void OnHeartbeat(const wire::PeerHeartbeat& heartbeat, double now);
  // This process did not run between `from` and `now`: no peer was silent for that time.
  void OnProcessStall(double from, double now);

  // No heartbeat has come for several intervals; false for a peer that was never heard.
  [[nodiscard]] bool IsSuspected(const std::string& node, double now) const;
  // When the state service last answered any peer, as far as their heartbeats say.
  [[nodiscard]] std::optional<double> state_contact() const { return state_contact_; }
  // All peers were heard, and all are suspected now.
  [[nodiscard]] bool IsIsolated(double now) const;
  // Whether the load balancer should send users here. `state_contact` is when the state service
  // last answered this controller, which may be up to `patience_s` ago.
  //
  // In an outage that everybody has, leaving the load balancer would only send the users after it.
  // A controller that is refused alone leaves, since the others can serve. So does one that is cut
  // off from the others too: it can't tell the two cases apart, and it would answer 503 to users
  // whom the others could serve.
  [[nodiscard]] bool ShouldServeUsers(double state_contact, double patience_s, double now) const;
  // How long ago each peer was heard; wire::kNeverS if it never was.
  [[nodiscard]] std::vector<wire::PeerHeartbeat::PeerContact> PeerContacts(double now) const;
  // The state of all controllers by name; this one's from its own heartbeat.
  [[nodiscard]] std::vector<wire::ControllerState> ControllerStates(const wire::PeerHeartbeat& own,
                                                                    double now) const;

  // Seconds between two heartbeats.
  [[nodiscard]] double interval_s() const { return interval_s_; }

 private:
  struct Peer {
    std::string zone;
    std::optional<double> heard_at;
    wire::PeerHeartbeat heartbeat;  // valid once it was heard
  };

  // How long ago the peer was heard; at most wire::kNeverS.
  [[nodiscard]] static double SilenceOf(const Peer& peer, double now);
  [[nodiscard]] wire::ControllerState StateOf(const std::string& name, const Peer& peer,
                                              double now) const;
  // Takes a later contact over from what the other peers say of the controller.
  void ApplyIndirectContacts(double now, wire::ControllerState& state) const;
  // Adds what the sender of a heartbeat could not reach when it was received `age_s` ago.
  void AddUnreachable(const wire::PeerHeartbeat& heartbeat, double age_s,
                      wire::ControllerState& state) const;

  const std::string node_;
  const std::string zone_;
  const double interval_s_;
  const double agent_heartbeat_s_;
  std::map<std::string, Peer> peers_;
  std::optional<double> state_contact_;
};

}  // namespace mosspath::election
