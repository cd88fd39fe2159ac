#include "mosspath/cluster/quota_usage.h"

#include <algorithm>
#include <cmath>

namespace mosspath::cluster {

void QuotaUsage::Add(const std::string& team, double cpus, double gpus) {
  auto& usage = usage_[team];
  usage.first += cpus;
  usage.second += gpus;
}

void QuotaUsage::Remove(const std::string& team, double cpus, double gpus) {
  auto& usage = usage_[team];
  usage.first -= cpus;
  usage.second -= gpus;
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
  // The usage of tasks that are unknown or not counted yet may belong to any team, so a team with a
  // limit has no headroom meanwhile.
  if (!settled || unknown_tasks_ > 0) return 0;
  double headroom = job.spec.tasks;
  const auto usage = usage_.find(team->name);
  const auto [cpus, gpus] = usage == usage_.end() ? std::pair{0.0, 0.0} : usage->second;
  constexpr double kSlack = 1e-6;
  if (team->cpus_max > 0 && job.spec.cpus > 0) {
    headroom = std::min(headroom, std::floor((team->cpus_max - cpus + kSlack) / job.spec.cpus));
  }
  if (team->gpus_max > 0 && job.spec.gpus > 0) {
    headroom = std::min(headroom, std::floor((team->gpus_max - gpus + kSlack) / job.spec.gpus));
  }
  return static_cast<size_t>(std::max(0.0, headroom));
}

}  // namespace mosspath::cluster
