// The service-level objectives of the deployment, applied to jobs. No I/O; the time is an argument.
#pragma once

#include <map>
#include <set>
#include <string>

#include "mosspath/config/settings.h"
#include "mosspath/jobs/job.h"

namespace mosspath::scheduler {

// Returns the seconds that a task of the job is expected to run.
double ExpectedRunS(const jobs::Job& job);
// Returns whether a task that has run for `ran_s` seconds started too recently to have saved much
// work in checkpoints. Stopping such a task wastes its start.
bool IsSettling(const jobs::Job& job, double ran_s);

// Finds the objectives that a job can still meet. Immutable; durations are in seconds.
class ServiceLevelObjectives {
 public:
  explicit ServiceLevelObjectives(const config::Settings& settings);

  struct NextObjective {
    bool unattainable = false;    // the job can meet no objective any more
    double within_s = 0;          // time from submission to completion that meets the objective
    bool for_task_start = false;  // the objective limits the starts of the job's tasks
    bool best_effort = false;     // neither the job nor its class has an objective
  };
  // Returns the earliest objective that the job can still meet if its tasks run as long as
  // expected. For an objective for starts, `within_s` is the time limit of the start plus the
  // expected run time. If the job can meet no objective, `within_s` is the time of the
  // job's latest objective.
  NextObjective Next(const jobs::Job& job, double now) const;

 private:
  using ByClass = std::map<std::string, std::set<double>>;
  // Objectives, in seconds from a job's submission.
  ByClass finish_within_s_;   // for the completion of jobs
  ByClass start_within_s_;    // for the starts of tasks
  ByClass deadline_factors_;  // for completion, in multiples of the job's deadline
  const double best_effort_within_s_;
};

}  // namespace mosspath::scheduler
