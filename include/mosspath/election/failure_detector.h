// A heartbeat failure detector between controllers: which controllers are up, and which services
// and peers each of them can't reach. Its results are hints for routing and for the status page. No
// safety decision depends on them, since missing heartbeats don't prove a failure. Does no I/O.
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

  // Ignores heartbeats of controllers that are not in the settings.
  void OnHeartbeat(const wire::PeerHeartbeat& heartbeat, double now);
  // Handles a stall: this process did not run between `from` and `now`, so it could receive no
  // heartbeats. The stall is not counted in the time since the last heartbeat of a peer that was
  // not yet suspected at `from`.
  void OnProcessStall(double from, double now);

  // True if the last heartbeat of the peer `node` arrived more than several heartbeat intervals
  // ago. False if no heartbeat of that peer has ever arrived.
  [[nodiscard]] bool IsSuspected(const std::string& node, double now) const;
  // When the key-value store last answered any peer, according to the peers' heartbeats.
  [[nodiscard]] std::optional<double> state_contact() const { return state_contact_; }
  // True if a heartbeat of each peer has arrived before, and all peers are suspected now.
  [[nodiscard]] bool IsIsolated(double now) const;
  // Whether the load balancer should route users to this controller. `state_contact` is when the
  // key-value store last answered this controller. If that was less than `contact_timeout_s` ago,
  // the key-value store is taken to be reachable.
  //
  // If the key-value store is down for all controllers, this controller stays in the load
  // balancer: withdrawing would only move its users to controllers with the same outage. If the
  // key-value store refuses only this controller, this controller withdraws, since the peers can
  // serve the users. An isolated controller that can't reach the key-value store withdraws too:
  // without heartbeats it can't tell whether the key-value store still answers the peers. If the
  // key-value store does, this controller would answer 503 to users that the peers could serve.
  [[nodiscard]] bool ShouldServeUsers(double state_contact, double contact_timeout_s,
                                      double now) const;
  // Seconds since the last heartbeat of each peer; wire::kNeverS if none has arrived.
  [[nodiscard]] std::vector<wire::PeerHeartbeat::PeerContact> PeerContacts(double now) const;
  // The state of all controllers, sorted by name. The state of this controller comes from `own`,
  // its own heartbeat.
  [[nodiscard]] std::vector<wire::ControllerState> ControllerStates(const wire::PeerHeartbeat& own,
                                                                    double now) const;

  // The heartbeat interval in seconds.
  [[nodiscard]] double interval_s() const { return interval_s_; }

 private:
  struct Peer {
    std::string zone;
    std::optional<double> heard_at;
    wire::PeerHeartbeat heartbeat;  // valid once `heard_at` is set
  };

  // Seconds since the last heartbeat of the peer; at most wire::kNeverS.
  [[nodiscard]] static double SilenceOf(const Peer& peer, double now);
  [[nodiscard]] wire::ControllerState StateOf(const std::string& name, const Peer& peer,
                                              double now) const;
  // Updates the last contact with the controller in `state` if the heartbeats of another peer
  // report a later contact with that controller.
  void ApplyIndirectContacts(double now, wire::ControllerState& state) const;
  // Adds to `state` the services and peers that the sender of `heartbeat` could not reach. The
  // heartbeat was received `age_s` seconds ago.
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
