#include "mosspath/scheduler/activity_tracker.h"

#include <algorithm>
#include <utility>

namespace mosspath::scheduler {
namespace {

constexpr size_t kMaxIncidents = 20;
constexpr size_t kMaxClasses = 100;
// Interval between two log lines that report the load, in agent leases.
constexpr double kLogIntervalLeases = 0.5;

}  // namespace

ActivityTracker::ActivityTracker(const config::Settings& settings)
    : objectives_(settings.objectives),
      log_interval_s_(kLogIntervalLeases * settings.agent_lease_s),
      progress_(settings.objectives.size()) {}

void ActivityTracker::AddIncident(double now, std::string description) {
  incidents_.push_back({now, std::move(description)});
  if (incidents_.size() > kMaxIncidents) incidents_.pop_front();
}

void ActivityTracker::Record(const jobs::Job& job, double LastActivity::*event, double now) {
  // The settings name all teams, but users choose class names freely, so the number of classes
  // needs a limit.
  if (classes_.size() >= kMaxClasses && !classes_.contains(job.spec.job_class)) {
    classes_.erase(classes_.begin());
  }
  classes_[job.spec.job_class].*event = now;
  teams_[job.spec.team].*event = now;
}

void ActivityTracker::OnTaskStarted(jobs::Job& job, uint32_t index, double now) {
  Record(job, &LastActivity::started_at, now);
  if (job.tasks[index].start_counted) return;
  job.tasks[index].start_counted = true;
  for (size_t i = 0; i < objectives_.size(); ++i) {
    const config::Objective& objective = objectives_[i];
    if (objective.kind != "wait" || objective.job_class != job.spec.job_class) continue;
    ++progress_[i].total;
    progress_[i].met += now - job.submitted_at <= objective.within_s ? 1 : 0;
  }
}

void ActivityTracker::OnJobFinished(const jobs::Job& job, double now) {
  Record(job, &LastActivity::finished_at, now);
  const double took_s = now - job.submitted_at;
  for (size_t i = 0; i < objectives_.size(); ++i) {
    const config::Objective& objective = objectives_[i];
    if (objective.job_class != job.spec.job_class) continue;
    const bool has_deadline = objective.kind == "deadline" && job.spec.deadline_s;
    if (!has_deadline && objective.kind != "finished") continue;
    ++progress_[i].total;
    progress_[i].met +=
        took_s <= (has_deadline ? objective.times * *job.spec.deadline_s : objective.within_s) ? 1
                                                                                               : 0;
  }
}

void ActivityTracker::FillSnapshot(double now, wire::StatusSnapshot& snapshot) const {
  for (size_t i = 0; i < objectives_.size(); ++i) {
    const config::Objective& objective = objectives_[i];
    const Progress& progress = progress_[i];
    snapshot.progress.push_back({objective.kind, objective.job_class, objective.within_s,
                                 objective.times, objective.share, progress.met, progress.total});
  }
  for (auto incident = incidents_.rbegin(); incident != incidents_.rend(); ++incident) {
    snapshot.incidents.push_back({now - incident->at, incident->description});
  }
}

bool ActivityTracker::IsLogDue(double now) {
  if (now < next_log_at_) return false;
  next_log_at_ = now + log_interval_s_;
  return true;
}

}  // namespace mosspath::scheduler
