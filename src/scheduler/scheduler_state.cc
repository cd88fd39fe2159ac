#include "mosspath/scheduler/scheduler_state.h"

namespace mosspath::scheduler {

// The task placer keeps a reference to the settings, so it is given the member `settings` and not
// the argument `s`.
SchedulerState::SchedulerState(const config::Settings& s, const config::DerivedSettings& d,
                               uint64_t fencing_token, double now)
    : settings(s),
      derived(d),
      token(fencing_token),
      objectives(s),
      activity(s),
      cluster(s, d),
      failover(s, d, now),
      durable_state(s, fencing_token),
      provisioning(s, d),
      unconfirmed_starts(s),
      machine_health(s),
      stop_monitor(s),
      placer(settings, cluster, objectives, failover, durable_state, shard_leases, fencing_token) {
  cluster.began_at = now;
}

cluster::Machine* SchedulerState::FindMachine(const std::string& id) {
  if (auto it = cluster.machines.find(id); it != cluster.machines.end()) return &it->second;
  if (auto it = cluster.delegated_machines.find(id); it != cluster.delegated_machines.end()) {
    return &it->second;
  }
  return nullptr;
}

bool SchedulerState::IsReconciling(const wire::TaskId& task) const {
  const uint64_t lease = cluster.delegated_tasks.LeaseOf(task);
  return lease != kNoLease && reconciliation.IsActive(lease);
}

}  // namespace mosspath::scheduler
