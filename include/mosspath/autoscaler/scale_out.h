// Decides which machines to request. Free capacity is allotted to waiting work first; for the rest
// of that work, new machines of the cheapest offers are requested. Pure.
#pragma once

#include <limits>
#include <map>
#include <string>
#include <vector>

#include "mosspath/autoscaler/offer_catalog.h"
#include "mosspath/autoscaler/scaling_planner.h"

namespace mosspath::autoscaler {

// Free capacity on machines of one offer that is allotted to waiting work.
struct AllottedCapacity {
  double cpus = 0;
  // On a machine with fewer free CPUs, no task of the waiting work fits.
  double min_usable_cpus = std::numeric_limits<double>::infinity();
};

struct ScaleOutPlan {
  std::vector<ScaleOutRequest> requests;
  std::map<MachineOffer, AllottedCapacity> allotted_capacity;
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
  // Free capacity on the machines of one offer.
  struct FreeCapacity {
    double cpus = 0;
    double max_on_one_machine_cpus = 0;
  };

  void CountMachines();
  // Returns the demands, ordered by how many offers can serve them. Capacity is allotted to demands
  // with few offers first, because they have the fewest alternatives.
  std::vector<const Demand*> FewestOffersFirst() const;
  // Returns the CPUs that the demand needs: enough to finish the waiting work within the horizon,
  // but no more than are needed to run all waiting tasks at once. An urgent demand always needs the
  // CPUs to run all waiting tasks at once. `offer`: the cheapest offer that can serve the demand.
  double NeededCpus(const Demand& demand, const PricedOffer& offer) const;
  // Allots free capacity to the demand. Returns the CPUs that remain to be requested.
  double AllotFreeCapacity(const Demand& demand, double needed_cpus);
  // Requests machines with `missing_cpus` CPUs in total for the demand, from the cheapest offers
  // that are open.
  void RequestMachines(const Demand& demand, double missing_cpus);
  // Requests machines of equally cheap offers, spread evenly over the zones of these offers.
  // Returns the CPUs that are still missing.
  double RequestEvenly(const std::vector<const PricedOffer*>& offers, double missing_cpus);
  // Returns whether machines of the offer may be requested for the demand now.
  bool IsOpenFor(const Demand& demand, const PricedOffer& offer) const;

  const ScalingInput& input_;
  const ScalingTuning& tuning_;
  const OfferCatalog& catalog_;
  std::map<MachineOffer, FreeCapacity> free_capacity_;
  std::map<std::string, int> machines_by_zone_;  // schedulable or requested
  int machine_count_;                            // machines in any state, and requested machines
  std::map<MachineOffer, int> requested_;
  std::map<MachineOffer, AllottedCapacity> allotted_capacity_;
  DemandSummary summary_;
};

}  // namespace mosspath::autoscaler
