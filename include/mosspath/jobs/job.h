// A job that has not ended, and the progress of its tasks, as the leader or a holder keeps them.
// Does no I/O.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "mosspath/jobs/task_set.h"
#include "mosspath/wire/json.h"
#include "mosspath/wire/messages.h"

namespace mosspath::jobs {

// kDelegated: another controller has the task, or the leader has not delegated the task to this
// holder (docs/sharding.md).
enum class TaskPhase : uint8_t { kPending, kPlaced, kDone, kDelegated };

struct Task {
  TaskPhase phase = TaskPhase::kPending;
  bool durable = false;        // the task's completion is in the key-value store
  bool start_counted = false;  // the objectives have counted the task's first start
  bool migrated = false;       // the task was stopped once to drain a machine
  uint16_t attempts = 0;       // number of attempts under the current token
};

struct Job {
  wire::JobSpec spec;
  uint64_t version = 0;     // the store revision of the job's acceptance
  double submitted_at = 0;  // in seconds on this controller's steady clock
  std::vector<Task> tasks;
  TaskSet pending;
  std::set<uint32_t> done_not_durable;
  uint32_t done = 0;
  std::map<std::string, uint32_t> placed_by_zone;  // placed tasks per zone, for zone constraints
  std::map<std::string, double> failed_on;         // time of the last failure, by machine
  double timed_run_s = 0;                          // total run time of the job's timed tasks
  uint32_t timed_tasks = 0;
  uint32_t consecutive_failures = 0;  // failures since the last success
  // If true, the job's tasks seem to fail on every machine, so one task, or a whole gang, is tried
  // at a time. `retries` counts these tries.
  bool crash_looping = false;
  uint32_t retries = 0;
  double not_before = 0;              // no task is placed before this time
  double last_delegated_at = -1e18;   // on a holder: when the leader last delegated its tasks
  std::optional<size_t> home_shard;   // the shard whose machines the job's tasks prefer
  bool completion_in_flight = false;  // the job's completion is being written
  // The start marker is a record that tasks of the job may have been started, by this leader or an
  // earlier one. A job that needs a marker starts no task before the marker is durable.
  enum class StartMarker : uint8_t {
    kNone,
    kRequested,
    kDurable
  } start_marker = StartMarker::kNone;
  bool inherited_start_marker = false;  // an earlier leader wrote the start marker
  bool best_effort = false;         // low priority without an objective; runs only on idle capacity
  bool can_meet_objective = false;  // the job has an objective that can still be met
  bool has_started = false;         // a task has run, under this leader or an earlier one
  // When the job's first tasks were placed ahead of other jobs because the job was overdue.
  double first_placement_at = -1e18;
  // The scheduling order: higher bands first, then earlier virtual deadlines.
  int priority_band = 0;
  double virtual_deadline = 0;

  Job(wire::JobSpec job_spec, uint64_t acceptance_version, double submission_time);
  bool complete() const { return spec.kind != wire::JobKind::kService && done == spec.tasks; }
  uint32_t placed() const { return spec.tasks - done - static_cast<uint32_t>(pending.size()); }
  double mean_run_s() const { return timed_tasks > 0 ? timed_run_s / timed_tasks : 0; }
  // Marks the task done. Returns true if the task was not done before.
  bool MarkDone(uint32_t index);
};

// Done tasks are recorded in segments. Each segment is a bitmap in hexadecimal digits, with the
// first task in the highest bit of the first digit, and without trailing zeros.
inline constexpr uint32_t kTasksPerSegment = 512;
// The name under which the number of retries of a crash-looping job is recorded.
std::string CrashLoopRecordName(const std::string& job);
// The name under which the start marker of a job is recorded.
std::string StartMarkerRecordName(const std::string& job);
std::string SegmentRecordName(const std::string& job, uint32_t segment);
wire::Json EncodeDoneBitmap(const Job& job, uint32_t segment);
// Marks the tasks in the bitmap of a recorded segment as done and durable. Stops at the first
// malformed digit.
void ApplyDoneBitmap(const wire::Json& bits, uint32_t segment, Job* job);

}  // namespace mosspath::jobs
