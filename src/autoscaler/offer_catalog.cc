#include "mosspath/autoscaler/offer_catalog.h"

#include <algorithm>

namespace mosspath::autoscaler {
namespace {

constexpr double kMinTypeCpus = 1e-3;
constexpr double kTolerance = 1e-6;  // in CPUs, GPUs and GB

bool IsTypeAllowed(const Demand& demand, const std::string& type) {
  return demand.types.empty() ||
         std::find(demand.types.begin(), demand.types.end(), type) != demand.types.end();
}

}  // namespace

OfferCatalog::OfferCatalog(const std::vector<wire::MachineType>& types) {
  for (const wire::MachineType& type : types) {
    type_by_name_[type.name] = &type;
    for (const std::string& zone : type.zones) {
      if (type.spot_price > 0) {
        offers_.push_back({&type, zone, true, type.spot_price / TypeCpus(type)});
      }
      offers_.push_back({&type, zone, false, type.price / TypeCpus(type)});
    }
  }
  std::stable_sort(offers_.begin(), offers_.end(), [](const PricedOffer& a, const PricedOffer& b) {
    return a.price_per_cpu < b.price_per_cpu;
  });
}

const wire::MachineType* OfferCatalog::FindType(const std::string& name) const {
  const auto it = type_by_name_.find(name);
  return it == type_by_name_.end() ? nullptr : it->second;
}

const PricedOffer* OfferCatalog::FindCheapest(const Demand& demand) const {
  const auto it = std::find_if(offers_.begin(), offers_.end(),
                               [&](const PricedOffer& offer) { return Allows(demand, offer); });
  return it == offers_.end() ? nullptr : &*it;
}

bool Allows(const Demand& demand, const PricedOffer& offer) {
  const wire::MachineType& type = *offer.type;
  if (offer.spot && !demand.spot_allowed) return false;
  if (!demand.zone.empty() && demand.zone != offer.zone) return false;
  if (!IsTypeAllowed(demand, type.name)) return false;
  return demand.cpus <= type.cpus + kTolerance && demand.gpus <= type.gpus + kTolerance &&
         demand.memory_gb <= type.memory_gb + kTolerance;
}

double TypeCpus(const wire::MachineType& type) { return std::max(type.cpus, kMinTypeCpus); }

double TaskCpus(const Demand& demand, const wire::MachineType& type) {
  double fraction = demand.cpus / TypeCpus(type);
  if (type.memory_gb > 0) fraction = std::max(fraction, demand.memory_gb / type.memory_gb);
  if (type.gpus > 0) fraction = std::max(fraction, demand.gpus / type.gpus);
  return fraction * TypeCpus(type);
}

double FreeCpus(const FleetMachine& machine, const wire::MachineType& type) {
  return std::max(0.0, TypeCpus(type) - machine.used_cpus);
}

}  // namespace mosspath::autoscaler
