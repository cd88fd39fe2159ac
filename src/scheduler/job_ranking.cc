#include "mosspath/scheduler/job_ranking.h"

#include <algorithm>
#include <map>

#include "mosspath/scheduler/machine_pool.h"

namespace mosspath::scheduler {

using jobs::Job;
using NextObjective = ServiceLevelObjectives::NextObjective;

namespace {

// A low-priority job is ranked as normal priority once it has waited for this share of the time
// that its objective allows.
constexpr double kLowPriorityAgingShare = 0.4;
// Delay of a job's virtual deadline, in multiples of the time that the whole pool needs for the
// job's remaining work.
constexpr double kWorkPenalty = 45;
// Levels below all priorities.
constexpr int kUnattainableLevel = -1;
constexpr int kBestEffortLevel = -2;
// Added to the priority band of a job whose team is within its guarantee. Exceeds the bands of all
// other jobs.
constexpr int kGuaranteedBand = 16;

struct UnfinishedResources {
  double cpus = 0;
  double gpus = 0;
};

// A low-priority job that has waited for kLowPriorityAgingShare of its objective's time is ranked
// among jobs of normal priority; otherwise a steady load of normal-priority jobs would starve the
// low-priority job. The job still preempts no other job.
wire::Priority AgedPriority(const Job& job, const NextObjective& objective, double now) {
  const wire::Priority priority = job.spec.priority;
  const bool has_attainable_objective = !objective.unattainable && !objective.best_effort;
  const bool aged = now - job.submitted_at > kLowPriorityAgingShare * objective.within_s;
  if (priority == wire::Priority::kLow && has_attainable_objective && aged) {
    return wire::Priority::kNormal;
  }
  return priority;
}

}  // namespace

JobRanking::JobRanking(const config::Settings& settings, cluster::ClusterState& cluster,
                       const ServiceLevelObjectives& objectives, const StartGate& start_gate,
                       FairShare& fair_share)
    : settings_(settings),
      cluster_(cluster),
      objectives_(objectives),
      start_gate_(start_gate),
      fair_share_(fair_share) {}

std::vector<Job*> JobRanking::Rank(double now) {
  const TeamNames within_guarantee = TeamsWithinGuarantee();
  const double pool_cpus = SchedulableCpus(cluster_, now);
  std::vector<RankedJob> ranked;
  fair_share_.BeginPass(pool_cpus);
  for (auto& [id, job] : cluster_.jobs) {
    const bool startable =
        !job->pending.empty() && now >= job->not_before && start_gate_.IsStartable(*job);
    fair_share_.AddJob(*job, startable);
    if (startable) ranked.push_back(RankJob(*job, within_guarantee, pool_cpus, now));
  }
  fair_share_.ComputeFloors();
  std::sort(ranked.begin(), ranked.end(), Precedes);
  std::vector<Job*> order;
  order.reserve(ranked.size());
  for (const RankedJob& entry : ranked) order.push_back(entry.job);
  return order;
}

JobRanking::TeamNames JobRanking::TeamsWithinGuarantee() const {
  std::map<std::string, UnfinishedResources> unfinished;
  for (const auto& [id, job] : cluster_.jobs) {
    const double tasks = job->spec.tasks - job->done;
    UnfinishedResources& resources = unfinished[job->spec.team];
    resources.cpus += tasks * job->spec.cpus;
    resources.gpus += tasks * job->spec.gpus;
  }
  TeamNames names;
  for (const auto& team : settings_.teams) {
    const UnfinishedResources& resources = unfinished[team.name];
    const bool has_guarantee = team.cpus > 0 || team.gpus > 0;
    if (has_guarantee && resources.cpus <= team.cpus && resources.gpus <= team.gpus) {
      names.insert(team.name);
    }
  }
  return names;
}

JobRanking::RankedJob JobRanking::RankJob(Job& job, const TeamNames& within_guarantee,
                                          double pool_cpus, double now) const {
  const NextObjective objective = objectives_.Next(job, now);
  const wire::Priority priority = AgedPriority(job, objective, now);
  RankedJob entry;
  entry.job = &job;
  entry.within_guarantee = within_guarantee.contains(job.spec.team);
  entry.unattainable = objective.unattainable;
  entry.level = static_cast<int>(priority);
  // Low-priority jobs without an objective run when machines are otherwise idle.
  job.best_effort = priority == wire::Priority::kLow && objective.best_effort;
  if (job.best_effort) entry.level = kBestEffortLevel;
  if (objective.unattainable) {
    if (priority < wire::Priority::kHigh) entry.level = kUnattainableLevel;
    // The job can meet no objective whatever its completion time, so the job follows the jobs that
    // can meet an objective: all of them, or only those of its own level if its priority is high.
    // Among the jobs that can meet no objective, the jobs with the longest tasks go first: started
    // last, long tasks would keep machines in use, and delay the end of the whole workload.
    entry.virtual_deadline = -ExpectedRunS(job);
  } else {
    entry.virtual_deadline = VirtualDeadline(job, objective, pool_cpus);
  }
  job.can_meet_objective = !objective.unattainable && !objective.best_effort;
  job.virtual_deadline = entry.virtual_deadline;
  job.priority_band = (entry.within_guarantee ? kGuaranteedBand : 0) + 2 * entry.level +
                      (entry.unattainable ? 0 : 1);
  return entry;
}

// The earliest deadline goes first, but a job's remaining work delays its virtual deadline: under
// overload, large jobs then yield to many small ones, and most jobs still meet their objectives.
// Objectives for starts count tasks, not jobs, so yielding by size gains nothing there; the image
// fetch time delays the deadline instead, since tasks with a shorter fetch start sooner.
double JobRanking::VirtualDeadline(const Job& job, const NextObjective& objective,
                                   double pool_cpus) const {
  const double deadline = job.submitted_at + objective.within_s;
  if (!objective.for_task_start) {
    const double cpu_s = (job.spec.tasks - job.done) * job.spec.cpus * ExpectedRunS(job);
    return deadline + kWorkPenalty * cpu_s / std::max(1.0, pool_cpus);
  }
  const double fetch_gb_per_s = cluster_.machine_types.fastest_fetch_gb_per_s();
  return fetch_gb_per_s > 0 ? deadline + job.spec.image_gb / fetch_gb_per_s : deadline;
}

bool JobRanking::Precedes(const RankedJob& a, const RankedJob& b) {
  if (a.within_guarantee != b.within_guarantee) return a.within_guarantee;
  if (a.level != b.level) return a.level > b.level;
  if (a.unattainable != b.unattainable) return b.unattainable;
  if (a.virtual_deadline != b.virtual_deadline) return a.virtual_deadline < b.virtual_deadline;
  return a.job->spec.id < b.job->spec.id;
}

}  // namespace mosspath::scheduler
