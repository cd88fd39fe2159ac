#include "mosspath/scheduler/machine_pool.h"

namespace mosspath::scheduler {

double SchedulableCpus(const cluster::ClusterState& cluster, double now) {
  double cpus = 0;
  for (const auto* machines : {&cluster.machines, &cluster.delegated_machines}) {
    for (const auto& [id, machine] : *machines) {
      cpus += cluster.IsSchedulable(machine, now) ? machine.cpus : 0;
    }
  }
  return cpus;
}

}  // namespace mosspath::scheduler
