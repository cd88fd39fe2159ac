#include "mosspath/scheduler/preemption_targets.h"

#include <algorithm>

#include "mosspath/scheduler/run_time_estimate.h"
#include "mosspath/scheduler/service_level_objectives.h"

namespace mosspath::scheduler {

using cluster::Allocation;
using cluster::Machine;
using cluster::Resources;
using jobs::Job;
using wire::Priority;

namespace {

// A task without checkpoints may be preempted only while it has run for at most this share of its
// expected run time. The limit does not apply to preemption for a job of critical priority.
constexpr double kMaxLossShare = 0.12;
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

// A task without checkpoints loses all its work. It is stopped only while that work is little,
// unless the waiting job is of critical priority.
Priority LeastPreemptor(const Job& job, const Allocation& allocation, double now) {
  const bool loses_all = job.spec.checkpoint_interval_s <= 0;
  const bool loses_much =
      loses_all && RunTimeS(allocation, now) > kMaxLossShare * ExpectedRunS(job);
  return loses_much || job.spec.priority >= Priority::kHigh ? Priority::kCritical : Priority::kHigh;
}

}  // namespace

bool IsStopping(const Allocation& allocation) {
  return allocation.stop_requested && !allocation.exited();
}

void PreemptionTarget::AddVictim(const Victim& victim) {
  victims.push_back(victim);
  const double cpus = victim.allocation->cpus;
  for (const Priority preemptor : {Priority::kHigh, Priority::kCritical}) {
    if (preemptor < victim.least_preemptor) continue;
    StoppableTasks& tasks = StoppableBy(preemptor);
    const bool is_first = tasks.resources.cpus <= 0;
    if (cpus > 0) {
      const double loss_per_cpu = victim.weighted_loss / cpus;
      tasks.least_loss_per_cpu =
          is_first ? loss_per_cpu : std::min(tasks.least_loss_per_cpu, loss_per_cpu);
    }
    tasks.resources += victim.resources();
  }
}

void PreemptionTarget::SetSelected(Victim& victim, bool selected) {
  victim.selected = selected;
  const Resources freed = (selected ? 1.0 : -1.0) * victim.resources();
  free += freed;
  for (const Priority preemptor : {Priority::kHigh, Priority::kCritical}) {
    if (preemptor >= victim.least_preemptor) StoppableBy(preemptor).resources -= freed;
  }
}

PreemptionTargets::PreemptionTargets(cluster::ClusterState& cluster, double now)
    : cluster_(cluster), now_(now) {
  for (auto& [id, machine] : cluster.machines) {
    if (!cluster.IsSchedulable(machine, now)) continue;
    PreemptionTarget target{.machine = &machine, .free = machine.free(), .victims = {}};
    // Only machines with pending commands have tasks that are to be stopped.
    if (machine.has_pending_commands) {
      for (const auto& [key, allocation] : machine.allocations) {
        if (!IsStopping(allocation)) continue;
        target.free += Resources{allocation.cpus, allocation.gpus, allocation.memory_gb};
      }
    }
    targets_.push_back(std::move(target));
  }
}

void PreemptionTargets::FindVictims() {
  if (victims_found_) return;
  victims_found_ = true;
  for (PreemptionTarget& target : targets_) FindVictimsOn(target);
}

void PreemptionTargets::FindVictimsOn(PreemptionTarget& target) const {
  std::vector<Victim> victims;
  for (auto& [key, allocation] : target.machine->allocations) {
    if (!IsStoppable(allocation)) continue;
    const Job* job = cluster_.FindJob(key.first.job);
    // Stopping one task of a gang stops the whole gang.
    if (job == nullptr || job->spec.kind == wire::JobKind::kGang) continue;
    if (job->spec.priority == Priority::kCritical) continue;
    victims.push_back({.weighted_loss = WeightedLoss(*job, allocation, now_),
                       .machine = target.machine,
                       .allocation = &allocation,
                       .job = job,
                       .least_preemptor = LeastPreemptor(*job, allocation, now_)});
  }
  std::stable_sort(victims.begin(), victims.end(), [](const Victim& a, const Victim& b) {
    return a.weighted_loss < b.weighted_loss;
  });
  target.victims.reserve(victims.size());
  for (const Victim& victim : victims) target.AddVictim(victim);
}

}  // namespace mosspath::scheduler
