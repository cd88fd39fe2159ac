#include "mosspath/cluster/quota_usage.h"

#include <algorithm>
#include <cmath>

namespace mosspath::cluster {

void QuotaUsage::Add(const std::string& team, double cpus, double gpus) {
  auto& use = usage_[team];
  use.first += cpus;
  use.second += gpus;
}

void QuotaUsage::Remove(const std::string& team, double cpus, double gpus) {
  auto& use = usage_[team];
  use.first -= cpus;
  use.second -= gpus;
  if (team.empty() && unknown_tasks_ > 0) --unknown_tasks_;
}

bool QuotaUsage::IsUnlimited(const std::string& name) const {
  const auto team =
      std::find_if(teams_.begin(), teams_.end(), [&](const auto& t) { return t.name == name; });
  return team != teams_.end() && team->cpus_max <= 0 && team->gpus_max <= 0;
}

size_t QuotaUsage::Headroom(const jobs::Job& job, bool settled) const {
  const auto team = std::find_if(teams_.begin(), teams_.end(),
                                 [&](const auto& t) { return t.name == job.spec.team; });
  if (team == teams_.end()) return 0;
  if (team->cpus_max <= 0 && team->gpus_max <= 0) return job.spec.tasks;
  // What unknown tasks take is unknown, so nothing is added to a limited team meanwhile.
  if (!settled || unknown_tasks_ > 0) return 0;
  double room = job.spec.tasks;
  const auto use = usage_.find(team->name);
  const auto [cpus, gpus] = use == usage_.end() ? std::pair{0.0, 0.0} : use->second;
  constexpr double kSlack = 1e-6;
  if (team->cpus_max > 0 && job.spec.cpus > 0) {
    room = std::min(room, std::floor((team->cpus_max - cpus + kSlack) / job.spec.cpus));
  }
  if (team->gpus_max > 0 && job.spec.gpus > 0) {
    room = std::min(room, std::floor((team->gpus_max - gpus + kSlack) / job.spec.gpus));
  }
  return static_cast<size_t>(std::max(0.0, room));
}

}  // namespace mosspath::cluster
