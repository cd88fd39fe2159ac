// The offers of machines, ordered by price, and which demands each offer can serve. Pure.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "mosspath/autoscaler/scaling_planner.h"
#include "mosspath/wire/messages.h"

namespace mosspath::autoscaler {

// A machine type in one zone, as spot or on-demand, with its price per CPU. The caller of the
// catalog owns the type.
struct PricedOffer {
  const wire::MachineType* type = nullptr;
  MachineOffer key;
  double price_per_cpu = 0;
};

// All offers of the machine types.
class OfferCatalog {
 public:
  // The types outlive the catalog.
  explicit OfferCatalog(const std::vector<wire::MachineType>& types);

  // Returns all offers, the cheapest per CPU first.
  const std::vector<PricedOffer>& offers() const { return offers_; }
  // Returns the type of that name, or null if there is no such type.
  const wire::MachineType* FindType(const std::string& name) const;
  // Returns the cheapest offer that can serve the demand, or null if no offer can.
  const PricedOffer* FindCheapest(const Demand& demand) const;

 private:
  std::vector<PricedOffer> offers_;
  std::map<std::string, const wire::MachineType*> type_by_name_;
};

// Returns whether a task of the demand may run on machines of the offer and fits on an empty
// machine of the offer.
bool Allows(const Demand& demand, const PricedOffer& offer);
// Returns the CPUs of a machine of the type; never 0, so that a caller may divide by the result.
double TypeCpus(const wire::MachineType& type);
// Returns the CPUs of a machine of the type that one task takes, including the CPUs that no other
// task can use because of the memory and GPUs of this task.
double TaskCpus(const Demand& demand, const wire::MachineType& type);
// Returns how many tasks of the demand an empty machine of the type can run at once. At least 1 if
// the type can serve the demand.
double TasksPerMachine(const Demand& demand, const wire::MachineType& type);
// Returns the CPUs of the machine, which is of the type, that its tasks take, as TaskCpus counts
// them. At most the CPUs of the type.
double UsedCpus(const FleetMachine& machine, const wire::MachineType& type);
// Returns the CPUs of the machine that are left for tasks: none if its memory or its GPUs are used
// up.
double FreeCpus(const FleetMachine& machine, const wire::MachineType& type);

}  // namespace mosspath::autoscaler
