#include "mosspath/cluster/quota_usage.h"

#include <algorithm>
#include <cmath>

namespace mosspath::cluster {
namespace {

// Covers the rounding of sums of CPUs and GPUs.
constexpr double kSlack = 1e-6;

bool HasLimit(const config::Team& team) { return team.cpus_max > 0 || team.gpus_max > 0; }

// Returns by how much `usage` exceeds the limit; 0 stands for no limit.
double ExcessOver(double limit, double usage) {
  return limit > 0 && usage > limit + kSlack ? usage - limit : 0;
}

}  // namespace

void QuotaUsage::Add(const std::string& team, double cpus, double gpus) {
  QuotaAmount& usage = usage_[team];
  usage.cpus += cpus;
  usage.gpus += gpus;
}

void QuotaUsage::Remove(const std::string& team, double cpus, double gpus) {
  QuotaAmount& usage = usage_[team];
  usage.cpus -= cpus;
  usage.gpus -= gpus;
  if (team.empty() && unknown_tasks_ > 0) --unknown_tasks_;
}

const config::Team* QuotaUsage::FindTeam(const std::string& name) const {
  const auto team =
      std::find_if(teams_.begin(), teams_.end(), [&](const auto& t) { return t.name == name; });
  return team == teams_.end() ? nullptr : &*team;
}

QuotaAmount QuotaUsage::UsageOf(const std::string& team) const {
  const auto usage = usage_.find(team);
  return usage == usage_.end() ? QuotaAmount{} : usage->second;
}

bool QuotaUsage::IsUnlimited(const std::string& name) const {
  const config::Team* team = FindTeam(name);
  return team != nullptr && !HasLimit(*team);
}

size_t QuotaUsage::Headroom(const jobs::Job& job, bool settled, const QuotaAmount& reserved) const {
  const config::Team* team = FindTeam(job.spec.team);
  if (team == nullptr) return 0;
  if (!HasLimit(*team)) return job.spec.tasks;
  if (!IsCertain(settled)) return 0;
  double headroom = job.spec.tasks;
  const QuotaAmount usage = UsageOf(team->name);
  if (team->cpus_max > 0 && job.spec.cpus > 0) {
    const double free_cpus = team->cpus_max - usage.cpus - reserved.cpus;
    headroom = std::min(headroom, std::floor((free_cpus + kSlack) / job.spec.cpus));
  }
  if (team->gpus_max > 0 && job.spec.gpus > 0) {
    const double free_gpus = team->gpus_max - usage.gpus - reserved.gpus;
    headroom = std::min(headroom, std::floor((free_gpus + kSlack) / job.spec.gpus));
  }
  return static_cast<size_t>(std::max(0.0, headroom));
}

QuotaAmount QuotaUsage::Excess(const jobs::Job& job, size_t tasks, bool settled) const {
  const config::Team* team = FindTeam(job.spec.team);
  if (team == nullptr || !IsCertain(settled)) return {};
  const QuotaAmount usage = UsageOf(team->name);
  const double count = static_cast<double>(tasks);
  return {ExcessOver(team->cpus_max, usage.cpus + count * job.spec.cpus),
          ExcessOver(team->gpus_max, usage.gpus + count * job.spec.gpus)};
}

}  // namespace mosspath::cluster
