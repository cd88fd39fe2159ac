#include "mosspath/scheduler/activity.h"

namespace mosspath::scheduler {
namespace {

constexpr size_t kMaxTroubles = 20;
constexpr size_t kMaxClasses = 100;

}  // namespace

Activity::Activity(const config::Settings& settings)
    : objectives_(settings.objectives),
      log_every_s_(settings.lease_s / 2),
      counts_(settings.objectives.size()) {}

void Activity::Trouble(double now, std::string what) {
  troubles_.emplace_back(now, std::move(what));
  if (troubles_.size() > kMaxTroubles) troubles_.pop_front();
}

void Activity::Note(const jobs::Job& job, double Times::*what, double now) {
  // Teams are those of the settings, but users choose the names of classes.
  if (classes_.size() >= kMaxClasses && !classes_.contains(job.spec.job_class)) {
    classes_.erase(classes_.begin());
  }
  classes_[job.spec.job_class].*what = now;
  teams_[job.spec.team].*what = now;
}

void Activity::Started(jobs::Job& job, uint32_t index, double now) {
  Note(job, &Times::started, now);
  if (job.tasks[index].counted) return;
  job.tasks[index].counted = true;
  for (size_t i = 0; i < objectives_.size(); ++i) {
    const auto& o = objectives_[i];
    if (o.kind != "wait" || o.job_class != job.spec.job_class) continue;
    auto& [met, of] = counts_[i];
    ++of;
    met += now - job.submitted <= o.within_s ? 1 : 0;
  }
}

void Activity::Finished(const jobs::Job& job, double now) {
  Note(job, &Times::finished, now);
  const double took = now - job.submitted;
  for (size_t i = 0; i < objectives_.size(); ++i) {
    const auto& o = objectives_[i];
    if (o.job_class != job.spec.job_class) continue;
    const bool deadline = o.kind == "deadline" && job.spec.deadline_s;
    if (!deadline && o.kind != "finished") continue;
    auto& [met, of] = counts_[i];
    ++of;
    met += took <= (deadline ? o.times * *job.spec.deadline_s : o.within_s) ? 1 : 0;
  }
}

void Activity::Tell(double now, wire::Digest& d) const {
  for (size_t i = 0; i < objectives_.size(); ++i) {
    const auto& o = objectives_[i];
    const auto& [met, of] = counts_[i];
    d.progress.push_back({o.kind, o.job_class, o.within_s, o.times, o.share, met, of});
  }
  for (auto t = troubles_.rbegin(); t != troubles_.rend(); ++t) {
    d.troubles.push_back({now - t->first, t->second});
  }
}

bool Activity::LogDue(double now) {
  if (now < next_log_) return false;
  next_log_ = now + log_every_s_;
  return true;
}

}  // namespace mosspath::scheduler
