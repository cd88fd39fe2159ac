// Handles the agents' periodic heartbeats, and the heartbeats in their answers to probes: validates
// each heartbeat and updates the state of the machine. The reconciler handles the listed tasks.
// Pure.
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
  // If false, the heartbeat is refused with status 503, and the agent's lease is not renewed.
  bool accepted = false;
  // The fencing token of the commands.
  uint64_t token = 0;
  std::vector<wire::Command> commands;
};

// Not thread-safe.
class HeartbeatHandler {
 public:
  // The arguments must outlive this object.
  HeartbeatHandler(SchedulerState& state, MachineLifecycle& lifecycle, Reconciler& reconciler,
                   CommandPlanner& commands)
      : state_(state), lifecycle_(lifecycle), reconciler_(reconciler), commands_(commands) {}

  // Handles a periodic heartbeat. If the heartbeat is accepted, it renews the agent's lease.
  HeartbeatAnswer OnHeartbeat(const wire::Heartbeat& heartbeat, double now);
  // Handles the end of a probe. `heartbeat` is null if no answer came.
  void OnProbeAnswer(cluster::Machine& machine, const CommandBatch& probe, CommandOutcome outcome,
                     const wire::Heartbeat* heartbeat, double now);
  // Handles the answer to a batch that was executed by another machine than the intended one,
  // because the other machine has reused the address. If the heartbeat carries this leader's token,
  // it is handled like the answer to a batch for the machine that sent it. That machine may have no
  // record, and may run the tasks that were meant for the intended machine, so it must be added.
  void OnUnexpectedMachine(const wire::Heartbeat& heartbeat, double now);

 private:
  bool IsCommandedElsewhere(const std::string& machine) const;
  bool IsUsable(const wire::Heartbeat& heartbeat) const;
  // Returns the answer that renews the agent's lease and carries the commands.
  HeartbeatAnswer Renew(const cluster::Machine& machine, const wire::Heartbeat& heartbeat,
                        std::vector<wire::Command> commands, double now);
  // Called when a heartbeat confirms the machine's present token.
  void OnTokenConfirmed(cluster::Machine& machine, uint64_t token, double now);
  void OnReclaimNotice(cluster::Machine& machine, const wire::Heartbeat& heartbeat, double now);
  void OnCommandAnswer(cluster::Machine& machine, const wire::Heartbeat& heartbeat, double now);

  SchedulerState& state_;
  MachineLifecycle& lifecycle_;
  Reconciler& reconciler_;
  CommandPlanner& commands_;
};

}  // namespace mosspath::scheduler
