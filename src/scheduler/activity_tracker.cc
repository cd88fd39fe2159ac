#include "mosspath/scheduler/activity_tracker.h"

namespace mosspath::scheduler {
namespace {

constexpr size_t kMaxTroubles = 20;
constexpr size_t kMaxClasses = 100;

}  // namespace

ActivityTracker::ActivityTracker(const config::Settings& settings)
    : objectives_(settings.objectives),
      log_every_s_(settings.agent_lease_s / 2),
      progress_(settings.objectives.size()) {}

void ActivityTracker::AddIncident(double now, std::string what) {
  incidents_.emplace_back(now, std::move(what));
  if (incidents_.size() > kMaxTroubles) incidents_.pop_front();
}

void ActivityTracker::Record(const jobs::Job& job, double LastActivity::*what, double now) {
  // Teams are those of the settings, but users choose the names of classes.
  if (classes_.size() >= kMaxClasses && !classes_.contains(job.spec.job_class)) {
    classes_.erase(classes_.begin());
  }
  classes_[job.spec.job_class].*what = now;
  teams_[job.spec.team].*what = now;
}

void ActivityTracker::OnTaskStarted(jobs::Job& job, uint32_t index, double now) {
  Record(job, &LastActivity::started_at, now);
  if (job.tasks[index].start_counted) return;
  job.tasks[index].start_counted = true;
  for (size_t i = 0; i < objectives_.size(); ++i) {
    const auto& o = objectives_[i];
    if (o.kind != "wait" || o.job_class != job.spec.job_class) continue;
    auto& [met, of] = progress_[i];
    ++of;
    met += now - job.submitted_at <= o.within_s ? 1 : 0;
  }
}

void ActivityTracker::OnJobFinished(const jobs::Job& job, double now) {
  Record(job, &LastActivity::finished_at, now);
  const double took = now - job.submitted_at;
  for (size_t i = 0; i < objectives_.size(); ++i) {
    const auto& o = objectives_[i];
    if (o.job_class != job.spec.job_class) continue;
    const bool deadline = o.kind == "deadline" && job.spec.deadline_s;
    if (!deadline && o.kind != "finished") continue;
    auto& [met, of] = progress_[i];
    ++of;
    met += took <= (deadline ? o.times * *job.spec.deadline_s : o.within_s) ? 1 : 0;
  }
}

void ActivityTracker::FillSnapshot(double now, wire::StatusSnapshot& d) const {
  for (size_t i = 0; i < objectives_.size(); ++i) {
    const auto& o = objectives_[i];
    const auto& [met, of] = progress_[i];
    d.progress.push_back({o.kind, o.job_class, o.within_s, o.times, o.share, met, of});
  }
  for (auto t = incidents_.rbegin(); t != incidents_.rend(); ++t) {
    d.incidents.push_back({now - t->first, t->second});
  }
}

bool ActivityTracker::IsLogDue(double now) {
  if (now < next_log_) return false;
  next_log_ = now + log_every_s_;
  return true;
}

}  // namespace mosspath::scheduler
