#include "mosspath/autoscaler/offer_catalog.h"

#include <algorithm>

namespace mosspath::autoscaler {
namespace {

constexpr double kMinTypeCpus = 1e-3;

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
        offers_.push_back({&type, {type.name, zone, true}, type.spot_price / TypeCpus(type)});
      }
      offers_.push_back({&type, {type.name, zone, false}, type.price / TypeCpus(type)});
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
  if (offer.key.spot && !demand.spot_allowed) return false;
  if (!demand.zone.empty() && demand.zone != offer.key.zone) return false;
  if (!IsTypeAllowed(demand, type.name)) return false;
  return cluster::Fits(demand.task(), cluster::TypeResources(type));
}

double TypeCpus(const wire::MachineType& type) { return std::max(type.cpus, kMinTypeCpus); }

double TaskCpus(const Demand& demand, const wire::MachineType& type) {
  return cluster::DominantShare(demand.task(), cluster::TypeResources(type)) * TypeCpus(type);
}

double TasksPerMachine(const Demand& demand, const wire::MachineType& type) {
  return cluster::TasksThatFit(demand.task(), cluster::TypeResources(type));
}

double UsedCpus(const FleetMachine& machine, const wire::MachineType& type) {
  const double share = cluster::DominantShare(machine.used(), cluster::TypeResources(type));
  return std::min(1.0, share) * TypeCpus(type);
}

double FreeCpus(const FleetMachine& machine, const wire::MachineType& type) {
  return TypeCpus(type) - UsedCpus(machine, type);
}

}  // namespace mosspath::autoscaler
