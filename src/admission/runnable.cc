#include "mosspath/admission/runnable.h"

#include <algorithm>
#include <set>

namespace mosspath::admission {
namespace {

constexpr double kSlack = 1e-9;

bool Takes(const wire::MachineType& t, const wire::JobSpec& s) {
  if (s.types && std::find(s.types->begin(), s.types->end(), t.name) == s.types->end()) {
    return false;
  }
  return s.cpus <= t.cpus && s.gpus <= t.gpus && s.memory_gb <= t.memory_gb;
}

}  // namespace

std::string ReasonNeverRunnable(const wire::JobSpec& s, const std::vector<config::Team>& teams,
                                const std::vector<wire::MachineType>& types) {
  const auto team =
      std::find_if(teams.begin(), teams.end(), [&](const auto& t) { return t.name == s.team; });
  if (team == teams.end()) return "unknown team";
  std::set<std::string> zones;  // where a task fits
  for (const auto& t : types) {
    if (Takes(t, s)) zones.insert(t.zones.begin(), t.zones.end());
  }
  if (s.zone) std::erase_if(zones, [&](const std::string& zone) { return zone != *s.zone; });
  if (zones.empty()) return "a task fits no allowed machine type";
  const bool at_once = s.kind != wire::JobKind::kArray;
  const double tasks = at_once ? s.tasks : 1;
  if ((team->cpus_max > 0 && tasks * s.cpus > team->cpus_max + kSlack) ||
      (team->gpus_max > 0 && tasks * s.gpus > team->gpus_max + kSlack)) {
    return "more than the team's limit";
  }
  // At most half of them may be in one zone, rounded up: two zones hold all.
  if (at_once && s.spread_over_zones && s.tasks > 1 && (s.single_zone || zones.size() < 2)) {
    return "its tasks must be up together and apart, and only one zone may have them";
  }
  return {};
}

}  // namespace mosspath::admission
