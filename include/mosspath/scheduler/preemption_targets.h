// The machines on which a preemption pass can make room, and the running tasks that it may stop
// there. No I/O; the time is an argument.
#pragma once

#include <array>
#include <vector>

#include "mosspath/cluster/cluster_state.h"
#include "mosspath/cluster/resources.h"
#include "mosspath/jobs/job.h"

namespace mosspath::scheduler {

// A running task that may be stopped.
struct Victim {
  double weighted_loss = 0;  // CPU seconds of work lost, weighted by priority
  cluster::Machine* machine = nullptr;
  cluster::Allocation* allocation = nullptr;
  const jobs::Job* job = nullptr;
  // Only jobs of at least this priority may have the task stopped.
  wire::Priority least_preemptor = wire::Priority::kHigh;
  bool selected = false;  // the task is to be stopped

  cluster::Resources resources() const {
    return {allocation->cpus, allocation->gpus, allocation->memory_gb};
  }
};

// The victims of one machine that are not selected and that jobs of one priority may have stopped.
struct StoppableTasks {
  cluster::Resources resources;
  // The least loss of any of them for each of its CPUs. Not raised when victims are selected.
  double least_loss_per_cpu = 0;
};

// A machine during one preemption pass.
struct PreemptionTarget {
  cluster::Machine* machine = nullptr;
  // Free resources once all requested stops have taken effect, less what is claimed for jobs that
  // were considered earlier in the pass.
  cluster::Resources free;
  std::vector<Victim> victims;                // those that lose the least come first
  std::array<StoppableTasks, 2> stoppable{};  // for jobs of high and of critical priority

  // `preemptor` is high or critical.
  StoppableTasks& StoppableBy(wire::Priority preemptor) {
    return stoppable[preemptor == wire::Priority::kCritical ? 1 : 0];
  }
  // Adds the victim, which loses at least as much as those that were added before.
  void AddVictim(const Victim& victim);
  // Counts the resources of the victim, which is one of this target, as free or as used again.
  void SetSelected(Victim& victim, bool selected);
};

// The targets of one pass. Not thread-safe.
class PreemptionTargets {
 public:
  // `cluster` outlives this object and keeps its machines and allocations meanwhile.
  PreemptionTargets(cluster::ClusterState& cluster, double now);

  std::vector<PreemptionTarget>& all() { return targets_; }
  // Finds the victims of all targets, unless it has done so before. Targets have none until then.
  void FindVictims();

 private:
  void FindVictimsOn(PreemptionTarget& target) const;

  cluster::ClusterState& cluster_;
  const double now_;
  std::vector<PreemptionTarget> targets_;
  bool victims_found_ = false;
};

// Returns whether the attempt is to be stopped, but has not ended yet.
bool IsStopping(const cluster::Allocation& allocation);

}  // namespace mosspath::scheduler
