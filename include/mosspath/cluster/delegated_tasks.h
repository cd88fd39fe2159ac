// Tasks that other controllers have, or may have: by the lease under which they were given. What a
// task takes of its team's limit counts until it is certainly back, also when its job is over.
// Pure.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "mosspath/wire/messages.h"

namespace mosspath::cluster {

class DelegatedTasks {
 public:
  struct QuotaCharge {
    std::string team;
    double cpus = 0;
    double gpus = 0;
  };

  // The lease under which the task is away; 0: it is not.
  uint64_t LeaseOf(const wire::TaskId& task) const;
  void Add(const wire::TaskId& task, uint64_t lease, const QuotaCharge& size);
  // What it took, if it was away under that lease.
  std::optional<QuotaCharge> Remove(const wire::TaskId& task, uint64_t lease);
  std::vector<wire::TaskId> UnderLease(uint64_t lease) const;
  std::vector<wire::TaskId> OfJob(const std::string& job) const;
  size_t size() const { return size_; }

 private:
  struct JobTasks {
    QuotaCharge charge;
    std::map<uint32_t, uint64_t> lease_by_task;
  };
  std::map<std::string, JobTasks> jobs_;
  size_t size_ = 0;
};

}  // namespace mosspath::cluster
