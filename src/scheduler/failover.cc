#include "mosspath/scheduler/failover.h"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <utility>

namespace mosspath::scheduler {

using cluster::Machine;

namespace {

// A machine is silent after this many heartbeat intervals without contact.
constexpr double kSilentHeartbeats = 2;
// A partition is assumed if no more than one in this many of the machines for which
// CountsForPartition is true is reachable.
constexpr size_t kMachinesPerReachable = 4;
// With fewer such machines than this, no partition is assumed.
constexpr size_t kMinMachinesForPartition = 2;
// A partition is reported once the machines have stayed unreachable for this many heartbeat
// intervals.
constexpr double kMinPartitionHeartbeats = 0.5;
constexpr size_t kMaxProbesInFlight = 128;
// At most this share of the machines of a recovery, or of a reconciliation, is deleted so that the
// recovery or the reconciliation completes.
constexpr double kMaxStragglerShare = 0.03;

}  // namespace

Failover::Failover(const config::Settings& settings, const config::DerivedSettings& derived,
                   double now)
    : began_at_(now),
      heartbeat_s_(settings.heartbeat_s),
      agents_try_all_s_(derived.agents_try_all_s),
      probe_interval_s_(derived.probe_answer_s),
      agents_find_leader_s_(derived.agents_find_leader_s),
      agent_suspect_s_(derived.agent_suspect_s),
      agent_lease_over_s_(derived.agent_lease_over_s),
      unstalled_since_(now) {}

void Failover::AddMachine(Machine& machine, bool recovery_waits) {
  machine.awaits_recovery = true;
  machine.blocks_recovery = recovery_waits;
  if (!recovery_waits) return;
  machine.lease_renewed_at = began_at_;
  ++blocking_machines_;
  ++total_blocking_machines_;
}

bool Failover::OnMachineReconciled(Machine& machine) {
  if (!machine.awaits_recovery) return false;
  machine.awaits_recovery = false;
  if (!std::exchange(machine.blocks_recovery, false)) return false;
  if (--blocking_machines_ > 0 || !recovery_complete()) return false;
  spdlog::info("scheduler: recovery_complete cause=machines_known");
  return true;
}

// ---------------------------------------------------------------------------- probes

void Failover::TakeProbes(cluster::Machines& machines, double now, size_t max_batches,
                          std::vector<CommandBatch>& batches) {
  for (auto& [id, machine] : machines) {
    if (probes_in_flight_ >= kMaxProbesInFlight || batches.size() >= max_batches) return;
    if (machine.command_in_flight || machine.deleting || machine.lost || machine.needs_new_token ||
        machine.recorded_address.empty()) {
      continue;
    }
    // A machine is probed until its agent has found this leader. Without probes, the leader would
    // not detect that tasks on the machine have ended, and would leave the freed capacity unused.
    const bool due = machine.token_confirmed
                         ? !HasReported(machine) && now - machine.last_contact_at > heartbeat_s_
                         : machine.awaits_recovery && now >= machine.next_probe_at;
    if (!due) continue;
    machine.command_in_flight = true;
    ++probes_in_flight_;
    batches.push_back(
        {id, machine.recorded_address, machine.fencing_token, machine.probe_epoch, {}});
  }
}

bool Failover::OnProbeAnswer(Machine& machine, const CommandBatch& probe, CommandOutcome outcome,
                             const wire::Heartbeat* heartbeat, double now) const {
  const bool answered = heartbeat != nullptr && heartbeat->machine == probe.machine;
  if (!answered || outcome == CommandOutcome::kUndetermined) {
    ++machine.failed_probes;
    machine.next_probe_at = now + probe_interval_s_;
    return false;
  }
  if (outcome == CommandOutcome::kRefused) {
    // The agent is in another epoch, or has seen a later leader's token.
    machine.next_probe_at = now + probe_interval_s_;
    if (heartbeat->fencing_token <= machine.fencing_token) {
      machine.probe_epoch = std::max(machine.probe_epoch, heartbeat->agent_epoch);
    }
    return false;
  }
  return machine.IsCurrentToken(heartbeat->fencing_token) &&
         heartbeat->agent_epoch == probe.agent_epoch &&
         machine.IsNewer(heartbeat->agent_epoch, heartbeat->sequence);
}

// ---------------------------------------------------------------------------- silent machines

// A new leader starts no task of an earlier job before every machine that it took over is
// reconciled. In a large cluster, a few of these machines never answer, because the cloud has just
// reclaimed them. Once nearly all machines are reconciled, the leader deletes the rest: the cloud
// answers a deletion at once, and a deleted machine runs no task.
std::vector<std::string> Failover::Stragglers(const cluster::Machines& machines,
                                              const TaskReconciliation& reconciliation,
                                              double now) const {
  std::vector<std::string> stragglers;
  const bool few_remaining =
      static_cast<double>(blocking_machines_) <=
      std::max(1.0, kMaxStragglerShare * static_cast<double>(total_blocking_machines_));
  const bool agents_had_time = now - unstalled_since_ > agents_find_leader_s_;
  for (const auto& [id, machine] : machines) {
    if (machine.deleting || !machine.awaits_recovery) continue;
    if (now - machine.last_contact_at <= agents_find_leader_s_) continue;
    const bool nearly_complete = machine.blocks_recovery
                                     ? few_remaining
                                     : reconciliation.IsNearlyComplete(id, kMaxStragglerShare);
    // The machine's heartbeats arrive, but do not confirm the current token, so the leader's
    // answers seem not to reach the agent. A later answer may still reach the agent. Once the agent
    // has received no answer for a whole lease, its tasks have ended.
    if (machine.token_unconfirmed_since > 0) {
      const double unconfirmed_s = machine.TokenUnconfirmedFor(now);
      if (unconfirmed_s > agent_lease_over_s_ ||
          (nearly_complete && unconfirmed_s > agent_suspect_s_)) {
        stragglers.push_back(id);
      }
      continue;
    }
    const bool unresponsive =
        (machine.blocks_recovery && agents_had_time) || machine.failed_probes >= kMaxFailedProbes;
    if (nearly_complete && unresponsive) stragglers.push_back(id);
  }
  return stragglers;
}

bool Failover::IsPartitionedFromAgents(const cluster::Machines& machines, double now) {
  size_t counted = 0;
  size_t reachable = 0;
  for (const auto& [id, machine] : machines) {
    if (!CountsForPartition(machine, now)) continue;
    ++counted;
    const bool silent = now - machine.last_contact_at >= kSilentHeartbeats * heartbeat_s_;
    reachable += HasReported(machine) && !silent ? 1 : 0;
  }
  if (counted < kMinMachinesForPartition || reachable * kMachinesPerReachable > counted) {
    partitioned_since_.reset();
    return false;
  }
  if (!partitioned_since_) partitioned_since_ = now;
  return now - *partitioned_since_ > kMinPartitionHeartbeats * heartbeat_s_;
}

bool Failover::CountsForPartition(const Machine& machine, double now) const {
  if (machine.lost || machine.deleting || machine.missing_from_list || machine.failed) return false;
  // The machine was commanded by a holder that is gone. The holder may have been unable to reach
  // the machine too, so the machine's silence says nothing about this controller's network.
  if (machine.awaits_recovery && !machine.blocks_recovery) return false;
  const bool reported = HasReported(machine);
  if (!reported && (machine.token_confirmed || !machine.awaits_recovery)) return false;
  // The agent has just found this leader, and may not have had time to confirm the leader's token.
  if (!machine.token_confirmed && machine.token_unconfirmed_since > 0 &&
      machine.TokenUnconfirmedFor(now) <= agent_suspect_s_) {
    return false;
  }
  // A failed probe is evidence of a partition as well: a new leader that reaches no agent must
  // detect the partition too. A machine that has answered a probe is reachable, even if its agent
  // takes long to find the leader, because agents try the controllers one by one.
  const bool agents_tried_all = now - unstalled_since_ > agents_try_all_s_;
  return reported || agents_tried_all || machine.failed_probes >= kMaxFailedProbes;
}

void Failover::OnProcessStall(double now) {
  partitioned_since_.reset();
  unstalled_since_ = now;
}

}  // namespace mosspath::scheduler
