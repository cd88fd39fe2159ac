// What the deployment's objectives ask of a job, and when. Pure.
#pragma once

#include <map>
#include <set>
#include <string>

#include "mosspath/config/settings.h"
#include "mosspath/jobs/job.h"

namespace mosspath::scheduler {

// Seconds that a task of the job is taken to run.
double ExpectedRunS(const jobs::Job& job);
// A start that is stopped soon was none: it has hardly done or saved anything.
bool IsSettling(const jobs::Job& job, double ran);

class ServiceLevelObjectives {
 public:
  explicit ServiceLevelObjectives(const config::Settings& settings);

  struct NextObjective {
    bool unattainable = false;    // none can be kept any more
    double within_s = 0;          // of the submission, when it should be finished to keep the next
    bool for_task_start = false;  // the aim is for the starts of its tasks
    bool best_effort = false;     // nobody has an aim for its class
  };
  // Whether the job can't meet any of its aims any more, and the time within which the next one
  // wants it finished, as far as its tasks run as long as is expected.
  NextObjective Next(const jobs::Job& job, double now) const;

 private:
  using ByClass = std::map<std::string, std::set<double>>;
  ByClass finish_;          // when its jobs should be finished
  ByClass start_;           // when its tasks should be started
  ByClass deadline_times_;  // multiples of the deadline
  const double best_effort_within_s_;
};

}  // namespace mosspath::scheduler
