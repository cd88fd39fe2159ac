// What the deployment's objectives ask of a job, and when. Pure.
#pragma once

#include <map>
#include <set>
#include <string>

#include "mosspath/config/settings.h"
#include "mosspath/jobs/job.h"

namespace mosspath::scheduler {

// Seconds that a task of the job is taken to run.
double ExpectedRun(const jobs::Job& job);
// A start that is stopped soon was none: it has hardly done or saved anything.
bool Settling(const jobs::Job& job, double ran);

class Aims {
 public:
  explicit Aims(const config::Settings& settings);

  struct Aim {
    bool hopeless = false;  // none can be kept any more
    double within = 0;      // of the submission, when it should be finished to keep the next
    bool start = false;     // the aim is for the starts of its tasks
    bool none = false;      // nobody has an aim for its class
  };
  // Whether the job can't meet any of its aims any more, and the time within which the next one
  // wants it finished, as far as its tasks run as long as is expected.
  Aim Next(const jobs::Job& job, double now) const;

 private:
  using ByClass = std::map<std::string, std::set<double>>;
  ByClass finish_;          // when its jobs should be finished
  ByClass start_;           // when its tasks should be started
  ByClass deadline_times_;  // multiples of the deadline
  const double no_aim_s_;
};

}  // namespace mosspath::scheduler
