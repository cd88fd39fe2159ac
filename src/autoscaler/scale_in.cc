#include "mosspath/autoscaler/scale_in.h"

#include <algorithm>

namespace mosspath::autoscaler {
namespace {

constexpr double kSlackCpus = 1e-6;
constexpr double kMinPrice = 1e-9;

MachineOffer OfferOf(const FleetMachine& machine) {
  return {machine.type, machine.zone, machine.spot};
}

// Work that the machine does for its price: a large machine is emptied before it holds but a few
// tasks.
double RemainingWorkPerPrice(const FleetMachine& machine, const wire::MachineType& type) {
  const double price = machine.spot ? type.spot_price : type.price;
  return machine.remaining_cpu_s / std::max(kMinPrice, price);
}

}  // namespace

ScaleInPlanner::ScaleInPlanner(const ScalingInput& input, const ScalingTuning& tuning,
                               const OfferCatalog& catalog,
                               const std::map<MachineOffer, PromisedRoom>& promised_room)
    : input_(input), tuning_(tuning), catalog_(catalog), promised_room_(promised_room) {}

ScaleInPlan ScaleInPlanner::Plan() {
  CountFreeRoom();
  required_free_cpus_ = RequiredFreeCpus();
  covered_by_spot_ = IsCoveredBySpot();
  ScaleInPlan plan;
  for (const Removable& candidate : DearestFirst()) {
    const FleetMachine& machine = *candidate.machine;
    if (!machine.schedulable) {
      if (machine.idle) plan.scale_in.push_back(machine.id);
      continue;
    }
    if (!CanSpare(candidate)) continue;
    RemoveRoom(candidate);
    GiveBack(candidate, plan);
  }
  return plan;
}

void ScaleInPlanner::CountFreeRoom() {
  for (const FleetMachine& machine : input_.machines) {
    const wire::MachineType* type = catalog_.FindType(machine.type);
    if (type == nullptr || !machine.schedulable) continue;
    const double free_cpus = FreeCpus(machine, *type);
    free_cpus_ += free_cpus;
    if (!machine.spot) on_demand_free_cpus_ += free_cpus;
    used_cpus_ += machine.used_cpus;
    useful_cpus_[OfferOf(machine)] += UsefulCpus(machine, *type);
  }
}

double ScaleInPlanner::RequiredFreeCpus() const {
  double cpus = input_.burst_cpus + tuning_.reserve * used_cpus_;
  for (const Demand& demand : input_.demand) {
    const PricedOffer* offer = catalog_.FindCheapest(demand);
    if (offer != nullptr) cpus += demand.waiting_tasks * TaskCpus(demand, *offer->type);
  }
  return cpus;
}

bool ScaleInPlanner::IsCoveredBySpot() const {
  const auto needs_on_demand = [](const Demand& demand) { return !demand.spot_allowed; };
  if (std::any_of(input_.demand.begin(), input_.demand.end(), needs_on_demand)) return false;
  double spot_cpus = 0;
  double on_demand_cpus = 0;
  for (const FleetMachine& machine : input_.machines) {
    const wire::MachineType* type = catalog_.FindType(machine.type);
    if (type == nullptr || !machine.up || !machine.schedulable) continue;
    (machine.spot ? spot_cpus : on_demand_cpus) += TypeCpus(*type);
  }
  return spot_cpus >= tuning_.spot_cover * on_demand_cpus;
}

std::vector<ScaleInPlanner::Removable> ScaleInPlanner::DearestFirst() const {
  std::vector<Removable> order;
  for (const FleetMachine& machine : input_.machines) {
    const wire::MachineType* type = catalog_.FindType(machine.type);
    if (type != nullptr && machine.up) order.push_back({&machine, type});
  }
  std::stable_sort(order.begin(), order.end(), [](const Removable& a, const Removable& b) {
    if (a.machine->spot != b.machine->spot) return !a.machine->spot;
    if (a.machine->draining != b.machine->draining) return a.machine->draining;
    return RemainingWorkPerPrice(*a.machine, *a.type) < RemainingWorkPerPrice(*b.machine, *b.type);
  });
  return order;
}

double ScaleInPlanner::UsefulCpus(const FleetMachine& machine,
                                  const wire::MachineType& type) const {
  const auto promised = promised_room_.find(OfferOf(machine));
  if (promised == promised_room_.end()) return 0;
  const double free_cpus = FreeCpus(machine, type);
  return free_cpus + kSlackCpus >= promised->second.min_piece_cpus ? free_cpus : 0;
}

bool ScaleInPlanner::IsReplacedBySpot(const Removable& candidate) const {
  const FleetMachine& machine = *candidate.machine;
  return covered_by_spot_ && !machine.spot && candidate.type->spot_price > 0 &&
         !machine.has_on_demand_work;
}

bool ScaleInPlanner::CanSpare(const Removable& candidate) const {
  const FleetMachine& machine = *candidate.machine;
  const double free_cpus = FreeCpus(machine, *candidate.type);
  const bool enough_left = free_cpus_ - free_cpus >= required_free_cpus_;
  if (!enough_left && !IsReplacedBySpot(candidate)) return false;
  const bool keeps_on_demand = !machine.spot && input_.on_demand_cpus > 0;
  if (keeps_on_demand && on_demand_free_cpus_ - free_cpus < input_.on_demand_cpus) return false;
  // Nor is room taken away that work waits for, and that no other has: with enough on machines
  // that it may not use, all that it may use was cordoned, and nothing was requested either.
  const double useful_cpus = UsefulCpus(machine, *candidate.type);
  if (useful_cpus <= 0) return true;
  const MachineOffer offer = OfferOf(machine);
  const double useful_left = useful_cpus_.at(offer) - useful_cpus;
  return useful_left >= promised_room_.at(offer).cpus - kSlackCpus;
}

void ScaleInPlanner::RemoveRoom(const Removable& candidate) {
  const FleetMachine& machine = *candidate.machine;
  const double free_cpus = FreeCpus(machine, *candidate.type);
  useful_cpus_[OfferOf(machine)] -= UsefulCpus(machine, *candidate.type);
  if (!machine.spot) on_demand_free_cpus_ -= free_cpus;
  free_cpus_ -= free_cpus;
}

void ScaleInPlanner::GiveBack(const Removable& candidate, ScaleInPlan& plan) const {
  const FleetMachine& machine = *candidate.machine;
  const bool replaced = IsReplacedBySpot(candidate);
  const double keep_idle_s = tuning_.keep_idle_boots * candidate.type->boot_s;
  if (machine.idle && (replaced || machine.idle_s >= keep_idle_s)) {
    plan.scale_in.push_back(machine.id);
  } else if (replaced) {
    plan.drain.push_back(machine.id);
  } else {
    plan.cordon.push_back(machine.id);
  }
}

}  // namespace mosspath::autoscaler
