// Handles the outcomes of command batches that were sent directly to agents. Pure.
#pragma once

#include "mosspath/scheduler/command_batch.h"
#include "mosspath/scheduler/heartbeat_handler.h"
#include "mosspath/scheduler/reconciler.h"
#include "mosspath/scheduler/scheduler_state.h"
#include "mosspath/wire/messages.h"

namespace mosspath::scheduler {

// Not thread-safe.
class CommandOutcomeHandler {
 public:
  // The arguments must outlive this object.
  CommandOutcomeHandler(SchedulerState& state, HeartbeatHandler& heartbeats, Reconciler& reconciler)
      : state_(state), heartbeats_(heartbeats), reconciler_(reconciler) {}

  // Called once for each batch that CommandPlanner::TakeBatches has returned. `heartbeat` is the
  // heartbeat in the agent's answer, or null if there is none.
  void OnOutcome(const CommandBatch& batch, CommandOutcome outcome,
                 const wire::Heartbeat* heartbeat, double now);

 private:
  void OnStartOutcome(cluster::Machine& machine, const wire::Command& start, CommandOutcome outcome,
                      const wire::Heartbeat* heartbeat, double now);

  SchedulerState& state_;
  HeartbeatHandler& heartbeats_;
  Reconciler& reconciler_;
};

}  // namespace mosspath::scheduler
