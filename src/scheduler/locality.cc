#include "mosspath/scheduler/locality.h"

#include <algorithm>

namespace mosspath::scheduler {
namespace {

double Share(const Candidate& c, double pool_gb) { return pool_gb > 0 ? c.held_gb / pool_gb : 0; }

double Score(const Candidate& c, double pool_gb, const LocalityPolicy& policy) {
  return -c.missing_gb - policy.epsilon * Share(c, pool_gb);
}

double Cap(size_t block_size, const LocalityPolicy& policy) {
  return policy.gamma / static_cast<double>(std::max<size_t>(1, block_size));
}

// The filter c_1 of the paper, but for machines that hold the whole image: a task there adds no
// bytes, and the cap is there to limit what machines gather. Without this a guest's huge images
// made it drop the very machines that hold others' layers.
bool Passes(const Candidate& c, double pool_gb, double cap) {
  return c.missing_gb <= 0 || Share(c, pool_gb) <= cap;
}

// Of a heap whose top is the machine that holds least, the first one of those alike.
bool Later(const Candidate& a, const Candidate& b) {
  return a.held_gb != b.held_gb ? a.held_gb > b.held_gb : a.machine > b.machine;
}

// With no machine passing, the filter is skipped.
std::vector<const Candidate*> Passing(const std::vector<Candidate>& candidates, double pool_gb,
                                      size_t block_size, const LocalityPolicy& policy) {
  const double cap = Cap(block_size, policy);
  std::vector<const Candidate*> pass;
  std::vector<const Candidate*> room;
  for (const Candidate& c : candidates) {
    if (!c.has_room) continue;
    room.push_back(&c);
    if (Passes(c, pool_gb, cap)) pass.push_back(&c);
  }
  return pass.empty() ? room : pass;
}

}  // namespace

size_t BestMachine(const std::vector<Candidate>& candidates, double pool_gb, size_t block_size,
                   const LocalityPolicy& policy) {
  const auto pass = Passing(candidates, pool_gb, block_size, policy);
  const auto best = std::max_element(pass.begin(), pass.end(), [&](auto* a, auto* b) {
    return Score(*a, pool_gb, policy) < Score(*b, pool_gb, policy);
  });
  return best == pass.end() ? kNoMachine : (*best)->machine;
}

LocalityPicker::LocalityPicker(const std::vector<Candidate>& candidates, double pool_gb,
                               size_t block_size, const LocalityPolicy& policy)
    : pool_gb_(pool_gb), cap_(Cap(block_size, policy)), policy_(policy) {
  for (const Candidate& c : candidates) {
    if (c.has_room) groups_[c.missing_gb].push_back(c);
  }
  for (auto& [missing, group] : groups_) std::make_heap(group.begin(), group.end(), Later);
}

size_t LocalityPicker::Best() {
  const Candidate* best = nullptr;
  bool best_passes = false;
  for (const auto& [missing, group] : groups_) {
    if (group.empty()) continue;
    const Candidate& c = group.front();
    const bool passes = Passes(c, pool_gb_, cap_);
    if (best != nullptr) {
      if (best_passes && !passes) continue;
      if (best_passes == passes) {
        const double ours = Score(c, pool_gb_, policy_);
        const double theirs = Score(*best, pool_gb_, policy_);
        if (ours < theirs || (ours == theirs && c.machine > best->machine)) continue;
      }
    }
    best = &c;
    best_passes = passes;
    chosen_ = missing;
  }
  return best == nullptr ? kNoMachine : best->machine;
}

void LocalityPicker::OnPlaced(double held_gb, bool has_room) {
  Candidate c = Take();
  pool_gb_ += held_gb - c.held_gb;
  c.held_gb = held_gb;
  c.missing_gb = 0;
  if (has_room) Put(c);
}

void LocalityPicker::DropBest() { Take(); }

Candidate LocalityPicker::Take() {
  Group& group = groups_[chosen_];
  std::pop_heap(group.begin(), group.end(), Later);
  const Candidate c = group.back();
  group.pop_back();
  return c;
}

void LocalityPicker::Put(const Candidate& c) {
  Group& group = groups_[c.missing_gb];
  group.push_back(c);
  std::push_heap(group.begin(), group.end(), Later);
}

std::vector<size_t> BestDistinctMachines(const std::vector<Candidate>& candidates, size_t replicas,
                                         double pool_gb, size_t block_size,
                                         const LocalityPolicy& policy) {
  auto pass = Passing(candidates, pool_gb, block_size, policy);
  std::stable_sort(pass.begin(), pass.end(), [&](auto* a, auto* b) {
    return Score(*a, pool_gb, policy) > Score(*b, pool_gb, policy);
  });
  std::vector<size_t> chosen;
  for (size_t r = 0; r < replicas && !pass.empty(); ++r) {
    chosen.push_back(pass[r % pass.size()]->machine);
  }
  return chosen;
}

}  // namespace mosspath::scheduler
