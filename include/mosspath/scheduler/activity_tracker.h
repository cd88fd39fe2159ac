// Collects status information about a term of leadership: progress towards the objectives, when
// work of each class and team last started and finished, and recent incidents. No scheduling
// decision depends on this information. Pure.
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <vector>

#include "mosspath/config/settings.h"
#include "mosspath/jobs/job.h"
#include "mosspath/scheduler/time_points.h"
#include "mosspath/wire/status_snapshot.h"

namespace mosspath::scheduler {

// Not thread-safe. Times are in seconds.
class ActivityTracker {
 public:
  explicit ActivityTracker(const config::Settings& settings);

  // Records an incident for the status page. Drops the oldest incident if there are more than 20.
  void AddIncident(double now, std::string description);
  // Called when a task of the job has been started. Only the first start of a task counts towards
  // the objectives.
  void OnTaskStarted(jobs::Job& job, uint32_t index, double now);
  // Called once the job's completion is durable. Counts the job towards the objectives.
  void OnJobFinished(const jobs::Job& job, double now);

  // When a class or team last had a task started and a job finished.
  struct LastActivity {
    double started_at = kLongAgo;   // last start of a task
    double finished_at = kLongAgo;  // last completion of a job
  };
  const std::map<std::string, LastActivity>& classes() const { return classes_; }
  const std::map<std::string, LastActivity>& teams() const { return teams_; }
  // Adds to the snapshot the progress towards the objectives, and the incidents, newest first.
  void FillSnapshot(double now, wire::StatusSnapshot& snapshot) const;
  // Returns whether the log line that reports the load is due. If so, schedules the next log line
  // one log interval after `now`.
  bool IsLogDue(double now);

 private:
  // Progress towards one objective.
  struct Progress {
    uint64_t met = 0;    // tasks or jobs that met the objective
    uint64_t total = 0;  // tasks or jobs that the objective applied to
  };
  struct Incident {
    double at = 0;
    std::string description;
  };
  void Record(const jobs::Job& job, double LastActivity::*event, double now);

  const std::vector<config::Objective> objectives_;
  const double log_interval_s_;
  std::vector<Progress> progress_;  // one element for each objective
  std::map<std::string, LastActivity> classes_;
  std::map<std::string, LastActivity> teams_;
  std::deque<Incident> incidents_;
  double next_log_at_ = kLongAgo;
};

}  // namespace mosspath::scheduler
