// Tasks that may be on machines which another controller commanded until now: nobody knows before
// what is on each of these machines is known, or that nothing is (rule 3 of docs/design.md). Pure.
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
  // Begins a reconciliation that waits for these machines. Its id is that of the lease under which
  // the tasks were delegated. Returns false if there are no machines, so the tasks are nowhere.
  bool Begin(uint64_t reconciliation, const std::vector<std::string>& machines);
  // It is known what is on the machine. Returns the reconciliations that end with it.
  std::vector<uint64_t> OnMachineReconciled(const std::string& machine);
  bool IsActive(uint64_t reconciliation) const { return pending_.contains(reconciliation); }
  bool empty() const { return pending_.empty(); }
  // Whether each reconciliation that waits for this machine waits for at most that share of its
  // machines, or for this one alone.
  bool IsNearlyComplete(const std::string& machine, double max_share) const;

 private:
  struct PendingMachines {
    std::set<std::string> machines;  // not known yet
    size_t total = 0;                // when the reconciliation began
  };
  std::map<uint64_t, PendingMachines> pending_;
  std::map<std::string, std::set<uint64_t>> by_machine_;
};

}  // namespace mosspath::scheduler
