// Which machines to give back: delete, drain or cordon. Pure.
//
// The dearest machines go first, of those the ones that are empty soonest, so that work gathers on
// the others. Enough room stays free on machines that take new work; what runs on the others ends
// by itself. (Room for that too kept twice the machines that were needed when a day's load fell.)
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
  std::vector<std::string> cordon;    // nor these, unless urgent work finds no room elsewhere
};

class ScaleInPlanner {
 public:
  // The arguments outlive the planner.
  ScaleInPlanner(const ScalingInput& input, const ScalingTuning& tuning,
                 const OfferCatalog& catalog,
                 const std::map<MachineOffer, PromisedRoom>& promised_room);

  // To be called once.
  ScaleInPlan Plan();

 private:
  // A machine that is up, with its type.
  struct Removable {
    const FleetMachine* machine = nullptr;
    const wire::MachineType* type = nullptr;
  };

  void CountFreeRoom();
  // CPUs that must stay free on machines that take new work.
  double RequiredFreeCpus() const;
  // Spot machines carry enough of the work for on-demand ones to go.
  bool IsCoveredBySpot() const;
  std::vector<Removable> DearestFirst() const;
  // Free room of the machine that waiting work counts on.
  double UsefulCpus(const FleetMachine& machine, const wire::MachineType& type) const;
  // An on-demand machine that is not worth its price, as spot machines carry the work.
  bool IsReplacedBySpot(const Removable& candidate) const;
  // Enough room stays free without the machine.
  bool CanSpare(const Removable& candidate) const;
  // Its room no longer counts.
  void RemoveRoom(const Removable& candidate);
  // Adds the machine, which can be spared, to the list that fits its state.
  void GiveBack(const Removable& candidate, ScaleInPlan& plan) const;

  const ScalingInput& input_;
  const ScalingTuning& tuning_;
  const OfferCatalog& catalog_;
  const std::map<MachineOffer, PromisedRoom>& promised_room_;
  double free_cpus_ = 0;            // on schedulable machines
  double on_demand_free_cpus_ = 0;  // of these, on on-demand machines
  double used_cpus_ = 0;            // on schedulable machines
  double required_free_cpus_ = 0;
  bool covered_by_spot_ = false;
  std::map<MachineOffer, double> useful_cpus_;  // what waiting work counts on and still has
};

}  // namespace mosspath::autoscaler
