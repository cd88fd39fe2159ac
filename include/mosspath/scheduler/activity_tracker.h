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
#include "mosspath/wire/status_snapshot.h"

namespace mosspath::scheduler {

class ActivityTracker {
 public:
  explicit ActivityTracker(const config::Settings& settings);

  void AddIncident(double now, std::string what);
  // A task runs; its first start counts.
  void OnTaskStarted(jobs::Job& job, uint32_t index, double now);
  // The job's completion is durable.
  void OnJobFinished(const jobs::Job& job, double now);

  struct LastActivity {
    double started_at = -1e18;   // a task
    double finished_at = -1e18;  // a job
  };
  const std::map<std::string, LastActivity>& classes() const { return classes_; }
  const std::map<std::string, LastActivity>& teams() const { return teams_; }
  // Progress and troubles.
  void FillSnapshot(double now, wire::StatusSnapshot& d) const;
  // True now and then: a line with the load is due.
  bool IsLogDue(double now);

 private:
  void Record(const jobs::Job& job, double LastActivity::*what, double now);

  const std::vector<config::Objective> objectives_;
  const double log_every_s_;
  std::vector<std::pair<uint64_t, uint64_t>> progress_;  // met, of; as in the settings
  std::map<std::string, LastActivity> classes_;
  std::map<std::string, LastActivity> teams_;
  std::deque<std::pair<double, std::string>> incidents_;
  double next_log_ = -1e18;
};

}  // namespace mosspath::scheduler
