// Builders of test values: settings, machine types, job specifications, heartbeats, task statuses
// and status snapshots. A builder leaves most fields at their defaults, so that a test itself sets
// the values that affect its outcome.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "mosspath/config/settings.h"
#include "mosspath/wire/messages.h"
#include "mosspath/wire/status_snapshot.h"

namespace mosspath::test {

// Limits of one batch of records: the number of packs, and the total size of their values.
inline constexpr size_t kMaxBatchPacks = 100;
inline constexpr size_t kMaxBatchBytes = 48u << 10;

// Sets the limits of the key-value store and the cloud to values for a small cluster: request
// rates, record sizes, and the delay after which the cloud lists a new machine.
inline void SetServiceLimits(config::Settings& settings) {
  settings.store_requests_per_s = 100;
  settings.store_writes_per_s = 25;
  settings.store_value_kb = 8;
  settings.store_transaction_changes = 8;
  settings.cloud_requests_per_s = 5;
  settings.machine_list_lag_s = 3;
}

// Returns the settings of a cluster of three controllers and two zones. The teams "t" and "guest"
// have no limits. The single objective is that jobs of the class "aimed" start within 900 s.
inline config::Settings SchedulerSettings() {
  config::Settings settings;
  settings.controller_count = 3;
  settings.zones = {"a", "b"};
  settings.teams = {{"t", 0, 0, 0, 0}, {"guest", 0, 0, 0, 0}};
  settings.objectives = {{"wait", "aimed", 900, 0.9, 1}};
  settings.heartbeat_s = 2;
  settings.agent_lease_s = 20;
  settings.cancel_within_s = 40;
  SetServiceLimits(settings);
  return settings;
}

// Returns the machine type "box", without price, boot time or zones.
inline wire::MachineType BoxType(double cpus, double memory_gb) {
  wire::MachineType type;
  type.name = "box";
  type.cpus = cpus;
  type.memory_gb = memory_gb;
  type.cache_gb = 10;
  type.fetch_gb_per_s = 1;
  return type;
}

// Returns a job of `tasks` tasks that require `cpus` CPUs each, without an image.
inline wire::JobSpec MakeJobSpec(const std::string& id, const std::string& team, uint32_t tasks,
                                 double cpus = 1) {
  wire::JobSpec spec;
  spec.id = id;
  spec.team = team;
  spec.tasks = tasks;
  spec.cpus = cpus;
  return spec;
}

// Returns a heartbeat of a machine of the type "box", without tasks, address or zone.
inline wire::Heartbeat MakeHeartbeat(const std::string& machine, uint64_t agent_epoch,
                                     uint64_t sequence, uint64_t fencing_token) {
  wire::Heartbeat heartbeat;
  heartbeat.machine = machine;
  heartbeat.type = "box";
  heartbeat.agent_epoch = agent_epoch;
  heartbeat.sequence = sequence;
  heartbeat.fencing_token = fencing_token;
  return heartbeat;
}

// Returns the status of a running attempt.
inline wire::TaskStatus Running(const wire::TaskId& task, uint64_t attempt) {
  return {task, attempt, wire::TaskState::kRunning, wire::ExitReason::kNone, false};
}
// Returns the status of the attempt that the command `start` started, as a running attempt.
inline wire::TaskStatus Running(const wire::Command& start) {
  return Running(start.task, start.attempt);
}
// Returns the status of the attempt that the command `start` started, as an attempt that exited for
// `reason`.
inline wire::TaskStatus Exited(const wire::Command& start, wire::ExitReason reason) {
  return {start.task, start.attempt, wire::TaskState::kExited, reason, false};
}
// Marks the attempt as exited for `reason`.
inline void MarkExited(wire::TaskStatus& status, wire::ExitReason reason) {
  status.state = wire::TaskState::kExited;
  status.exit_reason = reason;
}

// Returns a status snapshot with one or two entries in each of its lists.
inline wire::StatusSnapshot SampleStatusSnapshot() {
  wire::StatusSnapshot snapshot;
  snapshot.leader = "hut-1";
  snapshot.token = 1234567890123;
  snapshot.recovery_complete = true;
  snapshot.leader_for_s = 12.5;
  snapshot.queues = {{"tally", 3, 40, 12, 1.5, wire::kNeverS, 60.25, "all machines are in use"}};
  snapshot.teams = {{"desk", 3, 40, 12, 1.5, 2, 60.25, "the team's limit"}};
  snapshot.machines = {{"box", "a", true, 5, 1, 2, 160, 120.5}};
  snapshot.progress = {{"finished", "tally", 200, 1, 0.92, 11, 12},
                       {"deadline", "x", 0, 1.5, 0.9, 0, 0}};
  snapshot.incidents = {{3.25, "machine vm-1 was lost"}};
  snapshot.jobs = {{"req-000001", 3, 4}, {"req-000002", 0, 1}};
  return snapshot;
}

}  // namespace mosspath::test
