// The settings file that the platform hands over, checked, and the figures derived from it.
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

struct Team {
  std::string name;
  double cpus = 0;  // guaranteed
  double cpus_max = 0;
  double gpus = 0;
  double gpus_max = 0;
};

struct Objective {
  std::string kind;
  std::string job_class;
  double within_s = 0;
  double share = 0;
  double times = 1;
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

  // Turned on by whoever starts the program, not by the platform's file (docs/sharding.md).
  bool lease_shards = false;
};

// One clear line that names the offending key.
struct SettingsError : std::runtime_error {
  using std::runtime_error::runtime_error;
};

Settings Load(const std::string& path);
Settings Parse(const std::string& toml_text);

// Clocks of two machines drift apart by up to this ratio.
inline constexpr double kMaxClockDrift = 0.0005;

// Durations that the duties use, as ratios to the settings.
struct DerivedSettings {
  explicit DerivedSettings(const Settings& s);

  double store_lease_s;         // life of a controller's grant
  double store_lease_renew_s;   // how often the grant is renewed
  double renew_timeout_s;       // of a renewal, so that several are tried in a grant's life
  double promise_s;             // a peer's promise not to lead lasts this long
  double lapse_margin_s;        // taken off the grant's life by its holder
  double agent_lease_over_s;    // a machine unanswered for this long has dropped its tasks
  double probe_answer_s;        // a successor waits this long for a machine's answer
  double agents_find_leader_s;  // workers have found a new leader within this, mostly
  double agents_try_all_s;      // a worker has tried all nodes within this
  double max_view_age_s;        // the leader acts on no older view of the jobs than this
  double shard_hold_s;          // the holder of a block may act for so long after its lease ended
  double agent_suspect_s;       // a machine unheard of for this long is suspect
  double record_flush_s;        // interval of the leader's batched writes
  double placement_interval_s;  // least time between two passes over the waiting jobs
  double scaling_interval_s;    // least time between two plans of the fleet
  double catch_up_interval_s;   // least time between two catch-up reads
  double watch_s;               // how long a watch stays open
  double call_timeout_s;        // of a request to the state service
  double cloud_timeout_s;       // of a request to the cloud
  double machine_list_interval_s;  // interval of machine lists
  double user_deadline_s;          // a user's request is answered within this
};

}  // namespace mosspath::config
