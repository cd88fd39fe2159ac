// Layer Locality (paper, section 3.4 and Algorithm 1) over one block of machines. Pure.
#pragma once

#include <cstddef>
#include <map>
#include <vector>

namespace mosspath::scheduler {

struct LocalityPolicy {
  double gamma = 1.5;     // a machine may hold up to gamma/M of the block's layer bytes
  double epsilon = 1e-3;  // weight of the disk share in the score
};

// A machine of the block as the policy sees it for one image.
struct Candidate {
  size_t machine = 0;     // the caller's index
  double missing_gb = 0;  // delta(k,m): the image's layers that the machine lacks
  double held_gb = 0;     // layer bytes the machine holds in the picture
  bool has_room = false;
};

inline constexpr size_t kNoMachine = static_cast<size_t>(-1);

// The best machine for one task, or kNone when none has room. `pool_gb` is the layer bytes of the
// whole block and `block_size` its number of machines (M).
size_t BestMachine(const std::vector<Candidate>& candidates, double pool_gb, size_t block_size,
                   const LocalityPolicy& policy);

// The choices that Best makes for one task after another of an image, at one pass over the machines
// and little per task.
class LocalityPicker {
 public:
  LocalityPicker(const std::vector<Candidate>& candidates, double pool_gb, size_t block_size,
                 const LocalityPolicy& policy);

  // The best machine now, or kNone when none has room.
  size_t Best();
  // The machine that Best gave took a task: it holds the image now, `held_gb` in all.
  void OnPlaced(double held_gb, bool has_room);
  // The machine that Best gave can take none.
  void DropBest();

 private:
  // Machines that lack the same: the one that holds least is the best of them, and when it doesn't
  // pass the cap, none of them does.
  using Group = std::vector<Candidate>;  // a heap

  Candidate Take();
  void Put(const Candidate& c);

  std::map<double, Group> groups_;  // by what is missing
  double chosen_ = 0;               // the group of the machine that Best gave
  double pool_gb_;
  const double cap_;
  const LocalityPolicy policy_;
};

// Machines for `replicas` replicas of a service: the best ones, distinct while they last.
std::vector<size_t> BestDistinctMachines(const std::vector<Candidate>& candidates, size_t replicas,
                                         double pool_gb, size_t block_size,
                                         const LocalityPolicy& policy);

}  // namespace mosspath::scheduler
