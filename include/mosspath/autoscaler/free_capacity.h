// The free capacity of the machines that take new tasks, by offer, and the waiting tasks to which
// it is allotted. Pure.
//
// Capacity is allotted as placement uses it: a task needs its CPUs, GPUs and memory at once and on
// one machine. Sums over machines, or over one resource, would show room where no task fits; the
// waiting tasks would then get no machine.
#pragma once

#include <cstddef>
#include <unordered_set>
#include <vector>

#include "mosspath/autoscaler/offer_catalog.h"
#include "mosspath/autoscaler/scaling_planner.h"
#include "mosspath/cluster/resources.h"

namespace mosspath::autoscaler {

class FreeCapacity {
 public:
  // The arguments outlive this object.
  FreeCapacity(const ScalingInput& input, const OfferCatalog& catalog);

  // Returns how many of at most `tasks` tasks of the demand would get capacity on machines of the
  // offer, which is one of the catalog.
  double RoomFor(const Demand& demand, const PricedOffer& offer, double tasks) const;
  // Allots capacity on machines of the offer, which is one of the catalog, to at most `tasks` tasks
  // of the demand. Returns the number of tasks that got capacity. A fraction of a task takes the
  // capacity of a whole task.
  double Allot(const Demand& demand, const PricedOffer& offer, double tasks);
  // Returns the machines on which capacity is allotted.
  const std::unordered_set<const FleetMachine*>& allotted_machines() const {
    return allotted_machines_;
  }

 private:
  struct Room {
    const FleetMachine* machine = nullptr;
    cluster::Resources free;
  };
  struct OfferRoom {
    // Machines with room for the smallest waiting task, in the order in which they are allotted.
    std::vector<Room> machines;
    // Tasks that fit on none of the machines. Larger tasks fit on none either.
    std::vector<cluster::Resources> too_large;
  };

  // Returns the position of the offer in the catalog.
  size_t IndexOf(const PricedOffer& offer) const {
    return static_cast<size_t>(&offer - catalog_.offers().data());
  }
  // Returns whether tasks that need `task` each are known to fit on no machine of the offer.
  static bool IsTooLarge(const cluster::Resources& task, const OfferRoom& room);
  bool HasRoomForSmallest(const cluster::Resources& free) const {
    return cluster::Fits(smallest_task_, free);
  }

  const OfferCatalog& catalog_;
  std::vector<OfferRoom> rooms_;  // by position of the offer in the catalog
  // The least CPUs, GPUs and memory of any waiting task.
  cluster::Resources smallest_task_;
  std::unordered_set<const FleetMachine*> allotted_machines_;
};

}  // namespace mosspath::autoscaler
