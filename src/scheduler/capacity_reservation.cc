#include "mosspath/scheduler/capacity_reservation.h"

#include <algorithm>

namespace mosspath::scheduler {
void CapacityReservation::OnSubmitted(const wire::JobSpec& spec, double submitted) {
  if (AppliesTo(spec)) {
    arrivals_.push_back({submitted, {spec.tasks * spec.cpus, spec.tasks * spec.memory_gb}});
  }
}

CapacityReservation::Resources CapacityReservation::Reserved(
    double now, const cluster::MachineTypeCatalog& types) {
  double boot_s = 0;
  for (const auto& [name, t] : types.all()) boot_s = std::max(boot_s, t.boot_s);
  std::erase_if(arrivals_, [&](const Arrival& a) { return now - a.at > boot_times_ * boot_s; });
  Resources kept;
  for (const Arrival& a : arrivals_) {
    kept.cpus += a.size.cpus;
    kept.memory_gb += a.size.memory_gb;
  }
  return kept;
}

void CapacityReservation::AddMachine(const cluster::Machine& m) {
  if (m.spot) return;
  free_.cpus += std::max(0.0, m.cpus - m.used_cpus);
  free_.memory_gb += std::max(0.0, m.memory_gb - m.used_memory_gb);
}

bool CapacityReservation::MayTake(const wire::JobSpec& spec, const cluster::Machine& m) const {
  if (m.spot || !spec.spot_allowed) return true;
  return free_.cpus - spec.cpus >= reserved_.cpus &&
         free_.memory_gb - spec.memory_gb >= reserved_.memory_gb;
}

void CapacityReservation::OnAllocated(const wire::JobSpec& spec, const cluster::Machine& m) {
  if (m.spot) return;
  free_.cpus -= spec.cpus;
  free_.memory_gb -= spec.memory_gb;
}

}  // namespace mosspath::scheduler
