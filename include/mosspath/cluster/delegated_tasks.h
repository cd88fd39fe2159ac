// Tasks that other controllers have or may have, by the lease under which they were delegated. A
// task stays charged to its team until it has certainly been returned, even if its job has ended.
// Does no I/O.
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

  // Returns the lease under which the task is delegated; 0 if it is not delegated.
  uint64_t LeaseOf(const wire::TaskId& task) const;
  void Add(const wire::TaskId& task, uint64_t lease, const QuotaCharge& charge);
  // Removes the task and returns its charge, if it was delegated under that lease.
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
