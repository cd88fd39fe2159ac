// Computes the durations that follow from the settings. Ratios without a comment here are explained
// in docs/design.md.
#include <algorithm>

#include "mosspath/config/settings.h"

namespace mosspath::config {
namespace {

// The maximum age of the leader's view of the jobs, which the leader reads from the key-value
// store. Expressed as a share of (cancel_within_s - agent_lease_over_s).
constexpr double kViewShare = 0.9;
// Margin for message delays, as a ratio. It applies to durations that two processes measure, each
// by its own clock.
constexpr double kMarginRatio = 0.02;
// An agent's heartbeat times out after kAgentTimeoutS. The agent tries the next controller
// kAgentRetryS later.
constexpr double kAgentTimeoutS = 4.0;
constexpr double kAgentRetryS = 1.0;
// The longest interval between two heartbeats of an agent, as a ratio to heartbeat_s.
constexpr double kHeartbeatJitter = 1.25;

}  // namespace

DerivedSettings::DerivedSettings(const Settings& s) {
  // The store lease of a failed leader ends well before the agents' leases do, so that the tasks
  // still run when the next leader takes over. The store lease is also short because no task starts
  // between the leader's failure and the takeover.
  store_lease_s = s.agent_lease_s / 8;
  store_lease_renew_s = store_lease_s / 6;
  renew_timeout_s = store_lease_s / 3;
  promise_s = s.agent_lease_s / 24;
  lapse_margin_s = store_lease_s * (4 * kMaxClockDrift) + kMarginRatio * store_lease_s;
  agent_lease_over_s = s.agent_lease_s * (1 + 4 * kMaxClockDrift) + kMarginRatio * s.agent_lease_s;
  probe_answer_s = s.heartbeat_s / 4;
  // After a failover, an agent reaches the new leader within one heartbeat interval, and within 2 s
  // more if the agent must first find the new leader.
  agents_find_leader_s = kHeartbeatJitter * s.heartbeat_s + 2.0;
  agent_suspect_s = 2 * s.heartbeat_s + kAgentTimeoutS;
  agents_try_all_s =
      s.controller_count * (kAgentTimeoutS + kAgentRetryS) + kHeartbeatJitter * s.heartbeat_s;
  // The leader acts on a cancellation confirmed at T by T + max_view_age_s at the latest. Otherwise
  // the leader answers no agent after T + max_view_age_s. All agents' leases then expire, and all
  // tasks end, by T + max_view_age_s + agent_lease_over_s, which is before T + cancel_within_s.
  max_view_age_s = std::max(kViewShare * (s.cancel_within_s - agent_lease_over_s), s.heartbeat_s);
  // The holder measures max_view_age_s by its own clock and the leader measures shard_hold_s by
  // another, so shard_hold_s includes the drift between the two clocks.
  shard_hold_s = max_view_age_s * (1 + 2 * kMaxClockDrift);
  record_flush_s = std::max(0.25, 6.0 / s.store_writes_per_s);
  placement_interval_s = s.heartbeat_s / 40;
  scaling_interval_s = 1 / s.cloud_requests_per_s;
  catch_up_interval_s = std::max(0.05, 3.0 * s.controller_count / s.store_requests_per_s);
  // The age of a view is the time since the last answered watch request was sent. That request may
  // have been open for watch_s, and the next request may be open for watch_s too. So the age may
  // reach twice watch_s before the next answer. A leader resigns at half of max_view_age_s, which
  // is well above twice watch_s.
  watch_s = std::min(std::max(2.0, s.agent_lease_s / 4), std::max(0.5, max_view_age_s / 6));
  call_timeout_s = std::min(2.0, s.agent_lease_s / 12);
  cloud_timeout_s = std::max(5.0, 2 * s.heartbeat_s);
  machine_list_interval_s = std::max(s.machine_list_lag_s, 10.0 / s.cloud_requests_per_s);
  user_deadline_s = 2.0;
}

}  // namespace mosspath::config
