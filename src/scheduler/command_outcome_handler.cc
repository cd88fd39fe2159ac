#include "mosspath/scheduler/command_outcome_handler.h"

namespace mosspath::scheduler {

using cluster::Allocation;
using cluster::Machine;

void CommandOutcomeHandler::OnOutcome(const CommandBatch& batch, CommandOutcome outcome,
                                      const wire::Heartbeat* heartbeat, double now) {
  const bool is_probe = batch.commands.empty();
  if (is_probe) state_.failover.OnProbeEnded();
  const auto found = state_.cluster.machines.find(batch.machine);
  if (found == state_.cluster.machines.end()) return;
  const bool from_other_machine = heartbeat != nullptr && heartbeat->machine != batch.machine;
  if (outcome == CommandOutcome::kExecuted && from_other_machine) {
    heartbeats_.OnUnexpectedMachine(*heartbeat, now);
  }
  Machine& machine = found->second;
  machine.command_in_flight = false;
  if (is_probe) return heartbeats_.OnProbeAnswer(machine, batch, outcome, heartbeat, now);
  const bool answered_by_target =
      heartbeat != nullptr && !from_other_machine && heartbeat->agent_epoch == batch.agent_epoch;
  if (outcome == CommandOutcome::kExecuted && !answered_by_target) {
    // The answer comes from another machine or another agent epoch, or has no heartbeat, so it does
    // not tell what the target executed.
    outcome = CommandOutcome::kUndetermined;
  }
  for (const wire::Command& command : batch.commands) {
    if (command.type != wire::CommandType::kStart) continue;
    OnStartOutcome(machine, command, outcome, heartbeat, now);
  }
  // The heartbeat in the answer to commands does not renew the agent's lease. Otherwise it is
  // handled like a periodic heartbeat.
  if (outcome != CommandOutcome::kExecuted ||
      !machine.IsNewer(heartbeat->agent_epoch, heartbeat->sequence) ||
      !machine.IsCurrentToken(heartbeat->fencing_token)) {
    return;
  }
  machine.ConfirmToken(heartbeat->fencing_token);
  machine.heartbeat_sequence = heartbeat->sequence;
  machine.last_contact_at = now;
  reconciler_.Reconcile(machine, *heartbeat, HeartbeatKind::kCommandAnswer, now);
}

void CommandOutcomeHandler::OnStartOutcome(Machine& machine, const wire::Command& start,
                                           CommandOutcome outcome, const wire::Heartbeat* heartbeat,
                                           double now) {
  const auto it = machine.allocations.find({start.task, start.attempt});
  if (it == machine.allocations.end()) return;
  Allocation& allocation = it->second;
  if (allocation.state != Allocation::State::kStartSent) return;
  switch (outcome) {
    case CommandOutcome::kExecuted:
      // The heartbeat in the answer already reflects the start, so the start is recorded as sent
      // before this heartbeat.
      allocation.start_sent_sequence = heartbeat->sequence - 1;
      return;
    case CommandOutcome::kRefused:
      state_.cluster.RemoveAllocation(machine, it, now);
      return;
    case CommandOutcome::kUndetermined:
      allocation.start_unconfirmed = machine.has_unconfirmed_starts = true;
      return;
  }
}

}  // namespace mosspath::scheduler
