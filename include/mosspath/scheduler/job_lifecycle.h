// Manages jobs from their submission to their completion or cancellation. No I/O.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "mosspath/scheduler/scheduler_state.h"
#include "mosspath/wire/messages.h"

namespace mosspath::scheduler {

// Numbers of tasks of a job.
struct JobCounts {
  uint32_t done = 0;
  uint32_t running = 0;  // placed on a machine, or delegated to another controller
};

class JobLifecycle {
 public:
  // `state` outlives this object.
  explicit JobLifecycle(SchedulerState& state) : state_(state) {}

  // Adds a job and restores its recorded progress, unless the job exists already. `version` is the
  // version of the job's record. `submitted` is the time of submission in seconds on this
  // controller's steady clock.
  void Add(wire::JobSpec spec, uint64_t version, double submitted);
  // Removes a job that is complete or cancelled, and stops its tasks that still run.
  void Remove(const std::string& id, double now);
  // Returns zeros if the job does not exist.
  JobCounts Counts(const std::string& id) const;
  // Returns the ids of the jobs whose tasks are all done. Each job is returned once, and once more
  // after each `OnCompletionFailed`.
  std::vector<std::string> TakeCompleted();
  // Called when the write of the job's completion has failed. TakeCompleted then returns the job
  // again.
  void OnCompletionFailed(const std::string& id);

 private:
  void RestoreProgress(jobs::Job& job);
  void StopAllocationsOf(const std::string& job, double now);

  SchedulerState& state_;
};

}  // namespace mosspath::scheduler
