// Tasks that may be on machines which another controller commanded until now: nobody knows before
// each of these machines was heard, or is ruled out (rule 3 of docs/design.md). Pure.
#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace mosspath::scheduler {

class TaskReconciliation {
 public:
  // Begins a search among these machines; false if there are none, so nothing can be anywhere.
  bool Begin(uint64_t key, const std::vector<std::string>& machines);
  // The machine is known, or has nothing: the searches that end with it.
  std::vector<uint64_t> OnMachineKnown(const std::string& machine);
  bool IsActive(uint64_t key) const { return pending_.contains(key); }
  bool empty() const { return pending_.empty(); }
  // Whether nearly all machines of the searches that wait for this one are known.
  bool IsNearlyComplete(const std::string& machine, double share) const;

 private:
  struct PendingMachines {
    std::set<std::string> machines;
    size_t total = 0;
  };
  std::map<uint64_t, PendingMachines> pending_;
  std::map<std::string, std::set<uint64_t>> by_machine_;
};

}  // namespace mosspath::scheduler
