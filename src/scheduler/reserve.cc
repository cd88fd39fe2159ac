#include "mosspath/scheduler/reserve.h"

#include <algorithm>

namespace mosspath::scheduler {
void Reserve::Came(const wire::JobSpec& spec, double submitted) {
  if (For(spec)) {
    arrivals_.push_back({submitted, {spec.tasks * spec.cpus, spec.tasks * spec.memory_gb}});
  }
}

Reserve::Size Reserve::Kept(double now, const cluster::Types& types) {
  double boot_s = 0;
  for (const auto& [name, t] : types.all()) boot_s = std::max(boot_s, t.boot_s);
  std::erase_if(arrivals_, [&](const Arrival& a) { return now - a.at > boots_ * boot_s; });
  Size kept;
  for (const Arrival& a : arrivals_) {
    kept.cpus += a.size.cpus;
    kept.memory_gb += a.size.memory_gb;
  }
  return kept;
}

void Reserve::Add(const cluster::Machine& m) {
  if (m.spot) return;
  free_.cpus += std::max(0.0, m.cpus - m.used_cpus);
  free_.memory_gb += std::max(0.0, m.memory_gb - m.used_memory_gb);
}

bool Reserve::MayTake(const wire::JobSpec& spec, const cluster::Machine& m) const {
  if (m.spot || !spec.spot) return true;
  return free_.cpus - spec.cpus >= kept_.cpus &&
         free_.memory_gb - spec.memory_gb >= kept_.memory_gb;
}

void Reserve::Took(const wire::JobSpec& spec, const cluster::Machine& m) {
  if (m.spot) return;
  free_.cpus -= spec.cpus;
  free_.memory_gb -= spec.memory_gb;
}

}  // namespace mosspath::scheduler
