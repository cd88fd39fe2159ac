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
  double held_gb = 0;     // layers that the machine holds, as the cluster state has them
  bool has_capacity = false;
};

inline constexpr size_t kNoMachine = static_cast<size_t>(-1);

// Returns the best machine for one task, or kNoMachine if none has capacity. `total_gb`: layers on
// all machines tried together, of which there are `machine_count` (M); the candidates may be fewer.
size_t BestMachine(const std::vector<Candidate>& candidates, double total_gb, size_t machine_count,
                   const LocalityPolicy& policy);

// Makes the choices of BestMachine for successive tasks of one image. Scans the machines once;
// after that a task costs one step per distinct `missing_gb` and a heap operation.
class LocalityPicker {
 public:
  LocalityPicker(const std::vector<Candidate>& candidates, double total_gb, size_t machine_count,
                 const LocalityPolicy& policy);

  // Returns the best machine now, or kNoMachine if none has capacity.
  size_t Best();
  // Records that a task was placed on the machine that Best returned. The machine now holds the
  // image, and `held_gb` of layers in all.
  void OnPlaced(double held_gb, bool has_capacity);
  // Excludes the machine that Best returned.
  void DropBest();

 private:
  // Machines with the same `missing_gb`, as a heap whose top holds the fewest bytes: the top is the
  // best machine of the group, and if the cap excludes the top it excludes the whole group.
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

// Returns machines for `replicas` replicas of a service, best first: distinct machines, then the
// same ones again in turn.
std::vector<size_t> BestDistinctMachines(const std::vector<Candidate>& candidates, size_t replicas,
                                         double total_gb, size_t machine_count,
                                         const LocalityPolicy& policy);

}  // namespace mosspath::scheduler
