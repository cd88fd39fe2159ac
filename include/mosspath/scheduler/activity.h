// What people are shown of a leadership: progress towards the objectives, when work of a class or a
// team last moved, recent troubles. Nothing is decided on it. Pure.
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "mosspath/config/settings.h"
#include "mosspath/jobs/job.h"
#include "mosspath/wire/digest.h"

namespace mosspath::scheduler {

class Activity {
 public:
  explicit Activity(const config::Settings& settings);

  void Trouble(double now, std::string what);
  // A task runs; its first start counts.
  void Started(jobs::Job& job, uint32_t index, double now);
  // The job's completion is durable.
  void Finished(const jobs::Job& job, double now);

  struct Times {
    double started = -1e18;   // a task
    double finished = -1e18;  // a job
  };
  const std::map<std::string, Times>& classes() const { return classes_; }
  const std::map<std::string, Times>& teams() const { return teams_; }
  // Progress and troubles.
  void Tell(double now, wire::Digest& d) const;
  // True now and then: a line with the load is due.
  bool LogDue(double now);

 private:
  void Note(const jobs::Job& job, double Times::*what, double now);

  const std::vector<config::Objective> objectives_;
  const double log_every_s_;
  std::vector<std::pair<uint64_t, uint64_t>> counts_;  // met, of; as in the settings
  std::map<std::string, Times> classes_;
  std::map<std::string, Times> teams_;
  std::deque<std::pair<double, std::string>> troubles_;
  double next_log_ = -1e18;
};

}  // namespace mosspath::scheduler
