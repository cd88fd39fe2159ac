#include "mosspath/scheduler/preemption.h"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <optional>

#include "mosspath/scheduler/victim_selection.h"

namespace mosspath::scheduler {

using cluster::Allocation;
using cluster::QuotaAmount;
using jobs::Job;

namespace {

// If the start objective of a job ends within one heartbeat interval of its submission, the job may
// preempt once it has waited for this share of the time limit.
constexpr double kStartDelayShare = 0.3;
struct VictimOnTarget {
  PreemptionTarget* target = nullptr;
  Victim* victim = nullptr;
};

// Returns the victims of the team, the least loss first.
std::vector<VictimOnTarget> VictimsOfTeam(const std::string& team, PreemptionTargets& targets) {
  targets.FindVictims();
  std::vector<VictimOnTarget> victims;
  for (PreemptionTarget& target : targets.all()) {
    for (Victim& victim : target.victims) {
      if (victim.allocation->team == team) victims.push_back({&target, &victim});
    }
  }
  std::stable_sort(victims.begin(), victims.end(),
                   [](const VictimOnTarget& a, const VictimOnTarget& b) {
                     return a.victim->weighted_loss < b.victim->weighted_loss;
                   });
  return victims;
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
  std::optional<Pass> pass;
  for (const Job* job : ranked_jobs) {
    if (!MayPreempt(*job, now)) continue;
    if (!pass) pass.emplace(BeginPass(ranked_jobs, now));
    if (IsCriticalAndLacksQuota(*job)) FreeQuotaFor(*job, *pass);
    MakeRoomFor(*job, *pass);
  }
}

Preemption::Pass Preemption::BeginPass(const std::vector<Job*>& ranked_jobs, double now) const {
  Pass pass{.targets = PreemptionTargets(cluster_, now), .now = now, .stopping_by_team = {}};
  const bool any_lacks_quota =
      std::any_of(ranked_jobs.begin(), ranked_jobs.end(),
                  [this](const Job* job) { return IsCriticalAndLacksQuota(*job); });
  if (any_lacks_quota) pass.stopping_by_team = FindStoppingQuota();
  return pass;
}

bool Preemption::IsCriticalAndLacksQuota(const Job& job) const {
  return job.spec.priority == wire::Priority::kCritical && LacksQuota(start_gate_.QuotaExcess(job));
}

Preemption::QuotaByTeam Preemption::FindStoppingQuota() const {
  QuotaByTeam stopping;
  for (const auto& [id, machine] : cluster_.machines) {
    if (!machine.has_pending_commands) continue;
    for (const auto& [key, allocation] : machine.allocations) {
      if (!IsStopping(allocation)) continue;
      QuotaAmount& team = stopping[allocation.team];
      team.cpus += allocation.cpus;
      team.gpus += allocation.gpus;
    }
  }
  return stopping;
}

bool Preemption::MayPreempt(const Job& job, double now) const {
  return job.spec.priority >= wire::Priority::kHigh &&
         now - job.submitted_at >= PreemptionDelayS(job, now);
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

void Preemption::MakeRoomFor(const Job& job, Pass& pass) {
  const bool is_critical = job.spec.priority == wire::Priority::kCritical;
  UnplaceableSpecs& unplaceable = pass.unplaceable[is_critical ? 1 : 0];
  const size_t tasks = start_gate_.PlaceableTasks(job);
  if (tasks == 0 || unplaceable.Covers(job.spec)) return;
  VictimSelection selection(pass.targets, filter_, fair_share_, job, pass.now);
  const VictimSelection::Result result = selection.MakeRoom(tasks);
  if (result.tasks < tasks) unplaceable.Add(job);
  for (const Victim* victim : result.victims) RequestStop(*victim, job);
}

void Preemption::FreeQuotaFor(const Job& job, Pass& pass) {
  QuotaAmount& stopping = pass.stopping_by_team[job.spec.team];
  QuotaAmount missing = start_gate_.QuotaExcess(job);
  missing.cpus = LessCovered(missing.cpus, stopping.cpus);
  missing.gpus = LessCovered(missing.gpus, stopping.gpus);
  for (const VictimOnTarget& candidate : VictimsOfTeam(job.spec.team, pass.targets)) {
    if (!LacksQuota(missing)) return;
    Victim& victim = *candidate.victim;
    const Allocation& allocation = *victim.allocation;
    const bool helps =
        (missing.cpus > 0 && allocation.cpus > 0) || (missing.gpus > 0 && allocation.gpus > 0);
    if (!helps || !MayStopFor(job, victim, fair_share_)) continue;
    candidate.target->SetSelected(victim, true);
    pass.unplaceable = {};
    fair_share_.OnPreempted(*victim.job, allocation.cpus);
    RequestStop(victim, job);
    missing.cpus -= allocation.cpus;
    missing.gpus -= allocation.gpus;
  }
}

void Preemption::RequestStop(const Victim& victim, const Job& job) const {
  cluster::RequestStop(*victim.machine, *victim.allocation, victim.job->spec.checkpoint_duration_s);
  spdlog::debug("scheduler: preempting job={} machine={} for_job={}", victim.job->spec.id,
                victim.machine->id, job.spec.id);
}

}  // namespace mosspath::scheduler
