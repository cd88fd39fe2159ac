#include "mosspath/autoscaler/scale_in.h"

#include <algorithm>

namespace mosspath::autoscaler {
namespace {

constexpr double kMinPrice = 1e-9;

// Returns the remaining work on the machine in relation to its price. Without the price, a large
// machine would be removed only when few tasks are left on it.
double RemainingWorkPerPrice(const FleetMachine& machine, const wire::MachineType& type) {
  const double price = machine.spot ? type.spot_price : type.price;
  return machine.remaining_cpu_s / std::max(kMinPrice, price);
}

}  // namespace

ScaleInPlanner::ScaleInPlanner(const ScalingInput& input, const ScalingTuning& tuning,
                               const OfferCatalog& catalog,
                               const std::unordered_set<const FleetMachine*>& allotted_machines)
    : input_(input), tuning_(tuning), catalog_(catalog), allotted_machines_(allotted_machines) {}

ScaleInPlan ScaleInPlanner::Plan() {
  CountFreeCapacity();
  required_free_cpus_ = RequiredFreeCpus();
  covered_by_spot_ = IsCoveredBySpot();
  ScaleInPlan plan;
  for (const Removable& candidate : InRemovalOrder()) {
    const FleetMachine& machine = *candidate.machine;
    if (!machine.schedulable) {
      if (machine.idle) plan.scale_in.push_back(machine.id);
      continue;
    }
    if (!CanRemove(candidate)) continue;
    SubtractCapacity(candidate);
    AddToPlan(candidate, plan);
  }
  return plan;
}

void ScaleInPlanner::CountFreeCapacity() {
  for (const FleetMachine& machine : input_.machines) {
    const wire::MachineType* type = catalog_.FindType(machine.type);
    if (type == nullptr || !machine.schedulable) continue;
    const double free_cpus = FreeCpus(machine, *type);
    free_cpus_ += free_cpus;
    if (!machine.spot) on_demand_free_cpus_ += free_cpus;
    used_cpus_ += UsedCpus(machine, *type);
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
  cluster::Resources spot;
  cluster::Resources on_demand;
  for (const FleetMachine& machine : input_.machines) {
    const wire::MachineType* type = catalog_.FindType(machine.type);
    if (type == nullptr || !machine.up || !machine.schedulable) continue;
    (machine.spot ? spot : on_demand) += cluster::TypeResources(*type);
  }
  return cluster::Fits(tuning_.spot_cover * on_demand, spot);
}

std::vector<ScaleInPlanner::Removable> ScaleInPlanner::InRemovalOrder() const {
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

bool ScaleInPlanner::IsReplacedBySpot(const Removable& candidate) const {
  const FleetMachine& machine = *candidate.machine;
  return covered_by_spot_ && !machine.spot && candidate.type->spot_price > 0 &&
         !machine.has_on_demand_work;
}

bool ScaleInPlanner::CanRemove(const Removable& candidate) const {
  const FleetMachine& machine = *candidate.machine;
  const double free_cpus = FreeCpus(machine, *candidate.type);
  const bool enough_left = free_cpus_ - free_cpus >= required_free_cpus_;
  if (!enough_left && !IsReplacedBySpot(candidate)) return false;
  const bool keeps_on_demand = !machine.spot && input_.on_demand_cpus > 0;
  if (keeps_on_demand && on_demand_free_cpus_ - free_cpus < input_.on_demand_cpus) return false;
  // Capacity that the scale-out plan has allotted to waiting work is not removed. Without this
  // rule, if the machines that the work may not use had enough free capacity, all machines that the
  // work may use were cordoned. No new machine was requested either, because the scale-out plan
  // still included the capacity of the cordoned machines.
  return !allotted_machines_.contains(&machine);
}

void ScaleInPlanner::SubtractCapacity(const Removable& candidate) {
  const FleetMachine& machine = *candidate.machine;
  const double free_cpus = FreeCpus(machine, *candidate.type);
  if (!machine.spot) on_demand_free_cpus_ -= free_cpus;
  free_cpus_ -= free_cpus;
}

void ScaleInPlanner::AddToPlan(const Removable& candidate, ScaleInPlan& plan) const {
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
