// The durations that follow from the settings. Ratios whose reasons are in docs/design.md are kept
// where they are used.
#include <algorithm>

#include "mosspath/config/settings.h"

namespace mosspath::config {
namespace {

// Of the time that a cancellation has beyond an agent's lease: how old the leader's view may be.
constexpr double kViewShare = 0.9;
// Added to durations that two clocks measure, for the time that messages take.
constexpr double kMarginRatio = 0.02;
// An agent gives up on an answer after the first, and tries the next controller after the second.
constexpr double kAgentTimeoutS = 4.0;
constexpr double kAgentRetryS = 1.0;
// An agent's heartbeats come at intervals of up to this ratio of the setting.
constexpr double kHeartbeatJitter = 1.25;

}  // namespace

DerivedSettings::DerivedSettings(const Settings& s) {
  // The store lease ends well before the agents' leases do, so that a successor finds them working;
  // and soon, since nothing starts meanwhile.
  store_lease_s = s.agent_lease_s / 8;
  store_lease_renew_s = store_lease_s / 6;
  renew_timeout_s = store_lease_s / 3;
  promise_s = s.agent_lease_s / 24;
  lapse_margin_s = store_lease_s * (4 * kMaxClockDrift) + kMarginRatio * store_lease_s;
  agent_lease_over_s = s.agent_lease_s * (1 + 4 * kMaxClockDrift) + kMarginRatio * s.agent_lease_s;
  probe_answer_s = s.heartbeat_s / 4;
  // After a failover: a heartbeat, and as much again for those that have to find the new leader.
  agents_find_leader_s = kHeartbeatJitter * s.heartbeat_s + 2.0;
  agent_suspect_s = 2 * s.heartbeat_s + kAgentTimeoutS;
  agents_try_all_s =
      s.controller_count * (kAgentTimeoutS + kAgentRetryS) + kHeartbeatJitter * s.heartbeat_s;
  // A cancellation that is confirmed at T is acted on at T + max_view_age_s at the latest, or no
  // agent is answered from then on, and their leases end what they run by
  // T + max_view_age_s + agent_lease_over_s, which is before T + cancel_within_s.
  max_view_age_s = std::max(kViewShare * (s.cancel_within_s - agent_lease_over_s), s.heartbeat_s);
  // The holder measures max_view_age_s by its own clock.
  shard_hold_s = max_view_age_s * (1 + 2 * kMaxClockDrift);
  record_flush_s = std::max(0.25, 6.0 / s.store_writes_per_s);
  placement_interval_s = s.heartbeat_s / 40;
  scaling_interval_s = 1 / s.cloud_requests_per_s;
  catch_up_interval_s = std::max(0.05, 3.0 * s.controller_count / s.store_requests_per_s);
  // A view is as old as the last watch that returned was when it was sent, so its age grows to two
  // waits before the next returns: well below the half of max_view_age_s at which a leader resigns.
  watch_s = std::min(std::max(2.0, s.agent_lease_s / 4), std::max(0.5, max_view_age_s / 6));
  call_timeout_s = std::min(2.0, s.agent_lease_s / 12);
  cloud_timeout_s = std::max(5.0, 2 * s.heartbeat_s);
  machine_list_interval_s = std::max(s.machine_list_lag_s, 10.0 / s.cloud_requests_per_s);
  user_deadline_s = 2.0;
}

}  // namespace mosspath::config
