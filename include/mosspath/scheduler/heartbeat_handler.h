// Heartbeats of agents, and the heartbeats with which agents answer probes: whether they count, and
// what they tell of the machine itself. Their tasks are the reconciler's. Pure.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "mosspath/scheduler/command_batch.h"
#include "mosspath/scheduler/command_planner.h"
#include "mosspath/scheduler/machine_lifecycle.h"
#include "mosspath/scheduler/reconciler.h"
#include "mosspath/scheduler/scheduler_state.h"
#include "mosspath/wire/messages.h"

namespace mosspath::scheduler {

// The answer to a periodic heartbeat.
struct HeartbeatAnswer {
  // False: the heartbeat is refused with status 503, and the agent's lease is not renewed.
  bool accepted = false;
  // The fencing token that the commands are given under.
  uint64_t token = 0;
  std::vector<wire::Command> commands;
};

class HeartbeatHandler {
 public:
  // All outlive this object.
  HeartbeatHandler(SchedulerState& state, MachineLifecycle& lifecycle, Reconciler& reconciler,
                   CommandPlanner& commands)
      : state_(state), lifecycle_(lifecycle), reconciler_(reconciler), commands_(commands) {}

  // A periodic heartbeat. It renews the agent's lease if it is accepted.
  HeartbeatAnswer OnHeartbeat(const wire::Heartbeat& heartbeat, double now);
  // The end of a probe. `heartbeat` is null if no answer came.
  void OnProbeAnswer(cluster::Machine& machine, const CommandBatch& probe, CommandOutcome outcome,
                     const wire::Heartbeat* heartbeat, double now);
  // A batch was executed by another machine than it was meant for, which has its address now. What
  // that one says under our token is as good as its answer to a batch of its own; it may run what
  // was meant for the other, and no record names it.
  void OnUnexpectedMachine(const wire::Heartbeat& heartbeat, double now);

 private:
  bool IsCommandedElsewhere(const std::string& machine) const;
  bool IsUsable(const wire::Heartbeat& heartbeat) const;
  // The heartbeat shows the machine's present token.
  void OnTokenShown(cluster::Machine& machine, double now);
  void OnReclaimNotice(cluster::Machine& machine, const wire::Heartbeat& heartbeat, double now);
  void TakeCommandAnswer(cluster::Machine& machine, const wire::Heartbeat& heartbeat, double now);

  SchedulerState& state_;
  MachineLifecycle& lifecycle_;
  Reconciler& reconciler_;
  CommandPlanner& commands_;
};

}  // namespace mosspath::scheduler
