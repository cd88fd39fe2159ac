// What each controller tells the others of itself, every other moment: that it is there, and whom
// and what it can reach.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "mosspath/admission/admission_plan.h"

namespace mosspath::wire {

inline constexpr double kNeverS = 1e9;  // ago

struct PeerHeartbeat {
  struct PeerContact {
    std::string node;
    double ago_s = 0;
    friend bool operator==(const PeerContact&, const PeerContact&) = default;
  };

  std::string node;
  bool is_leader = false;
  // Since it was last answered; kNever if it hasn't been.
  double state_ago_s = 0;
  double cloud_ago_s = 0;
  double workers_ago_s = 0;  // since the last report that it took as the leader
  std::vector<PeerContact> peers;
  // Tasks that users lately asked it to accept. Told only to who has shown that it reads that.
  std::optional<double> demand = std::nullopt;

  friend bool operator==(const PeerHeartbeat&, const PeerHeartbeat&) = default;
};

inline constexpr size_t kMaxPeerHeartbeatBytes = 8 << 10;

// A controller as the others know it.
struct ControllerState {
  std::string node;
  std::string zone;
  bool is_leader = false;
  double heard_ago_s = kNeverS;  // by whoever heard it last
  std::string heard_by;
  std::vector<std::string> unreachable;
};

std::string Encode(const PeerHeartbeat& p);
PeerHeartbeat DecodePeerHeartbeat(std::string_view frame);

// What a presence is answered with: the plan of what may be accepted (admission/admission_plan.h),
// from who leads; of others a plan without life. A version that does not know it answers with
// nothing.
std::string Encode(const admission::AdmissionPlan& p);
admission::AdmissionPlan DecodeAdmissionPlan(std::string_view frame);

}  // namespace mosspath::wire
