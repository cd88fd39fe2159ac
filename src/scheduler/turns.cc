#include "mosspath/scheduler/turns.h"

#include <algorithm>

namespace mosspath::scheduler {

double Turns::Weight(const std::string& name) const {
  const auto it = weights_.find(name);
  return it == weights_.end() ? 1 : it->second;
}

void Turns::Begin(double pool_cpus) {
  pool_cpus_ = pool_cpus;
  team_.clear();
  class_.clear();
  any_owed_ = false;
}

void Turns::Add(const jobs::Job& job, bool startable) {
  const double cpus = job.spec.cpus;
  const double use = job.placed() * cpus;
  const double left = (job.spec.tasks - job.done) * cpus;
  const double waiting = startable ? static_cast<double>(job.pending.size()) * cpus : 0;
  for (Group* g : {&team_[job.spec.team], &class_[{job.spec.team, job.spec.job_class}]}) {
    g->use += use;
    g->left += left;
    g->waiting += waiting;
  }
}

void Turns::Settle() {
  // Only those with unfinished work divide the share: what one leaves is the others'.
  double team_weights = 0;
  for (const auto& [name, g] : team_) team_weights += Weight(name);
  std::map<std::string, double> class_weights;
  for (const auto& [of, g] : class_) class_weights[of.first] += Weight(of.first + "/" + of.second);
  for (auto& [name, g] : team_) {
    // Alone it needs no turns.
    const double part = team_weights > 0 ? Weight(name) / team_weights : 0;
    if (team_.size() > 1) g.floor = share_ * pool_cpus_ * part;
    const auto team =
        std::find_if(teams_.begin(), teams_.end(), [&](const auto& t) { return t.name == name; });
    if (team != teams_.end() && share_ > 0) g.floor = std::max(g.floor, team->cpus);
    g.floor = std::min(g.floor, g.left);
  }
  for (auto& [of, g] : class_) {
    const Group& team = team_[of.first];
    const double weights = class_weights[of.first];
    if (weights <= 0 || team.left <= g.left) continue;  // alone in its team
    const double part = Weight(of.first + "/" + of.second) / weights;
    g.floor = std::min(g.left, share_ * std::max(team.use, team.floor) * part);
  }
  const auto owed = [](const auto& g) { return g.second.Owed() > 0; };
  any_owed_ = std::any_of(team_.begin(), team_.end(), owed) ||
              std::any_of(class_.begin(), class_.end(), owed);
}

double Turns::Owed(const jobs::Job& job) const {
  const auto team = team_.find(job.spec.team);
  const auto cls = class_.find({job.spec.team, job.spec.job_class});
  return std::max(team == team_.end() ? 0 : team->second.Owed(),
                  cls == class_.end() ? 0 : cls->second.Owed());
}

void Turns::Took(const jobs::Job& job, double cpus) {
  for (Group* g : {&team_[job.spec.team], &class_[{job.spec.team, job.spec.job_class}]}) {
    g->use += cpus;
    g->waiting -= cpus;
  }
}

bool Turns::MayStop(const jobs::Job& job, double cpus) const {
  const auto team = team_.find(job.spec.team);
  const auto cls = class_.find({job.spec.team, job.spec.job_class});
  const auto above = [&](const Group& g) { return g.use - cpus >= g.floor; };
  return (team == team_.end() || team->second.floor <= 0 || above(team->second)) &&
         (cls == class_.end() || cls->second.floor <= 0 || above(cls->second));
}

}  // namespace mosspath::scheduler
