// Defines the machines that one placement pass may use.
#pragma once

#include <vector>

#include "mosspath/cluster/cluster_state.h"

namespace mosspath::scheduler {

// Schedulable machines: first the machines that this controller commands, then the machines of the
// holders to which this controller delegates; each group is sorted by name. The cluster state owns
// the machines; the pool is valid for one pass.
using MachinePool = std::vector<cluster::Machine*>;

// Returns the CPUs of all schedulable machines, whichever controller commands them.
double SchedulableCpus(const cluster::ClusterState& cluster, double now);

}  // namespace mosspath::scheduler
