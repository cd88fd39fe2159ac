// The offers of machines, ordered by price, and the demands that they can serve. Pure.
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
  std::string zone;
  bool spot = false;
  double price_per_cpu = 0;

  MachineOffer key() const { return {type->name, zone, spot}; }
};

// All offers of the machine types.
class OfferCatalog {
 public:
  // The types outlive the catalog.
  explicit OfferCatalog(const std::vector<wire::MachineType>& types);

  // All offers, the cheapest per CPU first.
  const std::vector<PricedOffer>& offers() const { return offers_; }
  // The type of that name; null if there is none.
  const wire::MachineType* FindType(const std::string& name) const;
  // The cheapest offer that may serve the demand; null if none may.
  const PricedOffer* FindCheapest(const Demand& demand) const;

 private:
  std::vector<PricedOffer> offers_;
  std::map<std::string, const wire::MachineType*> type_by_name_;
};

// Whether a task of the demand may run on machines of the offer and fits on an empty one.
bool Allows(const Demand& demand, const PricedOffer& offer);
// CPUs of the type; never 0, so that a caller may divide by the result.
double TypeCpus(const wire::MachineType& type);
// CPUs of the type that one task takes, counting those that its memory and GPUs make unusable.
double TaskCpus(const Demand& demand, const wire::MachineType& type);
// CPUs that are free on a machine of the type; 0 if it is overcommitted.
double FreeCpus(const FleetMachine& machine, const wire::MachineType& type);

}  // namespace mosspath::autoscaler
