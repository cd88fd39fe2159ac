#include "mosspath/cluster/delegated_tasks.h"

namespace mosspath::cluster {

uint64_t DelegatedTasks::LeaseOf(const wire::TaskId& task) const {
  const auto job = jobs_.find(task.job);
  if (job == jobs_.end()) return 0;
  const auto it = job->second.lease_by_task.find(task.index);
  return it == job->second.lease_by_task.end() ? 0 : it->second;
}

void DelegatedTasks::Add(const wire::TaskId& task, uint64_t lease, const QuotaCharge& charge) {
  JobTasks& job = jobs_[task.job];
  job.charge = charge;
  size_ += job.lease_by_task.insert_or_assign(task.index, lease).second ? 1 : 0;
}

std::optional<DelegatedTasks::QuotaCharge> DelegatedTasks::Remove(const wire::TaskId& task,
                                                                  uint64_t lease) {
  const auto job = jobs_.find(task.job);
  if (job == jobs_.end()) return std::nullopt;
  auto& lease_by_task = job->second.lease_by_task;
  const auto it = lease_by_task.find(task.index);
  if (it == lease_by_task.end() || it->second != lease) return std::nullopt;
  const QuotaCharge charge = job->second.charge;
  lease_by_task.erase(it);
  --size_;
  if (lease_by_task.empty()) jobs_.erase(job);
  return charge;
}

std::vector<wire::TaskId> DelegatedTasks::UnderLease(uint64_t lease) const {
  std::vector<wire::TaskId> tasks;
  for (const auto& [id, job] : jobs_) {
    for (const auto& [index, task_lease] : job.lease_by_task) {
      if (task_lease == lease) tasks.push_back({id, index});
    }
  }
  return tasks;
}

std::vector<wire::TaskId> DelegatedTasks::OfJob(const std::string& id) const {
  std::vector<wire::TaskId> tasks;
  const auto job = jobs_.find(id);
  if (job == jobs_.end()) return tasks;
  for (const auto& [index, lease] : job->second.lease_by_task) tasks.push_back({id, index});
  return tasks;
}

}  // namespace mosspath::cluster
