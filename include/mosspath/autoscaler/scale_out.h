// Decides which machines to request. Free capacity is allotted to waiting work first; for the rest
// of that work, new machines of the cheapest offers are requested. Pure.
#pragma once

#include <map>
#include <string>
#include <unordered_set>
#include <vector>

#include "mosspath/autoscaler/free_capacity.h"
#include "mosspath/autoscaler/offer_catalog.h"
#include "mosspath/autoscaler/scaling_planner.h"

namespace mosspath::autoscaler {

struct ScaleOutPlan {
  std::vector<ScaleOutRequest> requests;
  // Machines whose free capacity the waiting work is to use.
  std::unordered_set<const FleetMachine*> allotted_machines;
  DemandSummary demand;
};

// Makes one plan from the machines and the waiting demand.
class ScaleOutPlanner {
 public:
  // The arguments outlive the planner.
  ScaleOutPlanner(const ScalingInput& input, const ScalingTuning& tuning,
                  const OfferCatalog& catalog);

  // Makes the plan. Must be called only once.
  ScaleOutPlan Plan();

 private:
  void CountMachines();
  // Returns the demands, ordered by how many offers can serve them. Capacity is allotted to demands
  // with few offers first, because they have the fewest alternatives.
  std::vector<const Demand*> FewestOffersFirst() const;
  // Returns the number of waiting tasks that need a machine now: enough to finish the waiting work
  // within the horizon. All waiting tasks of an urgent demand need a machine now. `offer`: the
  // cheapest offer that can serve the demand.
  double NeededTasks(const Demand& demand, const PricedOffer& offer) const;
  // Plans for `needed_tasks` tasks of the demand.
  void PlanDemand(const Demand& demand, double needed_tasks);
  // Chooses the zone for a demand whose tasks must share one: a zone with room for all needed
  // tasks, else a zone in which machines can be requested now; of several, the one with the most
  // room, and then the one with the fewest machines. Room in other zones is of no use to the
  // demand.
  std::string ChooseSingleZone(const Demand& demand, double needed_tasks) const;
  // Allots free capacity to the demand. Returns the tasks that found none.
  double AllotFreeCapacity(const Demand& demand, double needed_tasks);
  // Requests machines for `missing_tasks` tasks of the demand, from the cheapest offers that are
  // open.
  void RequestMachines(const Demand& demand, double missing_tasks);
  // Requests machines of equally cheap offers, spread evenly over the zones of these offers.
  // Returns the tasks that still lack a machine.
  double RequestEvenly(const Demand& demand, const std::vector<const PricedOffer*>& offers,
                       double missing_tasks);
  // Returns whether machines of the offer may be requested for the demand now.
  bool IsOpenFor(const Demand& demand, const PricedOffer& offer) const;

  const ScalingInput& input_;
  const ScalingTuning& tuning_;
  const OfferCatalog& catalog_;
  FreeCapacity free_capacity_;
  std::map<std::string, int> machines_by_zone_;  // schedulable or requested
  int machine_count_;                            // machines in any state, and requested machines
  std::map<MachineOffer, int> requested_;
  DemandSummary summary_;
};

}  // namespace mosspath::autoscaler
