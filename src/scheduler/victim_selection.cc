#include "mosspath/scheduler/victim_selection.h"

#include <algorithm>
#include <limits>
#include <queue>
#include <utility>

namespace mosspath::scheduler {

using cluster::Resources;

namespace {

// Returns whether `freed` has any of the resources of which `available` has too little for `task`.
bool FreesWhatIsLacking(const Resources& freed, const Resources& task, const Resources& available) {
  const auto helps = [](double freed_amount, double needed, double present) {
    return freed_amount > 0 && needed > present + cluster::kResourceTolerance;
  };
  return helps(freed.cpus, task.cpus, available.cpus) ||
         helps(freed.gpus, task.gpus, available.gpus) ||
         helps(freed.memory_gb, task.memory_gb, available.memory_gb);
}

// Removes the victims without which `task` fits as well, the greatest loss first. `free`: with all
// victims stopped.
void RemoveNeedless(const Resources& task, Resources free, std::vector<Victim*>& victims) {
  for (auto it = victims.rbegin(); it != victims.rend(); ++it) {
    const Resources without = free - (*it)->resources();
    if (!cluster::Fits(task, without)) continue;
    free = without;
    *it = nullptr;
  }
  std::erase(victims, nullptr);
}

}  // namespace

bool MayStopFor(const jobs::Job& job, const Victim& victim, const FairShare& fair_share) {
  if (victim.selected || job.spec.priority < victim.least_preemptor) return false;
  // A task whose stop would put its group below the fair-share floor would be placed again at once.
  return fair_share.MayPreempt(*victim.job, victim.allocation->cpus);
}

VictimSelection::VictimSelection(PreemptionTargets& targets, const MachineFilter& filter,
                                 FairShare& fair_share, const jobs::Job& job, double now)
    : targets_(targets),
      filter_(filter),
      fair_share_(fair_share),
      job_(job),
      now_(now),
      task_(cluster::TaskResources(job.spec)) {}

VictimSelection::Result VictimSelection::MakeRoom(size_t tasks) {
  const bool is_gang = job_.spec.kind == wire::JobKind::kGang;
  if (tasks == 0 || (is_gang && tasks < job_.pending.size())) return {};
  std::vector<std::string> zones = ExclusiveZones();
  if (zones.empty()) zones.emplace_back();
  Selection best;
  for (const std::string& zone : zones) {
    Selection selection = SelectIn(zone, tasks);
    Undo(selection);
    if (is_gang && selection.claims.size() < tasks) continue;
    const bool better = selection.claims.size() > best.claims.size() ||
                        (selection.claims.size() == best.claims.size() &&
                         selection.weighted_loss < best.weighted_loss);
    if (better) best = std::move(selection);
  }
  Result result;
  Selection applied;
  for (Claim& claim : best.claims) {
    result.victims.insert(result.victims.end(), claim.victims.begin(), claim.victims.end());
    Apply(std::move(claim), applied);
  }
  result.tasks = applied.claims.size();
  return result;
}

std::vector<std::string> VictimSelection::ExclusiveZones() const {
  std::vector<std::string> zones;
  if (!job_.spec.single_zone) return zones;
  for (const auto& [zone, placed] : job_.placed_by_zone) {
    if (placed > 0) return {zone};
  }
  for (const PreemptionTarget& target : targets_.all()) zones.push_back(target.machine->zone);
  std::sort(zones.begin(), zones.end());
  zones.erase(std::unique(zones.begin(), zones.end()), zones.end());
  return zones;
}

VictimSelection::Selection VictimSelection::SelectIn(const std::string& zone, size_t tasks) {
  Selection selection;
  ClaimFreeRoom(zone, tasks, selection);
  if (selection.claims.size() < tasks) ClaimByStops(zone, tasks, selection);
  return selection;
}

void VictimSelection::ClaimFreeRoom(const std::string& zone, size_t tasks, Selection& selection) {
  for (PreemptionTarget& target : targets_.all()) {
    if (selection.claims.size() == tasks) return;
    if (!cluster::Fits(task_, target.free) || !MayUse(target, zone)) continue;
    // Free room that is reserved for other jobs is of no use to this one.
    if (!filter_.MayTakeUnreserved(job_, *target.machine)) continue;
    while (cluster::Fits(task_, target.free) && AllowedInZone(target.machine->zone) > 0) {
      if (selection.claims.size() == tasks) return;
      Apply({&target, {}}, selection);
    }
  }
}

// A target is queued with a lower bound of the loss, since the stops themselves take far longer to
// find. They are found when the target's turn comes; the target is queued again with their loss if
// that is greater.
void VictimSelection::ClaimByStops(const std::string& zone, size_t tasks, Selection& selection) {
  std::priority_queue queue(std::greater<>(), FindCandidates(zone));
  while (!queue.empty() && selection.claims.size() < tasks) {
    const QueuedTarget queued = queue.top();
    queue.pop();
    PreemptionTarget& target = targets_.all()[queued.index];
    if (!MayUse(target, zone) || AllowedInZone(target.machine->zone) == 0) continue;
    auto stops = FindStops(target);
    if (!stops) continue;
    if (stops->weighted_loss > queued.weighted_loss) {
      queue.push({stops->weighted_loss, queued.index});
      continue;
    }
    Apply({&target, std::move(stops->victims)}, selection);
    queue.push({0, queued.index});
  }
}

std::vector<VictimSelection::QueuedTarget> VictimSelection::FindCandidates(
    const std::string& zone) {
  targets_.FindVictims();
  std::vector<QueuedTarget> candidates;
  for (size_t i = 0; i < targets_.all().size(); ++i) {
    PreemptionTarget& target = targets_.all()[i];
    const StoppableTasks& stoppable = target.StoppableBy(job_.spec.priority);
    // Room that is free already was claimed before, or is of no use to the job.
    if (cluster::Fits(task_, target.free)) continue;
    if (!cluster::Fits(task_, target.free + stoppable.resources)) continue;
    if (!zone.empty() && zone != target.machine->zone) continue;
    const double lacking_cpus = std::max(0.0, task_.cpus - target.free.cpus);
    candidates.push_back({lacking_cpus * stoppable.least_loss_per_cpu, i});
  }
  return candidates;
}

void VictimSelection::Apply(Claim claim, Selection& selection) {
  for (Victim* victim : claim.victims) {
    SetSelected(*claim.target, *victim, true);
    selection.weighted_loss += victim->weighted_loss;
  }
  claim.target->free -= task_;
  ++claimed_by_zone_[claim.target->machine->zone];
  selection.claims.push_back(std::move(claim));
}

void VictimSelection::Undo(const Selection& selection) {
  for (const Claim& claim : selection.claims) {
    claim.target->free += task_;
    --claimed_by_zone_[claim.target->machine->zone];
    for (Victim* victim : claim.victims) SetSelected(*claim.target, *victim, false);
  }
}

void VictimSelection::SetSelected(PreemptionTarget& target, Victim& victim, bool selected) {
  target.SetSelected(victim, selected);
  if (selected) {
    fair_share_.OnPreempted(*victim.job, victim.allocation->cpus);
  } else {
    fair_share_.OnAllocated(*victim.job, victim.allocation->cpus);
  }
}

std::optional<VictimSelection::Stops> VictimSelection::FindStops(PreemptionTarget& target) {
  Stops stops;
  Resources free = target.free;
  for (Victim& victim : target.victims) {
    if (cluster::Fits(task_, free)) break;
    if (!FreesWhatIsLacking(victim.resources(), task_, free)) continue;
    if (!MayStopFor(job_, victim, fair_share_)) continue;
    // The next victims are judged as if this one were stopped.
    fair_share_.OnPreempted(*victim.job, victim.allocation->cpus);
    free += victim.resources();
    stops.victims.push_back(&victim);
  }
  for (const Victim* victim : stops.victims) {
    fair_share_.OnAllocated(*victim->job, victim->allocation->cpus);
  }
  if (!cluster::Fits(task_, free)) return std::nullopt;
  RemoveNeedless(task_, free, stops.victims);
  for (const Victim* victim : stops.victims) stops.weighted_loss += victim->weighted_loss;
  return stops;
}

bool VictimSelection::MayUse(const PreemptionTarget& target, const std::string& zone) const {
  return (zone.empty() || zone == target.machine->zone) &&
         IsInTier(*target.machine, MachineTier::kInServiceOrCordoned) &&
         filter_.IsAllowedOn(job_, *target.machine, now_);
}

size_t VictimSelection::AllowedInZone(const std::string& zone) const {
  if (!job_.spec.spread_over_zones) return std::numeric_limits<size_t>::max();
  const size_t max_per_zone = (job_.spec.tasks + 1) / 2;
  const auto placed = job_.placed_by_zone.find(zone);
  const auto claimed = claimed_by_zone_.find(zone);
  const size_t used = (placed == job_.placed_by_zone.end() ? 0 : placed->second) +
                      (claimed == claimed_by_zone_.end() ? 0 : claimed->second);
  return max_per_zone - std::min(max_per_zone, used);
}

}  // namespace mosspath::scheduler
