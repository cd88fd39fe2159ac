// What becomes of command batches that went straight to agents. Pure.
#pragma once

#include "mosspath/scheduler/command_batch.h"
#include "mosspath/scheduler/heartbeat_handler.h"
#include "mosspath/scheduler/reconciler.h"
#include "mosspath/scheduler/scheduler_state.h"
#include "mosspath/wire/messages.h"

namespace mosspath::scheduler {

class CommandOutcomeHandler {
 public:
  // All outlive this object.
  CommandOutcomeHandler(SchedulerState& state, HeartbeatHandler& heartbeats, Reconciler& reconciler)
      : state_(state), heartbeats_(heartbeats), reconciler_(reconciler) {}

  // Called once for each batch that was taken. `heartbeat` is what the agent answered, null if it
  // did not.
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
