#include "mosspath/scheduler/capacity_reservation.h"

#include <algorithm>

namespace mosspath::scheduler {

void CapacityReservation::OnSubmitted(const wire::JobSpec& spec, double submitted_at) {
  if (AppliesTo(spec)) {
    arrivals_.push_back({submitted_at, {spec.tasks * spec.cpus, spec.tasks * spec.memory_gb}});
  }
}

CapacityReservation::Resources CapacityReservation::Reserved(
    double now, const cluster::MachineTypeCatalog& types) {
  double boot_s = 0;
  for (const auto& [name, type] : types.all()) boot_s = std::max(boot_s, type.boot_s);
  std::erase_if(arrivals_, [&](const Arrival& arrival) {
    return now - arrival.submitted_at > boot_times_ * boot_s;
  });
  Resources reserved;
  for (const Arrival& arrival : arrivals_) {
    reserved.cpus += arrival.resources.cpus;
    reserved.memory_gb += arrival.resources.memory_gb;
  }
  return reserved;
}

void CapacityReservation::AddMachine(const cluster::Machine& machine) {
  if (machine.spot) return;
  free_.cpus += std::max(0.0, machine.cpus - machine.used_cpus);
  free_.memory_gb += std::max(0.0, machine.memory_gb - machine.used_memory_gb);
}

bool CapacityReservation::MayTake(const wire::JobSpec& spec,
                                  const cluster::Machine& machine) const {
  if (machine.spot || !spec.spot_allowed) return true;
  return free_.cpus - spec.cpus >= reserved_.cpus &&
         free_.memory_gb - spec.memory_gb >= reserved_.memory_gb;
}

void CapacityReservation::OnAllocated(const wire::JobSpec& spec, const cluster::Machine& machine) {
  if (machine.spot) return;
  free_.cpus -= spec.cpus;
  free_.memory_gb -= spec.memory_gb;
}

}  // namespace mosspath::scheduler
