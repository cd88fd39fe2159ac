// The status snapshot that the leader sends to the other controllers: counts of jobs, the machines,
// the queues, progress towards the objectives and recent incidents. For display only: no controller
// bases a decision on a snapshot.
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
    uint64_t waiting = 0;  // number of tasks
    uint64_t running = 0;  // number of tasks
    // Seconds since a task of the queue last started (started_ago_s) and since a job of the queue
    // last finished (finished_ago_s) in this leader's term; kNeverS if that has not happened.
    double started_ago_s = kNeverS;
    double finished_ago_s = kNeverS;
    double oldest_s = 0;         // age of the oldest job with waiting tasks
    std::string waiting_reason;  // the reason for which most of the waiting tasks wait
    friend bool operator==(const Queue&, const Queue&) = default;
  };
  struct Machines {  // the machines of one type and zone, either spot or on-demand
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
  struct Progress {  // towards one objective, since the leader's term began
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
  std::vector<Queue> teams;  // one queue for each team; job_class holds the team's name
  std::vector<Machines> machines;
  std::vector<Progress> progress;
  std::vector<Incident> incidents;

  friend bool operator==(const StatusSnapshot&, const StatusSnapshot&) = default;
};

inline constexpr size_t kMaxStatusSnapshotBytes = 60 << 10;

// Encodes the snapshot without the jobs that do not fit into kMaxStatusSnapshotBytes.
std::string Encode(const StatusSnapshot& d);
StatusSnapshot DecodeStatusSnapshot(std::string_view frame);
// Returns whether the snapshot was made after `other`, by the same leader or by a later one. Late
// copies of snapshots arrive too.
bool IsNewer(const StatusSnapshot& snapshot, const StatusSnapshot& other);
// The sockets of the controller that serves the status, for one class of connections.
struct SocketUsage {
  std::string connection_class;
  uint64_t used = 0;
  uint64_t limit = 0;
  uint64_t refused = 0;  // connections refused at the limit since the process started
  // Connections that the server closed after a response, since the process started, because too
  // many connections of the class were open.
  uint64_t closed_after_answer = 0;
};

// Admission at the controller that serves the status (docs/admission.md).
struct AdmissionUsage {
  struct Group {
    std::string team;
    std::string job_class;
    uint64_t requested = 0;  // jobs submitted since the process started
    uint64_t refused = 0;    // the number of these jobs that a limit of admission refused
  };
  // The controller's view is what the controller has read of the key-value store.
  double budget = 0;     // the maximum number of tasks of all live jobs together
  double live = 0;       // number of tasks of the live jobs in the controller's view
  double in_flight = 0;  // number of tasks that this controller accepted and has not read back yet
  // The part of the free budget, from 0 to 1, that this controller may fill before the jobs that
  // the other controllers accepted appear in its view.
  double share = 0;
  uint64_t plan_token = 0;
  uint64_t plan_version = 0;
  std::vector<Group> groups;
};

// The content of the status page and of status.json. Neither includes the snapshot's list of jobs.
struct Status {
  StatusSnapshot snapshot;
  double snapshot_age_s = 0;  // kNeverS if no snapshot has arrived
  std::string served_by;
  std::vector<ControllerState> controllers;
  std::vector<SocketUsage> sockets;
  AdmissionUsage admission;
};
Json StatusJson(const Status& s);
std::string StatusPage(const Status& s);

}  // namespace mosspath::wire
