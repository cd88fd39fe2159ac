#include "mosspath/cluster/delegated_tasks.h"

namespace mosspath::cluster {

uint64_t DelegatedTasks::LeaseOf(const wire::TaskId& task) const {
  const auto job = jobs_.find(task.job);
  if (job == jobs_.end()) return 0;
  const auto it = job->second.lease_by_task.find(task.index);
  return it == job->second.lease_by_task.end() ? 0 : it->second;
}

void DelegatedTasks::Add(const wire::TaskId& task, uint64_t lease, const QuotaCharge& size) {
  JobTasks& job = jobs_[task.job];
  job.charge = size;
  size_ += job.lease_by_task.insert_or_assign(task.index, lease).second ? 1 : 0;
}

std::optional<DelegatedTasks::QuotaCharge> DelegatedTasks::Remove(const wire::TaskId& task,
                                                                  uint64_t lease) {
  const auto job = jobs_.find(task.job);
  if (job == jobs_.end()) return std::nullopt;
  auto& under = job->second.lease_by_task;
  const auto it = under.find(task.index);
  if (it == under.end() || it->second != lease) return std::nullopt;
  const QuotaCharge size = job->second.charge;
  under.erase(it);
  --size_;
  if (under.empty()) jobs_.erase(job);
  return size;
}

std::vector<wire::TaskId> DelegatedTasks::UnderLease(uint64_t lease) const {
  std::vector<wire::TaskId> out;
  for (const auto& [id, job] : jobs_) {
    for (const auto& [index, under] : job.lease_by_task) {
      if (under == lease) out.push_back({id, index});
    }
  }
  return out;
}

std::vector<wire::TaskId> DelegatedTasks::OfJob(const std::string& id) const {
  std::vector<wire::TaskId> out;
  const auto job = jobs_.find(id);
  if (job == jobs_.end()) return out;
  for (const auto& [index, under] : job->second.lease_by_task) out.push_back({id, index});
  return out;
}

}  // namespace mosspath::cluster
