// The score stage of placement: Layer Locality (paper, section 3.4 and Algorithm 1) over the
// machines that are tried together. No I/O.
#pragma once

#include <cstddef>
#include <map>
#include <vector>

namespace mosspath::scheduler {

struct LocalityPolicy {
  double gamma = 1.5;     // cap on a machine's share of all layer bytes, in multiples of 1/M
  double epsilon = 1e-3;  // weight of that share in the score
};

// The inputs of the score of one machine for one image.
struct Candidate {
  size_t machine = 0;     // the caller's index
  double missing_gb = 0;  // delta(k,m): the image's layers that the machine lacks
  double held_gb = 0;     // all layers on the machine, according to the cluster state
  bool has_capacity = false;
};

inline constexpr size_t kNoMachine = static_cast<size_t>(-1);

// Returns the best machine for one task, or kNoMachine if no candidate has capacity. `total_gb`:
// the size of the layers on all machines that are tried together. `machine_count` (M): the number
// of these machines; not all of them need be candidates.
size_t BestMachine(const std::vector<Candidate>& candidates, double total_gb, size_t machine_count,
                   const LocalityPolicy& policy);

// Makes the choices of BestMachine for successive tasks of one image. The constructor scans the
// machines once. Each task then costs one step per distinct `missing_gb` and one heap operation.
class LocalityPicker {
 public:
  LocalityPicker(const std::vector<Candidate>& candidates, double total_gb, size_t machine_count,
                 const LocalityPolicy& policy);

  // Returns the best machine for the next task, or kNoMachine if no machine has capacity.
  size_t Best();
  // Records that a task was placed on the machine that Best returned. That machine now holds the
  // image, and `held_gb` of layers in all.
  void OnPlaced(double held_gb, bool has_capacity);
  // Excludes the machine that Best returned.
  void DropBest();

 private:
  // Machines with the same `missing_gb`, as a heap. The top is the machine that holds the fewest
  // bytes, which is the best machine of the group. If the cap excludes the top, it excludes the
  // whole group.
  using Group = std::vector<Candidate>;

  // Removes the machine that Best returned.
  Candidate PopBest();
  void Push(const Candidate& c);

  std::map<double, Group> groups_;  // by `missing_gb`
  double chosen_missing_gb_ = 0;    // group of the machine that Best returned
  double total_gb_;
  const double cap_;
  const LocalityPolicy policy_;
};

// Returns one machine for each of `replicas` replicas of a service, best first; empty if no
// candidate has capacity. No machine appears twice unless there are fewer eligible machines than
// replicas; then the sequence of machines repeats.
std::vector<size_t> BestDistinctMachines(const std::vector<Candidate>& candidates, size_t replicas,
                                         double total_gb, size_t machine_count,
                                         const LocalityPolicy& policy);

}  // namespace mosspath::scheduler
