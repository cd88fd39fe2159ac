#include "mosspath/cluster/away.h"

namespace mosspath::cluster {

uint64_t Away::Under(const wire::TaskId& task) const {
  const auto job = jobs_.find(task.job);
  if (job == jobs_.end()) return 0;
  const auto it = job->second.under.find(task.index);
  return it == job->second.under.end() ? 0 : it->second;
}

void Away::Add(const wire::TaskId& task, uint64_t lease, const Size& size) {
  JobTasks& job = jobs_[task.job];
  job.size = size;
  size_ += job.under.insert_or_assign(task.index, lease).second ? 1 : 0;
}

std::optional<Away::Size> Away::Remove(const wire::TaskId& task, uint64_t lease) {
  const auto job = jobs_.find(task.job);
  if (job == jobs_.end()) return std::nullopt;
  auto& under = job->second.under;
  const auto it = under.find(task.index);
  if (it == under.end() || it->second != lease) return std::nullopt;
  const Size size = job->second.size;
  under.erase(it);
  --size_;
  if (under.empty()) jobs_.erase(job);
  return size;
}

std::vector<wire::TaskId> Away::All(uint64_t lease) const {
  std::vector<wire::TaskId> out;
  for (const auto& [id, job] : jobs_) {
    for (const auto& [index, under] : job.under) {
      if (under == lease) out.push_back({id, index});
    }
  }
  return out;
}

std::vector<wire::TaskId> Away::Of(const std::string& id) const {
  std::vector<wire::TaskId> out;
  const auto job = jobs_.find(id);
  if (job == jobs_.end()) return out;
  for (const auto& [index, under] : job->second.under) out.push_back({id, index});
  return out;
}

}  // namespace mosspath::cluster
