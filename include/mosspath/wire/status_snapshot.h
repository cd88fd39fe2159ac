// What the leader tells the other controllers, for display only: counts of jobs, the fleet, queues,
// progress towards the objectives and recent troubles. Nothing is decided on it.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "mosspath/wire/json.h"
#include "mosspath/wire/peer_heartbeat.h"

namespace mosspath::wire {

struct StatusSnapshot {
  struct Job {
    std::string id;
    uint32_t done = 0;
    uint32_t running = 0;
    friend bool operator==(const Job&, const Job&) = default;
  };
  struct Queue {
    std::string job_class;
    uint64_t jobs = 0;
    uint64_t waiting = 0;  // tasks
    uint64_t running = 0;
    // Since this leader began; kNever if none has.
    double started_ago_s = kNeverS;
    double finished_ago_s = kNeverS;
    double oldest_s = 0;         // how long the oldest job with waiting tasks has been here
    std::string waiting_reason;  // most of what waits does so for this
    friend bool operator==(const Queue&, const Queue&) = default;
  };
  struct Machines {  // of one type, zone and kind
    std::string type;
    std::string zone;
    bool spot = false;
    uint64_t up = 0;
    uint64_t draining = 0;
    uint64_t booting = 0;
    double cpus = 0;
    double used_cpus = 0;
    friend bool operator==(const Machines&, const Machines&) = default;
  };
  struct Progress {  // towards one objective, since the leader took over
    std::string kind;
    std::string job_class;
    double within_s = 0;
    double times = 0;
    double share = 0;
    uint64_t met = 0;
    uint64_t of = 0;
    friend bool operator==(const Progress&, const Progress&) = default;
  };
  struct Incident {
    double ago_s = 0;
    std::string description;
    friend bool operator==(const Incident&, const Incident&) = default;
  };

  std::string leader;
  uint64_t token = 0;
  bool recovery_complete = false;
  double leader_for_s = 0;
  std::vector<Job> jobs;
  std::vector<Queue> queues;
  std::vector<Queue> teams;  // the same by team
  std::vector<Machines> machines;
  std::vector<Progress> progress;
  std::vector<Incident> incidents;

  friend bool operator==(const StatusSnapshot&, const StatusSnapshot&) = default;
};

inline constexpr size_t kMaxStatusSnapshotBytes = 60 << 10;

// Jobs beyond what fits are left out.
std::string Encode(const StatusSnapshot& d);
StatusSnapshot DecodeStatusSnapshot(std::string_view frame);
// One party's sockets of the controller that tells.
struct SocketUsage {
  std::string connection_class;
  uint64_t used = 0;
  uint64_t limit = 0;
  uint64_t refused = 0;              // since the process began: there was none
  uint64_t closed_after_answer = 0;  // and: answered, and told not to stay
};

// What the controller that tells accepts (docs/admission.md).
struct AdmissionUsage {
  struct Group {
    std::string team;
    std::string job_class;
    uint64_t requested = 0;  // jobs, since the process began
    uint64_t refused = 0;    // of them, as there was no room
  };
  double budget = 0;     // tasks of live jobs
  double live = 0;       // as its view shows
  double in_flight = 0;  // accepted here, not in the view yet
  double share = 0;      // of the free room, that it may fill before it sees what others did
  uint64_t plan_token = 0;
  uint64_t plan_version = 0;
  std::vector<Group> groups;
};

// For people and programs; without the jobs.
struct Status {
  StatusSnapshot snapshot;
  double snapshot_age_s = 0;  // of the digest
  std::string served_by;
  std::vector<ControllerState> controllers;
  std::vector<SocketUsage> sockets;
  AdmissionUsage admission;
};
Json StatusJson(const Status& s);
std::string StatusPage(const Status& s);

}  // namespace mosspath::wire
