// The heartbeat that each controller periodically sends to its peers: whether it is the leader, and
// which peers and outside systems it can reach.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "mosspath/admission/admission_plan.h"

namespace mosspath::wire {

inline constexpr double kNeverS = 1e9;  // seconds since an event that has not happened

struct PeerHeartbeat {
  struct PeerContact {
    std::string node;
    double ago_s = 0;  // seconds since the peer's last heartbeat arrived
    friend bool operator==(const PeerContact&, const PeerContact&) = default;
  };

  std::string node;
  bool is_leader = false;
  // Seconds since the key-value store (state_ago_s) and the cloud (cloud_ago_s) last answered this
  // controller; kNeverS if they have not answered yet.
  double state_ago_s = 0;
  double cloud_ago_s = 0;
  // Seconds since this controller, as the leader, last accepted a heartbeat of an agent.
  double workers_ago_s = 0;
  std::vector<PeerContact> peers;
  // Number of tasks that users recently submitted to this controller. The field is sent only to a
  // peer whose own messages prove that the peer can read the field, because a peer of an earlier
  // version would reject the frame.
  std::optional<double> demand = std::nullopt;

  friend bool operator==(const PeerHeartbeat&, const PeerHeartbeat&) = default;
};

inline constexpr size_t kMaxPeerHeartbeatBytes = 8 << 10;

// The state of a controller, as far as its peers can observe it.
struct ControllerState {
  std::string node;
  std::string zone;
  bool is_leader = false;
  // Seconds since any controller last received a heartbeat of this controller.
  double heard_ago_s = kNeverS;
  std::string heard_by;                  // the controller that received that heartbeat
  std::vector<std::string> unreachable;  // peers and outside systems that it can't reach
};

std::string Encode(const PeerHeartbeat& p);
PeerHeartbeat DecodePeerHeartbeat(std::string_view frame);

// The answer to a peer heartbeat. The leader answers with the admission plan
// (admission/admission_plan.h) of the controller that sent the heartbeat. Any other controller
// answers with a plan whose validity is 0 s. A controller of an earlier version answers with an
// empty body.
std::string Encode(const admission::AdmissionPlan& p);
admission::AdmissionPlan DecodeAdmissionPlan(std::string_view frame);

}  // namespace mosspath::wire
