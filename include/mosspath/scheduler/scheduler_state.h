// The state of one term of leadership, or of one shard lease, that the units of the scheduler share
// by reference. Each member owns one part of it; the invariants stand in the members' headers.
// Pure.
#pragma once

#include <cstdint>
#include <string>

#include "mosspath/autoscaler/scaling_planner.h"
#include "mosspath/cluster/cluster_state.h"
#include "mosspath/config/settings.h"
#include "mosspath/scheduler/activity_tracker.h"
#include "mosspath/scheduler/durable_state.h"
#include "mosspath/scheduler/failover.h"
#include "mosspath/scheduler/machine_health.h"
#include "mosspath/scheduler/provisioning_tracker.h"
#include "mosspath/scheduler/service_level_objectives.h"
#include "mosspath/scheduler/shard_leases.h"
#include "mosspath/scheduler/task_placer.h"
#include "mosspath/scheduler/task_reconciliation.h"
#include "mosspath/scheduler/unconfirmed_starts.h"

namespace mosspath::scheduler {

class Role;

// What operators may change while the scheduler runs, beside the policy of the task placer.
struct SchedulingPolicy {
  autoscaler::ScalingTuning scaling;
  // Whether waiting work may stop running work of a lower rank.
  bool preemption = true;
};

// Neither copied nor moved: the task placer and all units keep references to its members.
struct SchedulerState {
  // `fencing_token` is the token of this term. `now` is after the last moment at which an earlier
  // controller could have answered an agent.
  SchedulerState(const config::Settings& settings, const config::DerivedSettings& derived,
                 uint64_t fencing_token, double now);
  SchedulerState(const SchedulerState&) = delete;
  SchedulerState& operator=(const SchedulerState&) = delete;

  // Returns the machine, whichever controller commands it; null if it is unknown.
  cluster::Machine* FindMachine(const std::string& id);
  // Whether the task may be on machines that another controller commanded until now, of which some
  // are not known yet.
  bool IsReconciling(const wire::TaskId& task) const;
  // Returns the provisioning tracker's view of the machines that are up.
  ProvisioningTracker::MachineMaps AllMachines() {
    return {&cluster.machines, &cluster.delegated_machines};
  }

  const config::Settings settings;
  const config::DerivedSettings derived;
  const uint64_t token;
  const ServiceLevelObjectives objectives;
  ActivityTracker activity;
  cluster::ClusterState cluster;
  Failover failover;
  TaskReconciliation reconciliation;
  ShardLeases shard_leases;
  DurableState durable_state;
  ProvisioningTracker provisioning;
  UnconfirmedStarts unconfirmed_starts;
  const MachineHealth machine_health;
  TaskPlacer placer;
  SchedulingPolicy policy;
  // The present role, owned by the scheduler. Null only while the scheduler is being constructed.
  Role* role = nullptr;
  // Something has come since the last scaling plan that the next one should see at once: jobs, or
  // machines whose tasks must be ruled out.
  bool wants_scaling_plan = false;
};

}  // namespace mosspath::scheduler
