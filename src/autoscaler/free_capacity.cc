#include "mosspath/autoscaler/free_capacity.h"

#include <algorithm>
#include <cmath>
#include <map>

namespace mosspath::autoscaler {

using cluster::Resources;

namespace {

constexpr double kTaskTolerance = 1e-6;

Resources SmallestTask(const std::vector<Demand>& demands) {
  if (demands.empty()) return {};
  Resources smallest = demands.front().task();
  for (const Demand& demand : demands) {
    smallest.cpus = std::min(smallest.cpus, demand.cpus);
    smallest.gpus = std::min(smallest.gpus, demand.gpus);
    smallest.memory_gb = std::min(smallest.memory_gb, demand.memory_gb);
  }
  return smallest;
}

// Whether capacity is allotted on `a` before `b`: on machines that are up before booting machines,
// and on the machines that scale-in would remove last before the others.
bool IsAllottedBefore(const FleetMachine& a, const FleetMachine& b) {
  if (a.up != b.up) return a.up;
  if (a.draining != b.draining) return b.draining;
  return a.remaining_cpu_s > b.remaining_cpu_s;
}

}  // namespace

FreeCapacity::FreeCapacity(const ScalingInput& input, const OfferCatalog& catalog)
    : catalog_(catalog),
      rooms_(catalog.offers().size()),
      smallest_task_(SmallestTask(input.demand)) {
  if (input.demand.empty()) return;
  std::map<MachineOffer, size_t> index_by_offer;
  for (const PricedOffer& offer : catalog.offers()) index_by_offer[offer.key] = IndexOf(offer);
  for (const FleetMachine& machine : input.machines) {
    const auto index = index_by_offer.find({machine.type, machine.zone, machine.spot});
    if (index == index_by_offer.end() || !machine.schedulable) continue;
    const wire::MachineType& type = *catalog.offers()[index->second].type;
    const Resources free = cluster::TypeResources(type) - machine.used();
    if (HasRoomForSmallest(free)) rooms_[index->second].machines.push_back({&machine, free});
  }
  for (OfferRoom& room : rooms_) {
    std::stable_sort(room.machines.begin(), room.machines.end(), [](const Room& a, const Room& b) {
      return IsAllottedBefore(*a.machine, *b.machine);
    });
  }
}

bool FreeCapacity::IsTooLarge(const Resources& task, const OfferRoom& room) {
  return std::any_of(room.too_large.begin(), room.too_large.end(), [&](const Resources& too_large) {
    return task.cpus >= too_large.cpus && task.gpus >= too_large.gpus &&
           task.memory_gb >= too_large.memory_gb;
  });
}

double FreeCapacity::RoomFor(const Demand& demand, const PricedOffer& offer, double tasks) const {
  const OfferRoom& room = rooms_[IndexOf(offer)];
  const Resources task = demand.task();
  if (room.machines.empty() || IsTooLarge(task, room)) return 0;
  double fitting = 0;
  for (const Room& candidate : room.machines) {
    if (fitting >= tasks) break;
    fitting += cluster::TasksThatFit(task, candidate.free);
  }
  return std::min(fitting, tasks);
}

double FreeCapacity::Allot(const Demand& demand, const PricedOffer& offer, double tasks) {
  OfferRoom& room = rooms_[IndexOf(offer)];
  const Resources task = demand.task();
  if (room.machines.empty() || IsTooLarge(task, room)) return 0;
  double left = tasks;
  for (Room& candidate : room.machines) {
    if (left <= kTaskTolerance) break;
    const double fitting = cluster::TasksThatFit(task, candidate.free);
    if (fitting < 1) continue;
    const double taken = std::min(fitting, std::ceil(left - kTaskTolerance));
    candidate.free -= taken * task;
    left -= taken;
    allotted_machines_.insert(candidate.machine);
  }
  if (left > kTaskTolerance) room.too_large.push_back(task);
  const double allotted = tasks - std::max(0.0, left);
  if (allotted > 0) {
    std::erase_if(room.machines, [&](const Room& r) { return !HasRoomForSmallest(r.free); });
  }
  return allotted;
}

}  // namespace mosspath::autoscaler
