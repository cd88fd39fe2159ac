#include "mosspath/scheduler/preemption.h"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <optional>

namespace mosspath::scheduler {

using cluster::Allocation;
using cluster::QuotaAmount;
using jobs::Job;

namespace {

// A task without checkpoints may be preempted only while it has run for at most this share of its
// expected run time. The limit does not apply to preemption for a job of critical priority.
constexpr double kMaxLossShare = 0.12;
// If the start objective of a job ends within one heartbeat interval of its submission, the job may
// preempt once it has waited for this share of the time limit.
constexpr double kStartDelayShare = 0.3;
// Work that is lost with a task that started too recently to have saved much in checkpoints
// (IsSettling), in checkpoint durations.
constexpr double kSettlingLossCheckpoints = 2;
// Weight that each level of priority adds to a loss. Of two tasks with equal losses, the task of
// lower priority is therefore stopped first.
constexpr double kLossWeightPerPriority = 2;

double RunTimeS(const Allocation& allocation, double now) {
  return allocation.running_since > 0 ? now - allocation.running_since : 0;
}

bool IsStoppable(const Allocation& allocation) {
  return !allocation.orphaned && !allocation.stop_requested && !allocation.exited() &&
         allocation.state == Allocation::State::kReported;
}

// Returns the seconds of work that the task loses if it is stopped now.
double LossS(const Job& job, double ran_s) {
  if (job.spec.checkpoint_interval_s <= 0) return ran_s;
  if (IsSettling(job, ran_s)) return kSettlingLossCheckpoints * job.spec.checkpoint_duration_s;
  return std::min(ran_s, job.spec.checkpoint_duration_s);
}

double WeightedLoss(const Job& job, const Allocation& allocation, double now) {
  const double weight = 1 + kLossWeightPerPriority * static_cast<int>(job.spec.priority);
  return LossS(job, RunTimeS(allocation, now)) * allocation.cpus * weight;
}

bool LacksQuota(const QuotaAmount& missing) { return missing.cpus > 0 || missing.gpus > 0; }

// Returns what is missing of `needed` after as much as possible of it is taken from `available`.
double LessCovered(double needed, double& available) {
  const double covered = std::min(needed, available);
  available -= covered;
  return needed - covered;
}

}  // namespace

Preemption::Preemption(const config::Settings& settings, cluster::ClusterState& cluster,
                       const ServiceLevelObjectives& objectives, const StartGate& start_gate,
                       const MachineFilter& filter, FairShare& fair_share)
    : settings_(settings),
      cluster_(cluster),
      objectives_(objectives),
      start_gate_(start_gate),
      filter_(filter),
      fair_share_(fair_share) {}

void Preemption::Run(const std::vector<Job*>& ranked_jobs, double now) {
  StoppingTasks stopping = FindStoppingTasks();
  std::optional<std::vector<Victim>> victims;
  const auto collected_victims = [&]() -> std::vector<Victim>& {
    if (!victims) victims = CollectVictims(now);
    return *victims;
  };
  for (const Job* job : ranked_jobs) {
    if (job->spec.priority < wire::Priority::kHigh) continue;
    if (now - job->submitted_at < PreemptionDelayS(*job, now)) continue;
    const bool is_critical = job->spec.priority == wire::Priority::kCritical;
    if (is_critical && LacksQuota(start_gate_.QuotaExcess(*job))) {
      FreeQuotaFor(*job, stopping.by_team[job->spec.team], collected_victims(), now);
    }
    const double needed_cpus =
        static_cast<double>(start_gate_.PlaceableTasks(*job)) * job->spec.cpus;
    const double missing_cpus = LessCovered(needed_cpus, stopping.cpus);
    if (missing_cpus > 0) FreeCpusFor(*job, missing_cpus, collected_victims(), now);
  }
}

Preemption::StoppingTasks Preemption::FindStoppingTasks() const {
  StoppingTasks stopping;
  for (const auto& [id, machine] : cluster_.machines) {
    if (!machine.has_pending_commands) continue;
    for (const auto& [key, allocation] : machine.allocations) {
      if (!allocation.stop_requested || allocation.exited()) continue;
      stopping.cpus += allocation.cpus;
      cluster::QuotaAmount& team = stopping.by_team[allocation.team];
      team.cpus += allocation.cpus;
      team.gpus += allocation.gpus;
    }
  }
  return stopping;
}

// Tasks end all the time even when all machines are full. Within one heartbeat interval, most
// waiting tasks get capacity that was freed by tasks that ended; a task that was stopped for these
// waiting tasks would lose its work for nothing. The delay is therefore one heartbeat interval. It
// is shorter if the job has a start objective that ends within one heartbeat interval of its
// submission.
double Preemption::PreemptionDelayS(const Job& job, double now) const {
  const ServiceLevelObjectives::NextObjective objective = objectives_.Next(job, now);
  const double start_within_s = objective.within_s - ExpectedRunS(job);
  const bool starts_soon = objective.for_task_start && start_within_s <= settings_.heartbeat_s;
  return starts_soon ? kStartDelayShare * start_within_s : settings_.heartbeat_s;
}

std::vector<Preemption::Victim> Preemption::CollectVictims(double now) {
  std::vector<Victim> victims;
  for (auto& [id, machine] : cluster_.machines) {
    if (!cluster_.IsSchedulable(machine, now)) continue;
    for (auto& [key, allocation] : machine.allocations) {
      if (!IsStoppable(allocation)) continue;
      const Job* job = cluster_.FindJob(key.first.job);
      // Stopping one task of a gang stops the whole gang.
      if (job == nullptr || job->spec.kind == wire::JobKind::kGang) continue;
      victims.push_back({WeightedLoss(*job, allocation, now), &machine, &allocation, job});
    }
  }
  std::stable_sort(victims.begin(), victims.end(), [](const Victim& a, const Victim& b) {
    return a.weighted_loss < b.weighted_loss;
  });
  return victims;
}

bool Preemption::MayStopFor(const Job& job, const Victim& victim, double now) const {
  if (victim.allocation->stop_requested) return false;
  const wire::JobSpec& victim_spec = victim.job->spec;
  if (victim_spec.priority >= job.spec.priority) return false;
  // A task whose stop would put its group below the fair-share floor would be placed again at once.
  if (!fair_share_.MayPreempt(*victim.job, victim.allocation->cpus)) return false;
  // A task without checkpoints loses all its work. It is stopped only while that work is little,
  // unless the waiting job is of critical priority.
  const bool loses_all = victim_spec.checkpoint_interval_s <= 0;
  if (!loses_all || job.spec.priority == wire::Priority::kCritical) return true;
  return RunTimeS(*victim.allocation, now) <= kMaxLossShare * ExpectedRunS(*victim.job);
}

void Preemption::FreeCpusFor(const Job& job, double missing_cpus, std::vector<Victim>& victims,
                             double now) {
  for (const Victim& victim : victims) {
    if (missing_cpus <= 0) return;
    if (!MayStopFor(job, victim, now)) continue;
    if (!filter_.IsAllowedOn(job, *victim.machine, now)) continue;
    StopVictim(victim, job);
    missing_cpus -= victim.allocation->cpus;
  }
}

void Preemption::FreeQuotaFor(const Job& job, QuotaAmount& stopping, std::vector<Victim>& victims,
                              double now) {
  QuotaAmount missing = start_gate_.QuotaExcess(job);
  missing.cpus = LessCovered(missing.cpus, stopping.cpus);
  missing.gpus = LessCovered(missing.gpus, stopping.gpus);
  for (const Victim& victim : victims) {
    if (!LacksQuota(missing)) return;
    const Allocation& allocation = *victim.allocation;
    const bool helps =
        (missing.cpus > 0 && allocation.cpus > 0) || (missing.gpus > 0 && allocation.gpus > 0);
    if (!helps || allocation.team != job.spec.team || !MayStopFor(job, victim, now)) continue;
    StopVictim(victim, job);
    missing.cpus -= allocation.cpus;
    missing.gpus -= allocation.gpus;
  }
}

void Preemption::StopVictim(const Victim& victim, const Job& job) {
  cluster::RequestStop(*victim.machine, *victim.allocation, victim.job->spec.checkpoint_duration_s);
  fair_share_.OnPreempted(*victim.job, victim.allocation->cpus);
  spdlog::debug("scheduler: preempting job={} machine={} for_job={}", victim.job->spec.id,
                victim.machine->id, job.spec.id);
}

}  // namespace mosspath::scheduler
