// What people are shown of a term of leadership: progress towards the objectives, when work of each
// class and team last started and finished, and recent incidents. Nothing is decided on it. Pure.
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

class ActivityTracker {
 public:
  explicit ActivityTracker(const config::Settings& settings);

  // Keeps the description for people; the oldest incidents are dropped.
  void AddIncident(double now, std::string description);
  // A task of the job runs. Its first start counts towards the objectives.
  void OnTaskStarted(jobs::Job& job, uint32_t index, double now);
  // The job's completion is durable, and counts towards the objectives.
  void OnJobFinished(const jobs::Job& job, double now);

  // When work of a class or team last moved.
  struct LastActivity {
    double started_at = kLongAgo;   // of a task
    double finished_at = kLongAgo;  // of a job
  };
  const std::map<std::string, LastActivity>& classes() const { return classes_; }
  const std::map<std::string, LastActivity>& teams() const { return teams_; }
  // Adds the progress and the incidents, the newest first.
  void FillSnapshot(double now, wire::StatusSnapshot& snapshot) const;
  // Whether a log line with the load is due; if so, the next one is due an interval later.
  bool IsLogDue(double now);

 private:
  // How many tasks or jobs an objective has met, of those that it applied to.
  struct Progress {
    uint64_t met = 0;
    uint64_t total = 0;
  };
  struct Incident {
    double at = 0;
    std::string description;
  };
  void Record(const jobs::Job& job, double LastActivity::*event, double now);

  const std::vector<config::Objective> objectives_;
  const double log_interval_s_;
  std::vector<Progress> progress_;  // of each objective
  std::map<std::string, LastActivity> classes_;
  std::map<std::string, LastActivity> teams_;
  std::deque<Incident> incidents_;
  double next_log_at_ = kLongAgo;
};

}  // namespace mosspath::scheduler
