// A live job as the leader sees it. Pure.
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

// Away: given to another controller, or never given to this one (docs/sharding.md).
enum class TaskPhase : uint8_t { kPending, kPlaced, kDone, kDelegated };

struct Task {
  TaskPhase phase = TaskPhase::kPending;
  bool durable = false;        // its completion is in the state service
  bool start_counted = false;  // its first start, towards the objectives
  bool migrated = false;       // was stopped once to empty a machine
  uint16_t attempts = 0;       // made under the present token
};

struct Job {
  wire::JobSpec spec;
  uint64_t version = 0;     // of its record
  double submitted_at = 0;  // on this node's steady clock
  std::vector<Task> tasks;
  TaskSet pending;
  std::set<uint32_t> done_not_durable;  // done but not durable
  uint32_t done = 0;
  std::map<std::string, uint32_t> placed_by_zone;  // tasks per zone, for one_zone and spread
  std::map<std::string, double> failed_on;         // machine -> when
  double timed_run_s = 0;  // run time of its completed tasks that were timed
  uint32_t timed_tasks = 0;
  uint32_t consecutive_failures = 0;  // since the last success
  // Looks as if it failed on every machine: tried one task at a time, so many times so far.
  bool crash_looping = false;
  uint32_t retries = 0;
  double not_before = 0;
  double last_delegated_at = -1e18;   // as a holder: when the leader last gave tasks of it
  std::optional<size_t> home_shard;   // where its tasks go first
  bool completion_in_flight = false;  // its completion is being written
  // The record says that its tasks may have been started, by this leader or an earlier one; until
  // it does, nothing of a job that is marked at all is started.
  enum class StartMarker : uint8_t {
    kNone,
    kRequested,
    kDurable
  } start_marker = StartMarker::kNone;
  bool inherited_start_marker = false;  // an earlier leader's
  bool best_effort = false;             // nobody has an aim for it: for idle times
  bool can_meet_objective = false;      // it can keep one yet
  bool has_started = false;             // a task of it ran, under this leader or before
  double first_placement_at = -1e18;    // when one was placed ahead of others, so that it begins
  int priority_band = 0;                // its place in the order: the higher first,
  double virtual_deadline = 0;          // then the earlier

  Job(wire::JobSpec s, uint64_t v, double at);
  bool complete() const { return spec.kind != wire::JobKind::kService && done == spec.tasks; }
  uint32_t placed() const { return spec.tasks - done - static_cast<uint32_t>(pending.size()); }
  double mean_run_s() const { return timed_tasks > 0 ? timed_run_s / timed_tasks : 0; }
  // True when the task was not done before.
  bool MarkDone(uint32_t index);
};

// Done tasks are recorded in segments, each as a bit map in hexadecimal digits, the first task in
// the first digit's highest bit; zeros at the end are left out.
inline constexpr uint32_t kTasksPerSegment = 512;
// Under this name the record keeps how often a doubted job has been tried.
std::string CrashLoopRecordName(const std::string& job);
// Under this name it says that the job's tasks may have been started.
std::string StartMarkerRecordName(const std::string& job);
std::string SegmentRecordName(const std::string& job, uint32_t segment);
wire::Json EncodeDoneBitmap(const Job& job, uint32_t segment);
// Marks the tasks that a recorded segment says are done, as durable.
void ApplyDoneBitmap(const wire::Json& bits, uint32_t segment, Job* job);

}  // namespace mosspath::jobs
