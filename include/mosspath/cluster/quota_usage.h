// The usage of the teams against their quotas. A task is charged from the moment when its start may
// be sent until the task certainly no longer runs on any machine. Does no I/O.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "mosspath/config/settings.h"
#include "mosspath/jobs/job.h"

namespace mosspath::cluster {

struct QuotaAmount {
  double cpus = 0;
  double gpus = 0;
};

class QuotaUsage {
 public:
  explicit QuotaUsage(const std::vector<config::Team>& teams) : teams_(teams) {}

  // An empty team name stands for a task of unknown team and size. While such a task exists, no
  // team with a limit has headroom.
  void Add(const std::string& team, double cpus, double gpus);
  void Remove(const std::string& team, double cpus, double gpus);
  void AddUnknownTask() { ++unknown_tasks_; }
  bool IsUnlimited(const std::string& team) const;
  // Returns how many more tasks of the job fit into its team's quota, of which `reserved` is left
  // free. `settled` is true if all tasks of earlier leaders that may still run are charged.
  size_t Headroom(const jobs::Job& job, bool settled, const QuotaAmount& reserved = {}) const;
  // Returns by how much the team would exceed its quota if `tasks` more tasks of the job ran.
  // Returns nothing while the team's usage is not certain.
  QuotaAmount Excess(const jobs::Job& job, size_t tasks, bool settled) const;

 private:
  // nullptr if the settings have no such team.
  const config::Team* FindTeam(const std::string& name) const;
  // The usage of tasks that are unknown or not charged yet may belong to any team.
  bool IsCertain(bool settled) const { return settled && unknown_tasks_ == 0; }
  QuotaAmount UsageOf(const std::string& team) const;

  const std::vector<config::Team> teams_;
  std::map<std::string, QuotaAmount> usage_;
  size_t unknown_tasks_ = 0;
};

}  // namespace mosspath::cluster
