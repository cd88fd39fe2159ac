#include "mosspath/scheduler/locality.h"

#include <algorithm>

namespace mosspath::scheduler {
namespace {

double Share(const Candidate& c, double total_gb) {
  return total_gb > 0 ? c.held_gb / total_gb : 0;
}

double Score(const Candidate& c, double total_gb, const LocalityPolicy& policy) {
  return -c.missing_gb - policy.epsilon * Share(c, total_gb);
}

double Cap(size_t machine_count, const LocalityPolicy& policy) {
  return policy.gamma / static_cast<double>(std::max<size_t>(1, machine_count));
}

// The filter c_1 of the paper, except that a machine that holds the whole image always passes: the
// cap limits how many bytes a machine accumulates, and the task adds no bytes to such a machine.
// Without the exception, when one team used huge images, the cap excluded the machines that hold
// the layers of other teams.
bool Passes(const Candidate& c, double total_gb, double cap) {
  return c.missing_gb <= 0 || Share(c, total_gb) <= cap;
}

// Heap order: the top is the machine that holds the fewest bytes, and among equals the machine with
// the lowest index.
bool HeapLess(const Candidate& a, const Candidate& b) {
  return a.held_gb != b.held_gb ? a.held_gb > b.held_gb : a.machine > b.machine;
}

// Returns the machines with capacity that pass the cap. If none passes, returns all machines with
// capacity.
std::vector<const Candidate*> EligibleMachines(const std::vector<Candidate>& candidates,
                                               double total_gb, size_t machine_count,
                                               const LocalityPolicy& policy) {
  const double cap = Cap(machine_count, policy);
  std::vector<const Candidate*> passing;
  std::vector<const Candidate*> with_capacity;
  for (const Candidate& c : candidates) {
    if (!c.has_capacity) continue;
    with_capacity.push_back(&c);
    if (Passes(c, total_gb, cap)) passing.push_back(&c);
  }
  return passing.empty() ? with_capacity : passing;
}

}  // namespace

size_t BestMachine(const std::vector<Candidate>& candidates, double total_gb, size_t machine_count,
                   const LocalityPolicy& policy) {
  const auto eligible = EligibleMachines(candidates, total_gb, machine_count, policy);
  const auto best = std::max_element(eligible.begin(), eligible.end(), [&](auto* a, auto* b) {
    return Score(*a, total_gb, policy) < Score(*b, total_gb, policy);
  });
  return best == eligible.end() ? kNoMachine : (*best)->machine;
}

LocalityPicker::LocalityPicker(const std::vector<Candidate>& candidates, double total_gb,
                               size_t machine_count, const LocalityPolicy& policy)
    : total_gb_(total_gb), cap_(Cap(machine_count, policy)), policy_(policy) {
  for (const Candidate& c : candidates) {
    if (c.has_capacity) groups_[c.missing_gb].push_back(c);
  }
  for (auto& [group_missing_gb, group] : groups_)
    std::make_heap(group.begin(), group.end(), HeapLess);
}

size_t LocalityPicker::Best() {
  const Candidate* best = nullptr;
  bool best_passes = false;
  for (const auto& [group_missing_gb, group] : groups_) {
    if (group.empty()) continue;
    const Candidate& c = group.front();
    const bool passes = Passes(c, total_gb_, cap_);
    if (best != nullptr) {
      if (best_passes && !passes) continue;
      if (best_passes == passes) {
        const double score = Score(c, total_gb_, policy_);
        const double best_score = Score(*best, total_gb_, policy_);
        if (score < best_score || (score == best_score && c.machine > best->machine)) continue;
      }
    }
    best = &c;
    best_passes = passes;
    chosen_missing_gb_ = group_missing_gb;
  }
  return best == nullptr ? kNoMachine : best->machine;
}

void LocalityPicker::OnPlaced(double held_gb, bool has_capacity) {
  Candidate c = PopBest();
  total_gb_ += held_gb - c.held_gb;
  c.held_gb = held_gb;
  c.missing_gb = 0;
  if (has_capacity) Push(c);
}

void LocalityPicker::DropBest() { PopBest(); }

Candidate LocalityPicker::PopBest() {
  Group& group = groups_[chosen_missing_gb_];
  std::pop_heap(group.begin(), group.end(), HeapLess);
  const Candidate c = group.back();
  group.pop_back();
  return c;
}

void LocalityPicker::Push(const Candidate& c) {
  Group& group = groups_[c.missing_gb];
  group.push_back(c);
  std::push_heap(group.begin(), group.end(), HeapLess);
}

std::vector<size_t> BestDistinctMachines(const std::vector<Candidate>& candidates, size_t replicas,
                                         double total_gb, size_t machine_count,
                                         const LocalityPolicy& policy) {
  auto eligible = EligibleMachines(candidates, total_gb, machine_count, policy);
  std::stable_sort(eligible.begin(), eligible.end(), [&](auto* a, auto* b) {
    return Score(*a, total_gb, policy) > Score(*b, total_gb, policy);
  });
  std::vector<size_t> chosen;
  for (size_t r = 0; r < replicas && !eligible.empty(); ++r) {
    chosen.push_back(eligible[r % eligible.size()]->machine);
  }
  return chosen;
}

}  // namespace mosspath::scheduler
