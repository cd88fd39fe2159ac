// The usage of the teams against their quotas. A task is charged from the moment when its start may
// be sent until the task certainly no longer runs on any machine. Does no I/O.
#pragma once

#include <map>
#include <string>
#include <utility>
#include <vector>

#include "mosspath/config/settings.h"
#include "mosspath/jobs/job.h"

namespace mosspath::cluster {

class QuotaUsage {
 public:
  explicit QuotaUsage(const std::vector<config::Team>& teams) : teams_(teams) {}

  // An empty team name stands for a task of unknown team and size. While such a task exists, no
  // team with a limit has headroom.
  void Add(const std::string& team, double cpus, double gpus);
  void Remove(const std::string& team, double cpus, double gpus);
  void AddUnknownTask() { ++unknown_tasks_; }
  bool IsUnlimited(const std::string& team) const;
  // Returns how many more tasks of the job fit into its team's quota. `settled` is true if all
  // tasks of earlier leaders that may still run are charged.
  size_t Headroom(const jobs::Job& job, bool settled) const;

 private:
  const std::vector<config::Team> teams_;
  std::map<std::string, std::pair<double, double>> usage_;  // cpus, gpus
  size_t unknown_tasks_ = 0;
};

}  // namespace mosspath::cluster
