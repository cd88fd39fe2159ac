#include "mosspath/scheduler/heartbeat_handler.h"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <optional>
#include <utility>

#include "mosspath/scheduler/role.h"

namespace mosspath::scheduler {

using cluster::Machine;

// Whether this controller must not answer the machine: the machine is deleted, or another
// controller commands it, or this controller has no entry for the machine and its role accepts no
// unknown machines.
bool HeartbeatHandler::IsCommandedElsewhere(const std::string& machine) const {
  if (state_.provisioning.is_deleted(machine)) return true;
  if (state_.cluster.delegated_machines.contains(machine)) return true;
  return !state_.role->AcceptsUnknownMachines() && !state_.cluster.machines.contains(machine);
}

// Whether the state of the machine may be updated from the heartbeat. A token above all tokens that
// this controller has issued belongs to a later leader. A token above the machine's own token may
// have been issued by this controller to another machine at the same address. A delayed or
// duplicate heartbeat is no evidence of the machine's present state, not even of its address, and
// the agent could not use the answer.
bool HeartbeatHandler::IsUsable(const wire::Heartbeat& heartbeat) const {
  const uint64_t newest_token = state_.durable_state.newest_revision();
  const auto it = state_.cluster.machines.find(heartbeat.machine);
  if (it == state_.cluster.machines.end()) return heartbeat.fencing_token <= newest_token;
  const Machine& machine = it->second;
  return !machine.needs_new_token && !machine.answers_suspended &&
         heartbeat.fencing_token <= std::max(machine.fencing_token, newest_token) &&
         machine.IsNewer(heartbeat.agent_epoch, heartbeat.sequence);
}

HeartbeatAnswer HeartbeatHandler::OnHeartbeat(const wire::Heartbeat& heartbeat, double now) {
  if (IsCommandedElsewhere(heartbeat.machine) || !IsUsable(heartbeat)) return {};
  Machine& machine = lifecycle_.FindOrAdd(heartbeat, now);
  machine.fencing_token = std::max(machine.fencing_token, heartbeat.fencing_token);
  lifecycle_.OnAgentEpoch(machine, heartbeat.agent_epoch, now);
  machine.heartbeat_sequence = heartbeat.sequence;
  machine.lease_renewed_at = now;
  machine.lost = false;
  // A heartbeat under an older token may have been delayed, or an earlier leader's answer to the
  // agent may still be in flight, so no state is updated from the listed tasks. The heartbeat is no
  // evidence that answers reach the agent either. When such a heartbeat was treated as contact, a
  // machine that received no answers blocked a recovery for as long as its heartbeats arrived.
  // The answer renews the agent's lease, so it must stop the tasks of jobs that have ended.
  if (!machine.IsCurrentToken(heartbeat.fencing_token)) {
    if (machine.token_unconfirmed_since <= 0) machine.token_unconfirmed_since = now;
    return Renew(machine, heartbeat, commands_.StopsUnderNewToken(machine, heartbeat.tasks), now);
  }
  machine.missing_from_list = false;
  OnReclaimNotice(machine, heartbeat, now);
  if (!machine.token_confirmed) state_.cluster.changed_since_pass = true;
  OnTokenConfirmed(machine, heartbeat.fencing_token, now);
  reconciler_.Reconcile(machine, heartbeat, HeartbeatKind::kPeriodic, now);
  lifecycle_.OnMachineReconciled(machine);
  state_.placer.Refill(machine, now);
  return Renew(machine, heartbeat, commands_.TakeHeartbeatCommands(machine, now), now);
}

HeartbeatAnswer HeartbeatHandler::Renew(const Machine& machine, const wire::Heartbeat& heartbeat,
                                        std::vector<wire::Command> commands, double now) {
  state_.stop_monitor.OnLeaseRenewed(machine, heartbeat.fencing_token, commands, now);
  return {true, machine.fencing_token, std::move(commands)};
}

void HeartbeatHandler::OnTokenConfirmed(Machine& machine, uint64_t token, double now) {
  machine.ConfirmToken(token);
  machine.last_contact_at = now;
  machine.token_unconfirmed_since = 0;
  machine.token_confirmed = true;
}

void HeartbeatHandler::OnReclaimNotice(Machine& machine, const wire::Heartbeat& heartbeat,
                                       double now) {
  if (!heartbeat.reclaim_notice_s) {
    machine.reclaim_at.reset();
    return;
  }
  if (!machine.reclaim_at) {
    spdlog::info("scheduler: reclaim_notice machine={} notice_s={}", machine.id,
                 *heartbeat.reclaim_notice_s);
    state_.activity.AddIncident(now, "the cloud takes machine " + machine.id + " back");
    state_.cluster.changed_since_pass = true;
  }
  machine.reclaim_at = now + *heartbeat.reclaim_notice_s;
}

void HeartbeatHandler::OnProbeAnswer(Machine& machine, const CommandBatch& probe,
                                     CommandOutcome outcome, const wire::Heartbeat* heartbeat,
                                     double now) {
  const int failed_before = machine.failed_probes;
  if (!state_.failover.OnProbeAnswer(machine, probe, outcome, heartbeat, now)) {
    const bool failed_again = machine.failed_probes > failed_before;
    state_.wants_scaling_plan =
        state_.wants_scaling_plan || (failed_again && machine.failed_probes >= kMaxFailedProbes);
    return;
  }
  lifecycle_.FindOrAdd(*heartbeat, now);
  OnCommandAnswer(machine, *heartbeat, now);
}

void HeartbeatHandler::OnUnexpectedMachine(const wire::Heartbeat& heartbeat, double now) {
  if (IsCommandedElsewhere(heartbeat.machine) || !IsUsable(heartbeat)) return;
  if (heartbeat.fencing_token < state_.token) return;
  Machine& machine = lifecycle_.FindOrAdd(heartbeat, now);
  if (heartbeat.fencing_token < machine.min_heartbeat_token) return;
  machine.fencing_token = std::max(machine.fencing_token, heartbeat.fencing_token);
  OnCommandAnswer(machine, heartbeat, now);
}

// Unlike a periodic heartbeat, the answer to a command batch doesn't renew the lease.
void HeartbeatHandler::OnCommandAnswer(Machine& machine, const wire::Heartbeat& heartbeat,
                                       double now) {
  lifecycle_.OnAgentEpoch(machine, heartbeat.agent_epoch, now);
  machine.heartbeat_sequence = heartbeat.sequence;
  OnTokenConfirmed(machine, heartbeat.fencing_token, now);
  state_.cluster.changed_since_pass = true;
  reconciler_.Reconcile(machine, heartbeat, HeartbeatKind::kCommandAnswer, now);
  lifecycle_.OnMachineReconciled(machine);
}

}  // namespace mosspath::scheduler
