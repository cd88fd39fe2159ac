#include "mosspath/admission/runnable.h"

#include <algorithm>
#include <set>

namespace mosspath::admission {
namespace {

constexpr double kRoundingTolerance = 1e-9;

// Returns whether the machine type is allowed for the job and large enough for one of its tasks.
bool FitsType(const wire::MachineType& type, const wire::JobSpec& spec) {
  if (spec.types &&
      std::find(spec.types->begin(), spec.types->end(), type.name) == spec.types->end()) {
    return false;
  }
  return spec.cpus <= type.cpus && spec.gpus <= type.gpus && spec.memory_gb <= type.memory_gb;
}

}  // namespace

std::string ReasonNeverRunnable(const wire::JobSpec& spec, const std::vector<config::Team>& teams,
                                const std::vector<wire::MachineType>& types) {
  const auto team =
      std::find_if(teams.begin(), teams.end(), [&](const auto& t) { return t.name == spec.team; });
  if (team == teams.end()) return "unknown team";
  std::set<std::string> zones;  // zones with a machine type that a task fits
  for (const auto& type : types) {
    if (FitsType(type, spec)) zones.insert(type.zones.begin(), type.zones.end());
  }
  if (spec.zone) std::erase_if(zones, [&](const std::string& zone) { return zone != *spec.zone; });
  if (zones.empty()) return "a task fits no allowed machine type";
  const bool at_once = spec.kind != wire::JobKind::kArray;
  const double tasks = at_once ? spec.tasks : 1;
  if ((team->cpus_max > 0 && tasks * spec.cpus > team->cpus_max + kRoundingTolerance) ||
      (team->gpus_max > 0 && tasks * spec.gpus > team->gpus_max + kRoundingTolerance)) {
    return "more than the team's limit";
  }
  // At most half of the tasks, rounded up, may be in one zone, so two zones are enough.
  if (at_once && spec.spread_over_zones && spec.tasks > 1 &&
      (spec.single_zone || zones.size() < 2)) {
    return "its tasks must be up together and apart, and only one zone may have them";
  }
  return {};
}

}  // namespace mosspath::admission
