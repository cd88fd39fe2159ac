// Decides which machines to delete, drain or cordon. Pure.
//
// The most expensive machines are removed first, and among them those that will be empty soonest,
// so that work concentrates on the remaining machines. Enough capacity stays free on machines that
// take new tasks. Tasks on the removed machines run to their end there, so no capacity is kept free
// for them elsewhere: doing so kept twice the machines that were needed when a day's load fell.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "mosspath/autoscaler/offer_catalog.h"
#include "mosspath/autoscaler/scale_out.h"
#include "mosspath/autoscaler/scaling_planner.h"

namespace mosspath::autoscaler {

// Machines by name.
struct ScaleInPlan {
  std::vector<std::string> scale_in;  // idle, to be deleted now
  std::vector<std::string> drain;     // to take no new tasks
  std::vector<std::string> cordon;    // to take only urgent tasks that fit nowhere else
};

// Makes one plan from the machines and the waiting demand.
class ScaleInPlanner {
 public:
  // The arguments outlive the planner.
  ScaleInPlanner(const ScalingInput& input, const ScalingTuning& tuning,
                 const OfferCatalog& catalog,
                 const std::map<MachineOffer, AllottedCapacity>& allotted_capacity);

  // To be called once.
  ScaleInPlan Plan();

 private:
  // A machine that is up, with its type.
  struct Removable {
    const FleetMachine* machine = nullptr;
    const wire::MachineType* type = nullptr;
  };

  void CountFreeCapacity();
  // CPUs that must stay free on machines that take new tasks.
  double RequiredFreeCpus() const;
  // Whether on-demand machines may be removed in favour of spot machines: all waiting work may use
  // spot machines, and these have enough CPUs in relation to the on-demand machines.
  bool IsCoveredBySpot() const;
  // The machines that are up, in the order in which they are removed.
  std::vector<Removable> MostExpensiveFirst() const;
  // Free CPUs of the machine that waiting work may use, as the scale-out plan assumes.
  double UsefulCpus(const FleetMachine& machine, const wire::MachineType& type) const;
  // Whether the machine is an on-demand machine whose work spot machines can take over.
  bool IsReplacedBySpot(const Removable& candidate) const;
  // Whether enough capacity stays free without the machine.
  bool CanRemove(const Removable& candidate) const;
  // Subtracts the machine's free capacity from the totals.
  void SubtractCapacity(const Removable& candidate);
  // Adds the machine, which can be removed, to the list of the plan that fits its state.
  void AddToPlan(const Removable& candidate, ScaleInPlan& plan) const;

  const ScalingInput& input_;
  const ScalingTuning& tuning_;
  const OfferCatalog& catalog_;
  const std::map<MachineOffer, AllottedCapacity>& allotted_capacity_;
  double free_cpus_ = 0;            // on schedulable machines
  double on_demand_free_cpus_ = 0;  // of these, on on-demand machines
  double used_cpus_ = 0;            // on schedulable machines
  double required_free_cpus_ = 0;
  bool covered_by_spot_ = false;
  std::map<MachineOffer, double> useful_cpus_;  // free CPUs that waiting work may use
};

}  // namespace mosspath::autoscaler
