// The validated contents of the settings file that the platform provides, and the durations derived
// from them.
#pragma once

#include <cstdint>
#include <stdexcept>
#include <string>
#include <vector>

namespace mosspath::config {

struct Peer {
  std::string name;
  std::string zone;
  std::string address;
};

// Quotas of a team.
struct Team {
  std::string name;
  double cpus = 0;  // guaranteed CPUs
  double cpus_max = 0;
  double gpus = 0;
  double gpus_max = 0;
};

struct Objective {
  // "wait" (until a task starts), "finished" or "deadline". Objectives of other kinds are ignored.
  std::string kind;
  std::string job_class;
  double within_s = 0;  // for "wait" and "finished": the target time since submission
  // The share of the class's task starts ("wait") or finished jobs ("finished", "deadline") that
  // should meet the target.
  double share = 0;
  double times = 1;  // for "deadline": the target time, as a multiple of the job's deadline
};

struct Settings {
  std::string name;
  std::string zone;
  std::string public_address;
  std::string peer_address;
  std::vector<Peer> peers;
  std::string cloud_address;
  std::string store_address;

  int controller_count = 1;
  std::vector<std::string> zones;
  double clock_error_ms = 0;
  std::vector<Team> teams;
  std::vector<Objective> objectives;

  double heartbeat_s = 0;
  double agent_lease_s = 0;
  double cancel_within_s = 0;

  double store_requests_per_s = 0;
  double store_writes_per_s = 0;
  double store_value_kb = 0;
  int store_transaction_changes = 0;

  double cloud_requests_per_s = 0;
  double machine_list_lag_s = 0;

  double cpu_share = 1;
  double memory_mb = 0;
  int max_connections = 0;

  // Whether this controller takes part in leasing shards. Set by the command line, not by the
  // settings file (docs/sharding.md).
  bool lease_shards = false;
};

// The message is one line that names the invalid key.
struct SettingsError : std::runtime_error {
  using std::runtime_error::runtime_error;
};

// Load and Parse throw SettingsError on the first key that is missing or invalid. Unknown keys are
// ignored.
Settings Load(const std::string& path);
Settings Parse(const std::string& toml_text);

// Upper bound on the drift between the clocks of two machines, as a ratio.
inline constexpr double kMaxClockDrift = 0.0005;

// Durations in seconds that follow from the settings. A controller's view of the jobs is what the
// controller has read of the key-value store. The view's age bounds what the view may lack: a view
// of age T contains everything that was confirmed to users more than T ago.
struct DerivedSettings {
  explicit DerivedSettings(const Settings& s);

  double store_lease_s;         // duration of a controller's store lease
  double store_lease_renew_s;   // interval of renewals of the store lease
  double renew_timeout_s;       // timeout of one renewal; several renewals fit into the lease
  double promise_s;             // duration of a peer's promise not to lead
  double lapse_margin_s;        // a controller stops using its store lease this long before its end
  double agent_lease_over_s;    // an agent that got no answer for this long has stopped its tasks
  double probe_answer_s;        // timeout of a new leader's probe of an agent
  double agents_find_leader_s;  // time from a failover until nearly all agents reach the new leader
  double agents_try_all_s;      // an agent without an answer tries all controllers in this time
  double max_view_age_s;        // maximum age of a view on which a leader or holder acts
  double shard_hold_s;     // a holder may command machines this long after its shard lease ended
  double agent_suspect_s;  // an agent without contact for this long is presumed unreachable
  double record_flush_s;   // interval of the leader's batched writes
  double placement_interval_s;     // minimum time between two passes over the waiting jobs
  double scaling_interval_s;       // minimum time between two scaling plans
  double catch_up_interval_s;      // minimum time between two catch-up reads
  double watch_s;                  // maximum time for which a watch request stays open
  double call_timeout_s;           // timeout of a request to the key-value store
  double cloud_timeout_s;          // timeout of a request to the cloud
  double machine_list_interval_s;  // interval of machine list requests to the cloud
  double user_deadline_s;          // a user's request is answered within this time
};

}  // namespace mosspath::config
