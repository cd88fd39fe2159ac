#include "simulation/rule_checker.h"

#include <spdlog/fmt/fmt.h>

#include <utility>

#include "mosspath/wire/json.h"

namespace mosspath::simulation {
namespace {

// Time limits of the users' rules, in seconds.
// After the last fault, status queries are answered and critical services are whole within this
// time.
constexpr double kAnsweredWithinS = 75;
// Maximum time for which a task waits while a machine has room for the task.
constexpr double kPlacedWithinS = 90;
// Maximum time from the first submission attempt to the first task start, for the largest jobs of
// each class.
constexpr double kBegunWithinS = 240;

constexpr double kResourceTolerance = 1e-6;  // for rounding errors in sums of CPUs and GPUs
constexpr double kNeverBegunS = 1e9;         // reported for a job that never started
constexpr size_t kLargestDivisor = 10;       // the largest 10% of a class's jobs by task count

template <typename T>
bool Contains(const std::vector<T>& values, const T& value) {
  return std::find(values.begin(), values.end(), value) != values.end();
}

bool IsService(const wire::JobSpec& spec) { return spec.kind == wire::JobKind::kService; }

}  // namespace

void RuleChecker::OnSubmitted(const wire::JobSpec& spec, double now) {
  Job& job = jobs_[spec.id];
  job.spec = spec;
  if (!job.submitted_at) job.submitted_at = now;
}

void RuleChecker::OnAccepted(const std::string& id, double now) {
  Job& job = jobs_[id];
  if (job.accepted_at) return;
  if (!CanEverRun(job.spec)) AddBreach("accepted: " + id + " can never run");
  job.accepted_at = now;
}

void RuleChecker::OnRefused(const std::string& id) {
  if (jobs_[id].accepted_at) AddBreach("forgotten: " + id + " is refused though it was accepted");
}

void RuleChecker::OnStatusAnswered(const std::string& id, int http_status, wire::JobState state,
                                   double sent_at, double now) {
  if (http_status != 200 && http_status != 404) return;
  Job& job = jobs_[id];
  if (job.accepted_at && now > faults_until_) {
    const double before = std::max({job.last_answered_at, *job.accepted_at, faults_until_});
    longest_unanswered_s_ = std::max(longest_unanswered_s_, now - before);
  }
  job.last_answered_at = now;
  if (http_status == 404) {
    if (job.accepted_at) AddBreach("forgotten: " + id + " gets 404");
    return;
  }
  if (state == wire::JobState::kDone && job.completed.size() < job.spec.tasks) {
    AddBreach("not_done: " + id + " is reported done before all its tasks completed");
  }
  if (state == wire::JobState::kCancelled && !job.cancellation_requested) {
    AddBreach("went_back: " + id + " is reported cancelled without a request");
  }
  const bool ended = state == wire::JobState::kDone || state == wire::JobState::kCancelled;
  // A job has one final state. After the user has received the final state, no query sent later may
  // return a state that precedes it.
  if (job.final_state && (ended ? *job.final_state != state : sent_at >= job.final_state_at)) {
    AddBreach("went_back: " + id + " is reported in a contradictory or older state");
  }
  if (ended && !std::exchange(job.final_state, state)) job.final_state_at = now;
}

void RuleChecker::OnCancellationConfirmed(const std::string& id, double now) {
  Job& job = jobs_[id];
  if (job.done) AddBreach("went_back: " + id + " was done");
  if (!job.cancelled_at) job.cancelled_at = now;
  cancellations_.push_back(now);
}

void RuleChecker::OnCompletionConfirmed(const std::string& id) {
  Job& job = jobs_[id];
  if (job.completed.size() < job.spec.tasks) AddBreach("not_done: " + id);
  if (job.cancelled_at) AddBreach("went_back: " + id + " was cancelled");
  job.done = true;
}

void RuleChecker::OnTaskStarted(const wire::TaskId& task, const std::string& machine,
                                const std::string& type, const std::string& zone, bool spot,
                                double now) {
  ++starts_;
  const auto found = jobs_.find(task.job);
  const std::string name = wire::TaskName(task);
  if (found == jobs_.end()) return AddBreach("a task of no job: " + name);
  Job& job = found->second;
  if (!job.begun_at) job.begun_at = now;
  job.last_start_at = now;
  if (job.cancelled_at) {
    latest_cancelled_start_s_ = std::max(latest_cancelled_start_s_, now - *job.cancelled_at);
  }
  CheckPlacement(job, task, machine, type, zone, spot);
  if (CancellationOverdue(job, now)) AddBreach("ran_cancelled: " + name + " starts");
  job.running[task.index] = {machine, zone};
  ResourceUse& use = use_by_team_[job.spec.team];
  use.cpus += job.spec.cpus;
  use.gpus += job.spec.gpus;
  CheckQuota(job.spec, name);
}

void RuleChecker::CheckPlacement(const Job& job, const wire::TaskId& task,
                                 const std::string& machine, const std::string& type,
                                 const std::string& zone, bool spot) {
  const wire::JobSpec& spec = job.spec;
  const std::string name = wire::TaskName(task);
  if (const auto running_task = job.running.find(task.index); running_task != job.running.end()) {
    AddBreach("ran_twice: " + name + " runs on " + running_task->second.machine +
              " and starts on " + machine);
  }
  if (spec.types && !Contains(*spec.types, type)) {
    AddBreach("wrong_place: " + name + " on type " + type);
  }
  if ((spec.zone && *spec.zone != zone) || (spot && !spec.spot_allowed)) {
    AddBreach("wrong_place: " + name + " on " + machine);
  }
  size_t in_zone = 1;
  for (const auto& [index, placement] : job.running) {
    const bool same_zone = placement.zone == zone;
    if (spec.single_zone && !same_zone)
      AddBreach("wrong_place: " + name + " is not in the single zone of its job");
    in_zone += same_zone ? 1 : 0;
  }
  if (spec.spread_over_zones && in_zone > (spec.tasks + 1) / 2) {
    AddBreach("wrong_place: " + name + " exceeds its zone's share of a spread job");
  }
}

void RuleChecker::CheckQuota(const wire::JobSpec& spec, const std::string& task_name) {
  const ResourceUse& use = use_by_team_[spec.team];
  for (const auto& team : settings_.teams) {
    if (team.name != spec.team) continue;
    if ((team.cpus_max > 0 && use.cpus > team.cpus_max + kResourceTolerance) ||
        (team.gpus_max > 0 && use.gpus > team.gpus_max + kResourceTolerance)) {
      AddBreach("quota: " + team.name + " with " + task_name);
    }
  }
}

void RuleChecker::OnTaskLeft(const wire::TaskId& task, const std::string& machine) {
  const auto found = jobs_.find(task.job);
  if (found == jobs_.end()) return;
  Job& job = found->second;
  const auto running_task = job.running.find(task.index);
  if (running_task == job.running.end() || running_task->second.machine != machine) return;
  job.running.erase(running_task);
  ResourceUse& use = use_by_team_[job.spec.team];
  use.cpus -= job.spec.cpus;
  use.gpus -= job.spec.gpus;
}

bool RuleChecker::OnTaskCompleted(const wire::TaskId& task) {
  Job& job = jobs_[task.job];
  return job.completed.insert(task.index).second && job.completed.size() == job.spec.tasks;
}

bool RuleChecker::FitsIntoZone(const wire::JobSpec& spec, const std::string& zone) const {
  if (spec.zone && *spec.zone != zone) return false;
  return std::any_of(types_.begin(), types_.end(), [&](const wire::MachineType& type) {
    const bool allowed = !spec.types || Contains(*spec.types, type.name);
    const bool large_enough =
        spec.cpus <= type.cpus && spec.gpus <= type.gpus && spec.memory_gb <= type.memory_gb;
    return allowed && Contains(type.zones, zone) && large_enough;
  });
}

// Returns whether enough zones offer a machine type that fits a task of the job. The job needs two
// such zones if its tasks must run at the same time in different zones, and otherwise one. A job
// that needs two zones but allows only a single zone can never run.
bool RuleChecker::CanEverRun(const wire::JobSpec& spec) const {
  const auto zones =
      std::count_if(settings_.zones.begin(), settings_.zones.end(),
                    [&](const std::string& zone) { return FitsIntoZone(spec, zone); });
  const bool needs_two_zones =
      spec.kind != wire::JobKind::kArray && spec.spread_over_zones && spec.tasks >= 2;
  if (!needs_two_zones) return zones > 0;
  return zones > 1 && !spec.single_zone;
}

bool RuleChecker::TeamHasRoom(const wire::JobSpec& spec) const {
  for (const auto& team : settings_.teams) {
    if (team.name != spec.team) continue;
    const auto found = use_by_team_.find(team.name);
    const ResourceUse use = found == use_by_team_.end() ? ResourceUse{} : found->second;
    return (team.cpus_max <= 0 || use.cpus + spec.cpus <= team.cpus_max + kResourceTolerance) &&
           (team.gpus_max <= 0 || use.gpus + spec.gpus <= team.gpus_max + kResourceTolerance);
  }
  return false;
}

std::vector<RuleChecker::WaitingJob> RuleChecker::WaitingJobs() const {
  std::vector<WaitingJob> waiting;
  for (const auto& [id, job] : jobs_) {
    const bool live = job.accepted_at && !job.done && !job.cancelled_at;
    if (!live || job.cancellation_requested) continue;
    if (job.completed.size() + job.running.size() >= job.spec.tasks) continue;
    WaitingJob entry{&job.spec, {}, TeamHasRoom(job.spec)};
    for (const auto& [index, placement] : job.running) ++entry.running_by_zone[placement.zone];
    waiting.push_back(std::move(entry));
  }
  return waiting;
}

void RuleChecker::OnMachinesWithRoom(const std::string& id,
                                     const std::vector<std::string>& machines, double now) {
  Job& job = jobs_[id];
  std::map<std::string, double> room_since;
  for (const auto& machine : machines) {
    const auto before = job.room_since.find(machine);
    const double since = before == job.room_since.end() ? now : before->second;
    room_since[machine] = since;
    const double waited =
        now - std::max({since, job.last_start_at, *job.accepted_at, faults_until_});
    if (waited <= kPlacedWithinS || std::exchange(job.reported_waiting, true)) continue;
    AddBreach(fmt::format("waits: {} for {:.0f} s while {} has room", id, waited, machine));
  }
  job.room_since = std::move(room_since);
}

bool RuleChecker::CancellationOverdue(const Job& job, double now) const {
  return job.cancelled_at && now > *job.cancelled_at + settings_.cancel_within_s;
}

void RuleChecker::CheckNow(double now) {
  for (const auto& [id, job] : jobs_) {
    if (!job.running.empty() && CancellationOverdue(job, now)) {
      AddBreach("ran_cancelled: " + id + " is still on a machine");
    }
  }
  if (now < faults_until_ + kAnsweredWithinS) return;
  for (auto& [id, job] : jobs_) {
    CheckReplicas(job, now);
    CheckForgotten(job, now);
  }
}

// Reports a critical service of which replicas are missing. CheckNow() calls this kAnsweredWithinS
// after the end of the last fault. All replicas must be up again by then, whatever the other load.
void RuleChecker::CheckReplicas(Job& job, double now) {
  const bool critical = IsService(job.spec) && job.spec.priority > wire::Priority::kHigh;
  if (!critical || !job.accepted_at || now - *job.accepted_at <= kAnsweredWithinS) return;
  if (job.cancellation_requested || job.reported_down) return;
  if (job.running.size() >= job.spec.tasks) return;
  job.reported_down = true;
  AddBreach(fmt::format("down: {} has {} of {} replicas", job.spec.id, job.running.size(),
                        job.spec.tasks));
}

// Reports an accepted job whose status queries are not answered. Such queries must be answered
// whatever the state of this job and of other jobs.
void RuleChecker::CheckForgotten(Job& job, double now) {
  if (!job.accepted_at || job.cancellation_requested || job.reported_forgotten) return;
  const double since = std::max({job.last_answered_at, *job.accepted_at, faults_until_});
  if (now - since <= kAnsweredWithinS) return;
  job.reported_forgotten = true;
  AddBreach(fmt::format("forgotten: no status query about {} is answered for {:.0f} s", job.spec.id,
                        now - job.last_answered_at));
}

void RuleChecker::CheckEndOfDay(double capacity_cpus) {
  ServedCounts counts;
  std::map<std::string, std::vector<const Job*>> classes;
  for (const auto& [id, job] : jobs_) {
    if (!job.submitted_at || job.cancellation_requested) continue;
    classes[job.spec.job_class].push_back(&job);
    const bool served = IsService(job.spec) ? job.begun_at.has_value() : job.done;
    for (const auto& group : {"class " + job.spec.job_class, "team " + job.spec.team}) {
      ++counts[group].submitted;
      counts[group].served += served ? 1 : 0;
    }
  }
  for (auto& [name, jobs] : classes) {
    CheckLargest(name, std::move(jobs), capacity_cpus, counts["the largest of " + name]);
  }
  for (const auto& [group, count] : counts) {
    if (2 * count.served >= count.submitted) continue;
    AddBreach(fmt::format("starved: of {}, {} of {} jobs are served", group, count.served,
                          count.submitted));
  }
}

void RuleChecker::CheckLargest(const std::string& job_class, std::vector<const Job*> jobs,
                               double capacity_cpus, ServedCount& count) {
  std::stable_sort(jobs.begin(), jobs.end(),
                   [](const Job* a, const Job* b) { return a->spec.tasks > b->spec.tasks; });
  jobs.resize(std::max<size_t>(1, jobs.size() / kLargestDivisor));
  for (const Job* job : jobs) {
    const wire::JobSpec& spec = job->spec;
    ++count.submitted;
    count.served += job->done || (IsService(spec) && job->begun_at) ? 1 : 0;
    const double begun_after_s = job->begun_at ? *job->begun_at - *job->submitted_at : kNeverBegunS;
    if (job->begun_at) latest_begin_s_ = std::max(latest_begin_s_, begun_after_s);
    const bool gang = spec.kind == wire::JobKind::kGang;
    if (gang && spec.tasks * spec.cpus > capacity_cpus) continue;
    if (begun_after_s <= kBegunWithinS) continue;
    AddBreach(fmt::format("late: {}, among the largest of {}, begins after {:.0f} s", spec.id,
                          job_class, begun_after_s));
  }
}

size_t RuleChecker::done_jobs() const {
  return static_cast<size_t>(
      std::count_if(jobs_.begin(), jobs_.end(), [](const auto& job) { return job.second.done; }));
}

bool RuleChecker::IsDone(const std::string& id) const {
  const auto found = jobs_.find(id);
  return found != jobs_.end() && found->second.done;
}

}  // namespace mosspath::simulation
