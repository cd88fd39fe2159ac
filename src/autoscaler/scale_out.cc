#include "mosspath/autoscaler/scale_out.h"

#include <algorithm>

namespace mosspath::autoscaler {
namespace {

constexpr double kToleranceCpus = 1e-6;
// Offers are equally cheap if their prices per CPU differ by at most this factor.
constexpr double kSamePriceFactor = 1.0001;

struct RankedDemand {
  const Demand* demand = nullptr;
  std::ptrdiff_t offer_count = 0;  // offers that can serve the demand
};

}  // namespace

ScaleOutPlanner::ScaleOutPlanner(const ScalingInput& input, const ScalingTuning& tuning,
                                 const OfferCatalog& catalog)
    : input_(input),
      tuning_(tuning),
      catalog_(catalog),
      machine_count_(static_cast<int>(input.machines.size())) {}

ScaleOutPlan ScaleOutPlanner::Plan() {
  CountMachines();
  for (const Demand* demand : FewestOffersFirst()) {
    const PricedOffer* cheapest = catalog_.FindCheapest(*demand);
    if (cheapest == nullptr) continue;
    const double task_cpus = TaskCpus(*demand, *cheapest->type);
    const double needed_cpus = NeededCpus(*demand, *cheapest);
    const double missing_cpus = AllotFreeCapacity(*demand, needed_cpus);
    summary_.waiting += demand->waiting_tasks;
    if (task_cpus > 0) {
      summary_.needed += needed_cpus / task_cpus;
      summary_.with_room += (needed_cpus - missing_cpus) / task_cpus;
    }
    RequestMachines(*demand, missing_cpus);
  }
  ScaleOutPlan plan;
  for (const auto& [offer, count] : requested_) {
    const auto& [type, zone, spot] = offer;
    plan.requests.push_back({type, zone, spot, count});
  }
  plan.allotted_capacity = std::move(allotted_capacity_);
  plan.demand = summary_;
  return plan;
}

void ScaleOutPlanner::CountMachines() {
  for (const FleetMachine& machine : input_.machines) {
    const wire::MachineType* type = catalog_.FindType(machine.type);
    if (type == nullptr || !machine.schedulable) continue;
    const double free_cpus = FreeCpus(machine, *type);
    FreeCapacity& capacity = free_capacity_[{machine.type, machine.zone, machine.spot}];
    capacity.cpus += free_cpus;
    capacity.max_on_one_machine_cpus = std::max(capacity.max_on_one_machine_cpus, free_cpus);
    ++machines_by_zone_[machine.zone];
  }
}

std::vector<const Demand*> ScaleOutPlanner::FewestOffersFirst() const {
  std::vector<RankedDemand> ranked;
  for (const Demand& demand : input_.demand) {
    const auto allows = [&](const PricedOffer& offer) { return Allows(demand, offer); };
    const auto& offers = catalog_.offers();
    ranked.push_back({&demand, std::count_if(offers.begin(), offers.end(), allows)});
  }
  std::stable_sort(ranked.begin(), ranked.end(), [](const RankedDemand& a, const RankedDemand& b) {
    return a.offer_count < b.offer_count;
  });
  std::vector<const Demand*> order;
  order.reserve(ranked.size());
  for (const RankedDemand& entry : ranked) order.push_back(entry.demand);
  return order;
}

double ScaleOutPlanner::NeededCpus(const Demand& demand, const PricedOffer& offer) const {
  const double task_cpus = TaskCpus(demand, *offer.type);
  const double all_at_once = demand.waiting_tasks * task_cpus;
  if (demand.urgent) return all_at_once;
  const double horizon_s = std::max(1.0, tuning_.horizon_boots * offer.type->boot_s);
  const double within_horizon = demand.waiting_run_s * task_cpus / horizon_s;
  return std::min(all_at_once, std::max(within_horizon, task_cpus));
}

double ScaleOutPlanner::AllotFreeCapacity(const Demand& demand, double needed_cpus) {
  double missing_cpus = needed_cpus;
  for (const PricedOffer& offer : catalog_.offers()) {
    if (!Allows(demand, offer)) continue;
    const double task_cpus = TaskCpus(demand, *offer.type);
    FreeCapacity& capacity = free_capacity_[offer.key()];
    // Free CPUs of an offer are allotted only if at least one of its machines has room for a whole
    // task. Without this rule, a replica waited forever, because the free capacity was spread over
    // machines in pieces that were too small for the replica.
    if (capacity.max_on_one_machine_cpus + kToleranceCpus < task_cpus) continue;
    const double taken = std::min(capacity.cpus, missing_cpus);
    capacity.cpus -= taken;
    missing_cpus -= taken;
    if (taken <= 0) continue;
    AllottedCapacity& allotted = allotted_capacity_[offer.key()];
    allotted.cpus += taken;
    allotted.min_usable_cpus = std::min(allotted.min_usable_cpus, task_cpus);
  }
  return missing_cpus;
}

void ScaleOutPlanner::RequestMachines(const Demand& demand, double missing_cpus) {
  const std::vector<PricedOffer>& offers = catalog_.offers();
  size_t begin = 0;
  while (begin < offers.size() && missing_cpus > kToleranceCpus) {
    const double max_price = offers[begin].price_per_cpu * kSamePriceFactor;
    std::vector<const PricedOffer*> open;
    size_t end = begin;
    for (; end < offers.size() && offers[end].price_per_cpu <= max_price; ++end) {
      if (IsOpenFor(demand, offers[end])) open.push_back(&offers[end]);
    }
    if (!open.empty()) missing_cpus = RequestEvenly(open, missing_cpus);
    begin = end;
  }
}

bool ScaleOutPlanner::IsOpenFor(const Demand& demand, const PricedOffer& offer) const {
  const auto closed = input_.closed_until.find(offer.key());
  if (closed != input_.closed_until.end() && closed->second > input_.now) return false;
  // On-demand machines are not requested as a substitute while the cloud has no capacity for spot
  // machines of the type.
  if (!offer.spot && demand.spot_allowed && offer.type->spot_price > 0) return false;
  return Allows(demand, offer);
}

double ScaleOutPlanner::RequestEvenly(const std::vector<const PricedOffer*>& offers,
                                      double missing_cpus) {
  while (missing_cpus > kToleranceCpus && machine_count_ < tuning_.max_machines) {
    const PricedOffer& offer = **std::min_element(
        offers.begin(), offers.end(), [&](const PricedOffer* a, const PricedOffer* b) {
          return machines_by_zone_[a->zone] < machines_by_zone_[b->zone];
        });
    ++requested_[offer.key()];
    ++machines_by_zone_[offer.zone];
    ++machine_count_;
    missing_cpus -= TypeCpus(*offer.type);
  }
  return missing_cpus;
}

}  // namespace mosspath::autoscaler
