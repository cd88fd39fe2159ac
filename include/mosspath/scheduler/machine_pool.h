// The machines that one placement pass may use.
#pragma once

#include <vector>

#include "mosspath/cluster/cluster_state.h"

namespace mosspath::scheduler {

// Schedulable machines: first those that this controller commands, then those that it delegates
// to, each by name. The cluster state owns the machines; the pool is valid for one pass.
using MachinePool = std::vector<cluster::Machine*>;

// CPUs of all schedulable machines, whoever commands them.
double SchedulableCpus(const cluster::ClusterState& cluster, double now);

}  // namespace mosspath::scheduler
