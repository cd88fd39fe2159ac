#include "mosspath/scheduler/task_reconciliation.h"

#include <algorithm>

namespace mosspath::scheduler {

bool TaskReconciliation::Begin(uint64_t reconciliation, const std::vector<std::string>& machines) {
  if (machines.empty()) return false;
  PendingMachines& pending = pending_[reconciliation];
  for (const auto& id : machines) {
    pending.machines.insert(id);
    reconciliations_by_machine_[id].insert(reconciliation);
  }
  pending.total = pending.machines.size();
  return true;
}

std::vector<uint64_t> TaskReconciliation::OnMachineReconciled(const std::string& machine) {
  std::vector<uint64_t> ended;
  const auto it = reconciliations_by_machine_.find(machine);
  if (it == reconciliations_by_machine_.end()) return ended;
  for (const uint64_t reconciliation : it->second) {
    PendingMachines& pending = pending_[reconciliation];
    pending.machines.erase(machine);
    if (!pending.machines.empty()) continue;
    ended.push_back(reconciliation);
    pending_.erase(reconciliation);
  }
  reconciliations_by_machine_.erase(it);
  return ended;
}

bool TaskReconciliation::IsNearlyComplete(const std::string& machine, double max_share) const {
  const auto it = reconciliations_by_machine_.find(machine);
  if (it == reconciliations_by_machine_.end()) return false;
  return std::all_of(it->second.begin(), it->second.end(), [&](uint64_t reconciliation) {
    const PendingMachines& pending = pending_.at(reconciliation);
    return static_cast<double>(pending.machines.size()) <=
           std::max(1.0, max_share * static_cast<double>(pending.total));
  });
}

}  // namespace mosspath::scheduler
