// Decides which machines to request: waiting work takes the free capacity first, then new machines
// of the cheapest offers. Pure.
#pragma once

#include <limits>
#include <map>
#include <string>
#include <vector>

#include "mosspath/autoscaler/offer_catalog.h"
#include "mosspath/autoscaler/scaling_planner.h"

namespace mosspath::autoscaler {

// Free capacity of an offer's machines that is allotted to waiting work.
struct AllottedCapacity {
  double cpus = 0;
  // A machine with fewer free CPUs is of no use to any of that work.
  double min_usable_cpus = std::numeric_limits<double>::infinity();
};

struct ScaleOutPlan {
  std::vector<ScaleOutRequest> requests;
  std::map<MachineOffer, AllottedCapacity> allotted_capacity;
};

// Makes one plan from the machines and the waiting demand.
class ScaleOutPlanner {
 public:
  // The arguments outlive the planner.
  ScaleOutPlanner(const ScalingInput& input, const ScalingTuning& tuning,
                  const OfferCatalog& catalog);

  // To be called once.
  ScaleOutPlan Plan();

 private:
  // Free capacity on the machines of one offer.
  struct FreeCapacity {
    double cpus = 0;
    double max_on_one_machine_cpus = 0;
  };

  void CountMachines();
  // The demands, ordered by how many offers can serve them. Those with the fewest offers choose
  // first, as they have no alternative.
  std::vector<const Demand*> FewestOffersFirst() const;
  // CPUs that the demand needs: enough to finish the waiting work within the horizon, but no more
  // than run all of it at once. `offer`: the cheapest one that can serve the demand.
  double NeededCpus(const Demand& demand, const PricedOffer& offer) const;
  // Allots free capacity to the demand. Returns the CPUs that remain to be requested.
  double AllotFreeCapacity(const Demand& demand, double needed_cpus);
  // Requests machines with this many CPUs for the demand, of the cheapest open offers.
  void RequestMachines(const Demand& demand, double missing_cpus);
  // Requests machines of equally cheap offers, spread evenly over their zones. Returns the CPUs
  // that are still missing.
  double RequestEvenly(const std::vector<const PricedOffer*>& offers, double missing_cpus);
  // Whether machines of the offer may be requested for the demand now.
  bool IsOpenFor(const Demand& demand, const PricedOffer& offer) const;

  const ScalingInput& input_;
  const ScalingTuning& tuning_;
  const OfferCatalog& catalog_;
  std::map<MachineOffer, FreeCapacity> free_capacity_;
  std::map<std::string, int> machines_by_zone_;  // schedulable or requested
  int machine_count_;                            // of any state, and requested ones
  std::map<MachineOffer, int> requested_;
  std::map<MachineOffer, AllottedCapacity> allotted_capacity_;
};

}  // namespace mosspath::autoscaler
