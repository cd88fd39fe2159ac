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
  const double use = job.placed() * cpus;
  const double left = (job.spec.tasks - job.done) * cpus;
  const double waiting = startable ? static_cast<double>(job.pending.size()) * cpus : 0;
  for (Group* g :
       {&team_groups_[job.spec.team], &class_groups_[{job.spec.team, job.spec.job_class}]}) {
    g->used_cpus += use;
    g->unfinished_cpus += left;
    g->waiting_cpus += waiting;
  }
}

void FairShare::ComputeFloors() {
  // Only those with unfinished work divide the share: what one leaves is the others'.
  double team_weights = 0;
  for (const auto& [name, g] : team_groups_) team_weights += Weight(name);
  std::map<std::string, double> class_weights;
  for (const auto& [of, g] : class_groups_)
    class_weights[of.first] += Weight(of.first + "/" + of.second);
  for (auto& [name, g] : team_groups_) {
    // Alone it needs no turns.
    const double part = team_weights > 0 ? Weight(name) / team_weights : 0;
    if (team_groups_.size() > 1) g.floor_cpus = share_ * pool_cpus_ * part;
    const auto team =
        std::find_if(teams_.begin(), teams_.end(), [&](const auto& t) { return t.name == name; });
    if (team != teams_.end() && share_ > 0) g.floor_cpus = std::max(g.floor_cpus, team->cpus);
    g.floor_cpus = std::min(g.floor_cpus, g.unfinished_cpus);
  }
  for (auto& [of, g] : class_groups_) {
    const Group& team = team_groups_[of.first];
    const double weights = class_weights[of.first];
    if (weights <= 0 || team.unfinished_cpus <= g.unfinished_cpus) continue;  // alone in its team
    const double part = Weight(of.first + "/" + of.second) / weights;
    g.floor_cpus =
        std::min(g.unfinished_cpus, share_ * std::max(team.used_cpus, team.floor_cpus) * part);
  }
  const auto owed = [](const auto& g) { return g.second.DeficitCpus() > 0; };
  has_deficit_ = std::any_of(team_groups_.begin(), team_groups_.end(), owed) ||
                 std::any_of(class_groups_.begin(), class_groups_.end(), owed);
}

double FairShare::DeficitCpus(const jobs::Job& job) const {
  const auto team = team_groups_.find(job.spec.team);
  const auto cls = class_groups_.find({job.spec.team, job.spec.job_class});
  return std::max(team == team_groups_.end() ? 0 : team->second.DeficitCpus(),
                  cls == class_groups_.end() ? 0 : cls->second.DeficitCpus());
}

void FairShare::OnAllocated(const jobs::Job& job, double cpus) {
  for (Group* g :
       {&team_groups_[job.spec.team], &class_groups_[{job.spec.team, job.spec.job_class}]}) {
    g->used_cpus += cpus;
    g->waiting_cpus -= cpus;
  }
}

bool FairShare::MayPreempt(const jobs::Job& job, double cpus) const {
  const auto team = team_groups_.find(job.spec.team);
  const auto cls = class_groups_.find({job.spec.team, job.spec.job_class});
  const auto above = [&](const Group& g) { return g.used_cpus - cpus >= g.floor_cpus; };
  return (team == team_groups_.end() || team->second.floor_cpus <= 0 || above(team->second)) &&
         (cls == class_groups_.end() || cls->second.floor_cpus <= 0 || above(cls->second));
}

}  // namespace mosspath::scheduler
