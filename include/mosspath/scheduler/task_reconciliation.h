// Tracks reconciliations of tasks that may be on machines which another controller has commanded.
// Where such a task runs is certain only once every one of these machines has reported its tasks,
// or is certain to run none (rule 3 of docs/design.md). No I/O.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace mosspath::scheduler {

class TaskReconciliation {
 public:
  // Begins a reconciliation that waits for these machines. Its id is the lease number under which
  // the tasks were delegated. Returns false if there are no machines, and thus no running tasks.
  bool Begin(uint64_t reconciliation, const std::vector<std::string>& machines);
  // Called when the machine has reported its tasks, or is certain to run none. Returns the ids of
  // the reconciliations that have waited for this machine only. These reconciliations end.
  std::vector<uint64_t> OnMachineReconciled(const std::string& machine);
  bool IsActive(uint64_t reconciliation) const { return pending_.contains(reconciliation); }
  bool empty() const { return pending_.empty(); }
  // Returns whether each reconciliation that waits for this machine waits for at most `max_share`
  // of the reconciliation's machines, or for this machine alone. Returns false if no
  // reconciliation waits for this machine.
  bool IsNearlyComplete(const std::string& machine, double max_share) const;

 private:
  struct PendingMachines {
    std::set<std::string> machines;  // machines that the reconciliation still waits for
    size_t total = 0;                // number of machines when the reconciliation began
  };
  std::map<uint64_t, PendingMachines> pending_;
  std::map<std::string, std::set<uint64_t>> reconciliations_by_machine_;
};

}  // namespace mosspath::scheduler
