// Jobs, from their submission to their completion or cancellation. Pure.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "mosspath/scheduler/scheduler_state.h"
#include "mosspath/wire/messages.h"

namespace mosspath::scheduler {

// How many tasks of a job are done, and how many are placed.
struct JobCounts {
  uint32_t done = 0;
  uint32_t running = 0;
};

class JobLifecycle {
 public:
  // `state` outlives this object.
  explicit JobLifecycle(SchedulerState& state) : state_(state) {}

  // Adds a job with what is recorded of it, unless it is there already. `version` is that of its
  // record, `submitted` a time of this controller's steady clock.
  void Add(wire::JobSpec spec, uint64_t version, double submitted);
  // Removes a job that is complete or cancelled, and stops what still runs of it.
  void Remove(const std::string& id, double now);
  // Returns zeros if there is no such job.
  JobCounts Counts(const std::string& id) const;
  // Returns the jobs whose tasks are all done, each once until `OnCompletionFailed`.
  std::vector<std::string> TakeCompleted();
  // The write of the job's completion has failed, and is to be tried again.
  void OnCompletionFailed(const std::string& id);

 private:
  void RestoreProgress(jobs::Job& job);
  void StopAllocationsOf(const std::string& job, double now);

  SchedulerState& state_;
};

}  // namespace mosspath::scheduler
