// Decides which machines to delete, drain or cordon. Pure.
//
// On-demand machines are removed before spot machines. Within each group, machines that already
// drain come first, and then those with the least remaining work in relation to their price, so
// that work concentrates on the other machines. Enough capacity stays free on machines that take
// new tasks. No free capacity is kept for the tasks on the removed machines, because these tasks
// may run to their end there: keeping such capacity left twice the machines that were needed when a
// day's load fell.
#pragma once

#include <string>
#include <unordered_set>
#include <vector>

#include "mosspath/autoscaler/offer_catalog.h"
#include "mosspath/autoscaler/scaling_planner.h"

namespace mosspath::autoscaler {

// Names of machines.
struct ScaleInPlan {
  std::vector<std::string> scale_in;  // idle machines, to be deleted now
  std::vector<std::string> drain;     // machines that are to take no new tasks
  std::vector<std::string> cordon;    // machines that take only urgent tasks that fit nowhere else
};

// Makes one plan from the machines and the waiting demand.
class ScaleInPlanner {
 public:
  // The arguments outlive the planner.
  ScaleInPlanner(const ScalingInput& input, const ScalingTuning& tuning,
                 const OfferCatalog& catalog,
                 const std::unordered_set<const FleetMachine*>& allotted_machines);

  // Makes the plan. Must be called only once.
  ScaleInPlan Plan();

 private:
  // A machine that is up, with its type.
  struct Removable {
    const FleetMachine* machine = nullptr;
    const wire::MachineType* type = nullptr;
  };

  void CountFreeCapacity();
  // Returns the CPUs that must stay free on machines that take new tasks.
  double RequiredFreeCpus() const;
  // Returns whether on-demand machines may be removed in favor of spot machines: all waiting work
  // may use spot machines, and the spot machines have at least ScalingTuning::spot_cover times the
  // CPUs, GPUs and memory of the on-demand machines.
  bool IsCoveredBySpot() const;
  // Returns the machines that are up, in the order in which they are removed.
  std::vector<Removable> InRemovalOrder() const;
  // Returns whether the machine is an on-demand machine whose work spot machines can take over.
  bool IsReplacedBySpot(const Removable& candidate) const;
  // Returns whether the machine may be removed. Without it, enough CPUs must stay free, unless spot
  // machines replace the machine; enough on-demand CPUs must stay free; and the machine must have
  // no capacity that is allotted to waiting work.
  bool CanRemove(const Removable& candidate) const;
  // Subtracts the machine's free capacity from the totals.
  void SubtractCapacity(const Removable& candidate);
  // Adds the machine to one list of the plan: to be deleted if it is idle for long enough, to be
  // drained if spot machines replace it, and to be cordoned otherwise.
  void AddToPlan(const Removable& candidate, ScaleInPlan& plan) const;

  const ScalingInput& input_;
  const ScalingTuning& tuning_;
  const OfferCatalog& catalog_;
  const std::unordered_set<const FleetMachine*>& allotted_machines_;
  double free_cpus_ = 0;            // on schedulable machines
  double on_demand_free_cpus_ = 0;  // on schedulable on-demand machines
  double used_cpus_ = 0;            // on schedulable machines
  double required_free_cpus_ = 0;
  bool covered_by_spot_ = false;
};

}  // namespace mosspath::autoscaler
