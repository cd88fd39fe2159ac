#include "mosspath/scheduler/fair_share.h"

#include <algorithm>

namespace mosspath::scheduler {

double FairShare::Weight(const std::string& name) const {
  const auto it = weights_.find(name);
  return it == weights_.end() ? 1 : it->second;
}

void FairShare::BeginPass(double pool_cpus) {
  pool_cpus_ = pool_cpus;
  team_groups_.clear();
  class_groups_.clear();
  has_deficit_ = false;
}

void FairShare::AddJob(const jobs::Job& job, bool startable) {
  const double cpus = job.spec.cpus;
  const double used = job.placed() * cpus;
  const double unfinished = (job.spec.tasks - job.done) * cpus;
  const double waiting = startable ? static_cast<double>(job.pending.size()) * cpus : 0;
  for (Group* group :
       {&team_groups_[job.spec.team], &class_groups_[{job.spec.team, job.spec.job_class}]}) {
    group->used_cpus += used;
    group->unfinished_cpus += unfinished;
    group->waiting_cpus += waiting;
  }
}

void FairShare::ComputeFloors() {
  // Only groups that have jobs divide the share, so the part of a group without jobs goes to the
  // other groups.
  double team_weight_sum = 0;
  for (const auto& [name, group] : team_groups_) team_weight_sum += Weight(name);
  std::map<std::string, double> class_weight_sums;
  for (const auto& [key, group] : class_groups_)
    class_weight_sums[key.first] += Weight(key.first + "/" + key.second);
  for (auto& [name, group] : team_groups_) {
    // A team that is alone needs no floor beyond its guarantee.
    const double weight_share = team_weight_sum > 0 ? Weight(name) / team_weight_sum : 0;
    if (team_groups_.size() > 1) group.floor_cpus = share_ * pool_cpus_ * weight_share;
    const auto team =
        std::find_if(teams_.begin(), teams_.end(), [&](const auto& t) { return t.name == name; });
    if (team != teams_.end() && share_ > 0)
      group.floor_cpus = std::max(group.floor_cpus, team->cpus);
    group.floor_cpus = std::min(group.floor_cpus, group.unfinished_cpus);
  }
  for (auto& [key, group] : class_groups_) {
    const Group& team = team_groups_[key.first];
    const double weight_sum = class_weight_sums[key.first];
    // A class with all of its team's unfinished work needs no floor.
    if (weight_sum <= 0 || team.unfinished_cpus <= group.unfinished_cpus) continue;
    const double weight_share = Weight(key.first + "/" + key.second) / weight_sum;
    group.floor_cpus = std::min(group.unfinished_cpus,
                                share_ * std::max(team.used_cpus, team.floor_cpus) * weight_share);
  }
  const auto has_deficit = [](const auto& group) { return group.second.DeficitCpus() > 0; };
  has_deficit_ = std::any_of(team_groups_.begin(), team_groups_.end(), has_deficit) ||
                 std::any_of(class_groups_.begin(), class_groups_.end(), has_deficit);
}

double FairShare::DeficitCpus(const jobs::Job& job) const {
  const auto team = team_groups_.find(job.spec.team);
  const auto cls = class_groups_.find({job.spec.team, job.spec.job_class});
  return std::max(team == team_groups_.end() ? 0 : team->second.DeficitCpus(),
                  cls == class_groups_.end() ? 0 : cls->second.DeficitCpus());
}

void FairShare::OnAllocated(const jobs::Job& job, double cpus) {
  for (Group* group :
       {&team_groups_[job.spec.team], &class_groups_[{job.spec.team, job.spec.job_class}]}) {
    group->used_cpus += cpus;
    group->waiting_cpus -= cpus;
  }
}

bool FairShare::MayPreempt(const jobs::Job& job, double cpus) const {
  const auto team = team_groups_.find(job.spec.team);
  const auto cls = class_groups_.find({job.spec.team, job.spec.job_class});
  const auto stays_above_floor = [&](const Group& group) {
    return group.used_cpus - cpus >= group.floor_cpus;
  };
  return (team == team_groups_.end() || team->second.floor_cpus <= 0 ||
          stays_above_floor(team->second)) &&
         (cls == class_groups_.end() || cls->second.floor_cpus <= 0 ||
          stays_above_floor(cls->second));
}

}  // namespace mosspath::scheduler
