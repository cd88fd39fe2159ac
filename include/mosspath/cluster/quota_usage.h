// What the teams' tasks take, against their limits: from the moment a start may be sent until the
// task is certainly gone. Pure.
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

  // An empty team: a task whose size nobody knows. While any is about, nothing is added to a team
  // with a limit.
  void Add(const std::string& team, double cpus, double gpus);
  void Remove(const std::string& team, double cpus, double gpus);
  void AddUnknownTask() { ++unknown_tasks_; }
  bool IsUnlimited(const std::string& team) const;
  // How many tasks of the job its team's limit allows more. `settled`: everything that may run of
  // earlier leaders is counted.
  size_t Headroom(const jobs::Job& job, bool settled) const;

 private:
  const std::vector<config::Team> teams_;
  std::map<std::string, std::pair<double, double>> usage_;  // cpus, gpus
  size_t unknown_tasks_ = 0;
};

}  // namespace mosspath::cluster
