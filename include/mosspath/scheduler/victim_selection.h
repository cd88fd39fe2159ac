// Selection of the running tasks whose stop makes room for waiting tasks of one job. No I/O; the
// time is an argument.
//
// A waiting task needs its CPUs, GPUs and memory at once and on one machine that its job may use. A
// stop that does not make such room would be in vain: the stopped task would be placed in the freed
// room again, and be stopped again.
#pragma once

#include <compare>
#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "mosspath/cluster/resources.h"
#include "mosspath/jobs/job.h"
#include "mosspath/scheduler/fair_share.h"
#include "mosspath/scheduler/machine_filter.h"
#include "mosspath/scheduler/preemption_targets.h"

namespace mosspath::scheduler {

// Returns whether the job may have the victim stopped.
bool MayStopFor(const jobs::Job& job, const Victim& victim, const FairShare& fair_share);

// Selects victims for one job. All arguments of the constructor outlive this object.
class VictimSelection {
 public:
  struct Result {
    size_t tasks = 0;              // tasks for which room is claimed
    std::vector<Victim*> victims;  // to be stopped
  };

  VictimSelection(PreemptionTargets& targets, const MachineFilter& filter, FairShare& fair_share,
                  const jobs::Job& job, double now);

  // Claims room for as many of `tasks` waiting tasks of the job as possible: first room that is
  // free or will be, then room that is made by stops, of which those that lose the least come
  // first. A gang gets room for all its tasks or none. Marks the victims as selected.
  Result MakeRoom(size_t tasks);

 private:
  // Room for one waiting task.
  struct Claim {
    PreemptionTarget* target = nullptr;
    std::vector<Victim*> victims;
  };
  // The claims that were made in one zone, or in all zones.
  struct Selection {
    std::vector<Claim> claims;
    double weighted_loss = 0;
  };
  // A target that is tried once its turn comes: targets with the least loss come first.
  struct QueuedTarget {
    double weighted_loss = 0;  // at most the loss of the stops that make room on the target
    size_t index = 0;          // in targets_

    auto operator<=>(const QueuedTarget&) const = default;
  };
  // The stops that make room for one task on the target.
  struct Stops {
    std::vector<Victim*> victims;
    double weighted_loss = 0;
  };

  // Returns the only zones of which the job may use one, or nothing if it may use all at once.
  std::vector<std::string> ExclusiveZones() const;
  // Claims room in the zone; in all zones if `zone` is empty.
  Selection SelectIn(const std::string& zone, size_t tasks);
  void ClaimFreeRoom(const std::string& zone, size_t tasks, Selection& selection);
  void ClaimByStops(const std::string& zone, size_t tasks, Selection& selection);
  void Apply(Claim claim, Selection& selection);
  // Takes back all claims of the selection.
  void Undo(const Selection& selection);
  void SetSelected(PreemptionTarget& target, Victim& victim, bool selected);
  // Returns the targets of the zone on which stops could make room for one task.
  std::vector<QueuedTarget> FindCandidates(const std::string& zone);
  // Returns the stops that make room for one task on the target, or nullopt if no stops do. Empty
  // if the task fits without a stop.
  std::optional<Stops> FindStops(PreemptionTarget& target);
  bool MayUse(const PreemptionTarget& target, const std::string& zone) const;
  // Returns how many more tasks of the job may be placed in the zone.
  size_t AllowedInZone(const std::string& zone) const;

  PreemptionTargets& targets_;
  const MachineFilter& filter_;
  FairShare& fair_share_;
  const jobs::Job& job_;
  const double now_;
  const cluster::Resources task_;
  std::map<std::string, size_t> claimed_by_zone_;
};

}  // namespace mosspath::scheduler
