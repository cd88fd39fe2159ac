#include "mosspath/scheduler/task_reconciliation.h"

#include <algorithm>

namespace mosspath::scheduler {

bool TaskReconciliation::Begin(uint64_t key, const std::vector<std::string>& machines) {
  if (machines.empty()) return false;
  PendingMachines& left = pending_[key];
  for (const auto& id : machines) {
    left.machines.insert(id);
    by_machine_[id].insert(key);
  }
  left.total = left.machines.size();
  return true;
}

std::vector<uint64_t> TaskReconciliation::OnMachineKnown(const std::string& machine) {
  std::vector<uint64_t> ended;
  const auto it = by_machine_.find(machine);
  if (it == by_machine_.end()) return ended;
  for (const uint64_t key : it->second) {
    PendingMachines& left = pending_[key];
    left.machines.erase(machine);
    if (!left.machines.empty()) continue;
    ended.push_back(key);
    pending_.erase(key);
  }
  by_machine_.erase(it);
  return ended;
}

bool TaskReconciliation::IsNearlyComplete(const std::string& machine, double share) const {
  const auto it = by_machine_.find(machine);
  if (it == by_machine_.end()) return false;
  return std::all_of(it->second.begin(), it->second.end(), [&](uint64_t key) {
    const PendingMachines& left = pending_.at(key);
    return static_cast<double>(left.machines.size()) <=
           std::max(1.0, share * static_cast<double>(left.total));
  });
}

}  // namespace mosspath::scheduler
