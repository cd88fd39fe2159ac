// The settings file that the platform hands over, checked, and the figures derived from it.
#pragma once

#include <cstdint>
#include <stdexcept>
#include <string>
#include <vector>

namespace mosspath::config {

struct Peer {
  std::string node;
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
  std::string node;
  std::string zone;
  std::string public_address;
  std::string peer_address;
  std::vector<Peer> peers;
  std::string cloud_address;
  std::string state_address;

  int nodes = 1;
  std::vector<std::string> zones;
  double clock_error_ms = 0;
  std::vector<Team> teams;
  std::vector<Objective> objectives;

  double report_s = 0;
  double lease_s = 0;
  double cancel_s = 0;

  double state_rps = 0;
  double state_write_rps = 0;
  double value_kb = 0;
  int txn_ops = 0;

  double cloud_rps = 0;
  double list_lag_s = 0;

  double cpu_share = 1;
  double memory_mb = 0;
  int max_connections = 0;

  // Turned on by whoever starts the program, not by the platform's file (docs/blocks.md).
  bool lease_blocks = false;
};

// One clear line that names the offending key.
struct BadSettings : std::runtime_error {
  using std::runtime_error::runtime_error;
};

Settings Load(const std::string& path);
Settings Parse(const std::string& toml_text);

// Clocks of two machines drift apart by up to this ratio.
inline constexpr double kDrift = 0.0005;

// Durations that the duties use, as ratios to the settings.
struct Derived {
  explicit Derived(const Settings& s);

  double grant_s;          // life of a controller's grant
  double renew_s;          // how often the grant is renewed
  double renew_timeout_s;  // of a renewal, so that several are tried in a grant's life
  double promise_s;        // a peer's promise not to lead lasts this long
  double lapse_margin_s;   // taken off the grant's life by its holder
  double gone_s;           // a machine unanswered for this long has dropped its tasks
  double ask_s;            // a successor waits this long for a machine's answer
  double find_s;           // workers have found a new leader within this, mostly
  double search_s;         // a worker has tried all nodes within this
  double view_s;           // the leader acts on no older view of the jobs than this
  double hold_s;           // the holder of a block may act for so long after its lease ended
  double silent_s;         // a machine unheard of for this long is suspect
  double flush_s;          // interval of the leader's batched writes
  double place_gap_s;      // least time between two passes over the waiting jobs
  double plan_gap_s;       // least time between two plans of the fleet
  double read_gap_s;       // least time between two catch-up reads
  double watch_s;          // how long a watch stays open
  double call_timeout_s;   // of a request to the state service
  double cloud_timeout_s;  // of a request to the cloud
  double list_s;           // interval of machine lists
  double user_deadline_s;  // a user's request is answered within this
};

}  // namespace mosspath::config
