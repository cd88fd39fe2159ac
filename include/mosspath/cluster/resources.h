// The resources of machines and tasks: CPUs, GPUs and memory. No I/O.
#pragma once

#include "mosspath/wire/messages.h"

namespace mosspath::cluster {

// An amount of each resource.
struct Resources {
  double cpus = 0;
  double gpus = 0;
  double memory_gb = 0;

  Resources& operator+=(const Resources& other) {
    cpus += other.cpus;
    gpus += other.gpus;
    memory_gb += other.memory_gb;
    return *this;
  }
  Resources& operator-=(const Resources& other) {
    cpus -= other.cpus;
    gpus -= other.gpus;
    memory_gb -= other.memory_gb;
    return *this;
  }
  friend Resources operator+(Resources a, const Resources& b) { return a += b; }
  friend Resources operator-(Resources a, const Resources& b) { return a -= b; }
  friend Resources operator*(double factor, const Resources& amount) {
    return {factor * amount.cpus, factor * amount.gpus, factor * amount.memory_gb};
  }
};

// Returns the resources that each task of the job needs.
inline Resources TaskResources(const wire::JobSpec& spec) {
  return {spec.cpus, spec.gpus, spec.memory_gb};
}
// Returns the resources of an empty machine of the type.
inline Resources TypeResources(const wire::MachineType& type) {
  return {type.cpus, type.gpus, type.memory_gb};
}

// For rounding errors in sums of CPUs, of GPUs and of GB.
inline constexpr double kResourceTolerance = 1e-6;

// Returns whether `needed` fits into `available`.
inline bool Fits(const Resources& needed, const Resources& available) {
  return needed.cpus <= available.cpus + kResourceTolerance &&
         needed.gpus <= available.gpus + kResourceTolerance &&
         needed.memory_gb <= available.memory_gb + kResourceTolerance;
}
// Returns how many tasks that need `task` each fit into `available`: a whole number, limited by the
// resource that runs out first. Very large if the tasks need nothing.
double TasksThatFit(const Resources& task, const Resources& available);
// Returns the largest share of any resource of `total` that `part` takes. A resource of which
// `total` has nothing is ignored.
double DominantShare(const Resources& part, const Resources& total);

}  // namespace mosspath::cluster
