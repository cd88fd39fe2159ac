// The state of one term of leadership or of one shard lease. The components of the scheduler share
// it by reference. Each member owns one part of the state and documents its invariants in its own
// header. No I/O.
#pragma once

#include <cstdint>
#include <string>

#include "mosspath/autoscaler/scaling_planner.h"
#include "mosspath/cluster/cluster_state.h"
#include "mosspath/config/settings.h"
#include "mosspath/scheduler/activity_tracker.h"
#include "mosspath/scheduler/command_monitor.h"
#include "mosspath/scheduler/durable_state.h"
#include "mosspath/scheduler/failover.h"
#include "mosspath/scheduler/machine_health.h"
#include "mosspath/scheduler/provisioning_tracker.h"
#include "mosspath/scheduler/service_level_objectives.h"
#include "mosspath/scheduler/shard_leases.h"
#include "mosspath/scheduler/stop_monitor.h"
#include "mosspath/scheduler/task_placer.h"
#include "mosspath/scheduler/task_reconciliation.h"
#include "mosspath/scheduler/unconfirmed_starts.h"

namespace mosspath::scheduler {

class Role;

// Settings that operators may change while the scheduler runs, except those of the task placer.
struct SchedulingPolicy {
  autoscaler::ScalingTuning scaling;
  // Whether waiting tasks may stop running tasks of a lower priority.
  bool preemption = true;
};

// Neither copyable nor movable: the task placer and the scheduler's components keep references to
// its members.
struct SchedulerState {
  // `fencing_token` is the token of the term, or the number of the shard lease. `now` is later than
  // any time at which an earlier controller could have answered an agent.
  SchedulerState(const config::Settings& settings, const config::DerivedSettings& derived,
                 uint64_t fencing_token, double now);
  SchedulerState(const SchedulerState&) = delete;
  SchedulerState& operator=(const SchedulerState&) = delete;

  // Returns the machine, whichever controller commands it, or null if it is unknown.
  cluster::Machine* FindMachine(const std::string& id);
  // Returns whether the task may be on machines that another controller has commanded and of which
  // some have not been reconciled yet.
  bool IsReconciling(const wire::TaskId& task) const;
  // Returns this controller's machines and the delegated machines, in the form in which
  // ProvisioningTracker takes machines.
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
  StopMonitor stop_monitor;
  CommandMonitor command_monitor;
  TaskPlacer placer;
  SchedulingPolicy policy;
  // The current role, owned by the Scheduler. Null only while the Scheduler is being constructed.
  Role* role = nullptr;
  // Whether a scaling plan should be made soon instead of at the next interval. Set if, since the
  // last plan, jobs were added, machines came back from holders of shards, or probes of a machine
  // have failed repeatedly. In the last case the plan may have to delete the machine, to rule out
  // that tasks run there.
  bool wants_scaling_plan = false;
  // How the last scaling plan meets the demand.
  autoscaler::DemandSummary planned_demand;
};

}  // namespace mosspath::scheduler
