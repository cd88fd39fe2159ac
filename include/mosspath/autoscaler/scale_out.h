// Which machines to request: waiting work takes the free room there is, then new machines of the
// cheapest offers. Pure.
#pragma once

#include <limits>
#include <map>
#include <string>
#include <vector>

#include "mosspath/autoscaler/offer_catalog.h"
#include "mosspath/autoscaler/scaling_planner.h"

namespace mosspath::autoscaler {

// Free room of an offer's machines that waiting work counts on.
struct PromisedRoom {
  double cpus = 0;
  // The least free room of one machine that is of use to any of that work.
  double min_piece_cpus = std::numeric_limits<double>::infinity();
};

struct ScaleOutPlan {
  std::vector<ScaleOutRequest> requests;
  std::map<MachineOffer, PromisedRoom> promised_room;
};

class ScaleOutPlanner {
 public:
  // The arguments outlive the planner.
  ScaleOutPlanner(const ScalingInput& input, const ScalingTuning& tuning,
                  const OfferCatalog& catalog);

  // To be called once.
  ScaleOutPlan Plan();

 private:
  // Free room on the machines of one offer.
  struct FreeRoom {
    double cpus = 0;
    double max_on_one_machine_cpus = 0;
  };

  void CountMachines();
  // Demands that the fewest offers can serve first: they have the least choice.
  std::vector<const Demand*> NarrowestFirst() const;
  // CPUs that should come for the demand: to run the waiting work within the horizon, but not more
  // than all of it at once. `offer`: the cheapest one for it.
  double NeededCpus(const Demand& demand, const PricedOffer& offer) const;
  // Promises free room to the demand. Returns the CPUs that it found none for.
  double TakeFreeRoom(const Demand& demand, double needed_cpus);
  // Requests machines for these CPUs.
  void RequestMachines(const Demand& demand, double missing_cpus);
  // Requests machines of equally cheap offers, spread evenly over their zones. Returns what is
  // still missing.
  double RequestEvenly(const std::vector<const PricedOffer*>& offers, double missing_cpus);
  bool IsOpenFor(const Demand& demand, const PricedOffer& offer) const;

  const ScalingInput& input_;
  const ScalingTuning& tuning_;
  const OfferCatalog& catalog_;
  std::map<MachineOffer, FreeRoom> free_room_;
  std::map<std::string, int> machines_by_zone_;  // schedulable or requested
  int machine_count_;                            // of any state, and requested ones
  std::map<MachineOffer, int> requested_;
  std::map<MachineOffer, PromisedRoom> promised_room_;
};

}  // namespace mosspath::autoscaler
