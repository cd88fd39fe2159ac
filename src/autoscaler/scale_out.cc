#include "mosspath/autoscaler/scale_out.h"

#include <algorithm>

namespace mosspath::autoscaler {
namespace {

constexpr double kTaskTolerance = 1e-6;
// Offers are equally cheap if their prices per CPU differ by at most this factor.
constexpr double kSamePriceFactor = 1.0001;

struct RankedDemand {
  const Demand* demand = nullptr;
  std::ptrdiff_t offer_count = 0;  // offers that can serve the demand
};

// What a zone offers to a demand whose tasks must share one. The larger value is the better zone.
struct ZoneRoom {
  bool fits_all = false;  // all needed tasks have room
  bool is_open = false;   // machines for the demand can be requested now
  double tasks = 0;       // needed tasks that have room
  int negated_machines = 0;

  auto operator<=>(const ZoneRoom&) const = default;
};

}  // namespace

ScaleOutPlanner::ScaleOutPlanner(const ScalingInput& input, const ScalingTuning& tuning,
                                 const OfferCatalog& catalog)
    : input_(input),
      tuning_(tuning),
      catalog_(catalog),
      free_capacity_(input, catalog),
      machine_count_(static_cast<int>(input.machines.size())) {}

ScaleOutPlan ScaleOutPlanner::Plan() {
  CountMachines();
  for (const Demand* demand : FewestOffersFirst()) {
    const PricedOffer* cheapest = catalog_.FindCheapest(*demand);
    if (cheapest == nullptr) continue;
    const double needed_tasks = NeededTasks(*demand, *cheapest);
    if (!demand->single_zone) {
      PlanDemand(*demand, needed_tasks);
      continue;
    }
    Demand in_zone = *demand;
    in_zone.zone = ChooseSingleZone(*demand, needed_tasks);
    PlanDemand(in_zone, needed_tasks);
  }
  ScaleOutPlan plan;
  for (const auto& [offer, count] : requested_) {
    const auto& [type, zone, spot] = offer;
    plan.requests.push_back({type, zone, spot, count});
  }
  plan.allotted_machines = free_capacity_.allotted_machines();
  plan.demand = summary_;
  return plan;
}

void ScaleOutPlanner::CountMachines() {
  for (const FleetMachine& machine : input_.machines) {
    const bool known_type = catalog_.FindType(machine.type) != nullptr;
    if (known_type && machine.schedulable) ++machines_by_zone_[machine.zone];
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

double ScaleOutPlanner::NeededTasks(const Demand& demand, const PricedOffer& offer) const {
  if (demand.urgent) return demand.waiting_tasks;
  const double horizon_s = std::max(1.0, tuning_.horizon_boots * offer.type->boot_s);
  return std::min(demand.waiting_tasks, std::max(1.0, demand.waiting_run_s / horizon_s));
}

void ScaleOutPlanner::PlanDemand(const Demand& demand, double needed_tasks) {
  const double missing_tasks = AllotFreeCapacity(demand, needed_tasks);
  summary_.waiting += demand.waiting_tasks;
  summary_.needed += needed_tasks;
  summary_.with_room += needed_tasks - missing_tasks;
  RequestMachines(demand, missing_tasks);
}

std::string ScaleOutPlanner::ChooseSingleZone(const Demand& demand, double needed_tasks) const {
  std::map<std::string, ZoneRoom> room_by_zone;
  for (const PricedOffer& offer : catalog_.offers()) {
    if (!Allows(demand, offer)) continue;
    ZoneRoom& room = room_by_zone[offer.key.zone];
    room.tasks += free_capacity_.RoomFor(demand, offer, needed_tasks - room.tasks);
    room.is_open = room.is_open || IsOpenFor(demand, offer);
  }
  for (auto& [zone, room] : room_by_zone) {
    room.fits_all = room.tasks >= needed_tasks - kTaskTolerance;
    const auto machines = machines_by_zone_.find(zone);
    room.negated_machines = machines == machines_by_zone_.end() ? 0 : -machines->second;
  }
  const auto best =
      std::max_element(room_by_zone.begin(), room_by_zone.end(),
                       [](const auto& a, const auto& b) { return a.second < b.second; });
  return best == room_by_zone.end() ? std::string() : best->first;
}

double ScaleOutPlanner::AllotFreeCapacity(const Demand& demand, double needed_tasks) {
  double missing_tasks = needed_tasks;
  for (const PricedOffer& offer : catalog_.offers()) {
    if (missing_tasks <= kTaskTolerance) break;
    if (!Allows(demand, offer)) continue;
    missing_tasks -= free_capacity_.Allot(demand, offer, missing_tasks);
  }
  return missing_tasks;
}

void ScaleOutPlanner::RequestMachines(const Demand& demand, double missing_tasks) {
  const std::vector<PricedOffer>& offers = catalog_.offers();
  size_t begin = 0;
  while (begin < offers.size() && missing_tasks > kTaskTolerance) {
    const double max_price = offers[begin].price_per_cpu * kSamePriceFactor;
    std::vector<const PricedOffer*> open;
    size_t end = begin;
    for (; end < offers.size() && offers[end].price_per_cpu <= max_price; ++end) {
      if (IsOpenFor(demand, offers[end])) open.push_back(&offers[end]);
    }
    if (!open.empty()) missing_tasks = RequestEvenly(demand, open, missing_tasks);
    begin = end;
  }
}

bool ScaleOutPlanner::IsOpenFor(const Demand& demand, const PricedOffer& offer) const {
  const auto closed = input_.closed_until.find(offer.key);
  if (closed != input_.closed_until.end() && closed->second > input_.now) return false;
  // On-demand machines are not requested as a substitute while the cloud has no capacity for spot
  // machines of the type.
  if (!offer.key.spot && demand.spot_allowed && offer.type->spot_price > 0) return false;
  return Allows(demand, offer);
}

double ScaleOutPlanner::RequestEvenly(const Demand& demand,
                                      const std::vector<const PricedOffer*>& offers,
                                      double missing_tasks) {
  while (missing_tasks > kTaskTolerance && machine_count_ < tuning_.max_machines) {
    const PricedOffer& offer = **std::min_element(
        offers.begin(), offers.end(), [&](const PricedOffer* a, const PricedOffer* b) {
          return machines_by_zone_[a->key.zone] < machines_by_zone_[b->key.zone];
        });
    ++requested_[offer.key];
    ++machines_by_zone_[offer.key.zone];
    ++machine_count_;
    missing_tasks -= TasksPerMachine(demand, *offer.type);
  }
  return missing_tasks;
}

}  // namespace mosspath::autoscaler
