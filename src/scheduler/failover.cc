#include "mosspath/scheduler/failover.h"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <utility>

namespace mosspath::scheduler {

using cluster::Machine;

namespace {

// Heartbeat intervals without contact after which a machine counts as silent.
constexpr double kSilentHeartbeats = 2;
// Of the machines that were heard, the share that must be silent for a partition is more than
// 1 - 1 / kKnownPerHeard.
constexpr size_t kKnownPerHeard = 4;
// A partition shows on no fewer machines than this.
constexpr size_t kMinKnownMachines = 2;
// Heartbeat intervals that a partition must have lasted.
constexpr double kMinPartitionHeartbeats = 0.5;
constexpr size_t kMaxProbesInFlight = 128;
// The share of the machines of a takeover that the others needn't wait for.
constexpr double kMaxStragglerShare = 0.03;

}  // namespace

Failover::Failover(const config::Settings& settings, const config::DerivedSettings& derived,
                   double now)
    : began_at_(now),
      heartbeat_s_(settings.heartbeat_s),
      search_s_(derived.agents_try_all_s),
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
  ++machines_left_;
  ++machines_total_;
}

bool Failover::OnMachineReconciled(Machine& machine) {
  if (!machine.awaits_recovery) return false;
  machine.awaits_recovery = false;
  if (!std::exchange(machine.blocks_recovery, false)) return false;
  if (--machines_left_ > 0 || !recovery_complete()) return false;
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
    // A machine is probed until its agent has found us, so that what ends there is known and
    // refilled meanwhile.
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
  return heartbeat->fencing_token == machine.fencing_token &&
         heartbeat->agent_epoch == probe.agent_epoch &&
         machine.IsNewer(heartbeat->agent_epoch, heartbeat->sequence);
}

// ---------------------------------------------------------------------------- silent machines

// A new leader starts nothing of earlier jobs before it has heard from every machine that it took
// over. At any time some of many machines have just been reclaimed by the cloud, so once nearly all
// have been heard the others are deleted: that is answered at once, and rules them out.
std::vector<std::string> Failover::Stragglers(const cluster::Machines& machines,
                                              const TaskReconciliation& reconciliation,
                                              double now) const {
  std::vector<std::string> stragglers;
  const bool few_left = static_cast<double>(machines_left_) <=
                        std::max(1.0, kMaxStragglerShare * static_cast<double>(machines_total_));
  const bool agents_had_time = now - unstalled_since_ > agents_find_leader_s_;
  for (const auto& [id, machine] : machines) {
    if (machine.deleting || !machine.awaits_recovery) continue;
    if (now - machine.last_contact_at <= agents_find_leader_s_) continue;
    const bool nearly_complete = machine.blocks_recovery
                                     ? few_left
                                     : reconciliation.IsNearlyComplete(id, kMaxStragglerShare);
    // Its heartbeats arrive, but answers don't reach it. While that is new they may yet. What it
    // had has ended once that has lasted for a lease.
    if (machine.token_unconfirmed_since > 0) {
      const double unconfirmed_s = machine.TokenUnconfirmedFor(now);
      if (unconfirmed_s > agent_lease_over_s_ ||
          (nearly_complete && unconfirmed_s > agent_suspect_s_)) {
        stragglers.push_back(id);
      }
      continue;
    }
    const bool given_up =
        (machine.blocks_recovery && agents_had_time) || machine.failed_probes >= kMaxFailedProbes;
    if (nearly_complete && given_up) stragglers.push_back(id);
  }
  return stragglers;
}

bool Failover::IsPartitionedFromAgents(const cluster::Machines& machines, double now) {
  size_t known = 0;
  size_t heard = 0;
  for (const auto& [id, machine] : machines) {
    if (!CountsForPartition(machine, now)) continue;
    ++known;
    const bool silent = now - machine.last_contact_at >= kSilentHeartbeats * heartbeat_s_;
    heard += HasReported(machine) && !silent ? 1 : 0;
  }
  if (known < kMinKnownMachines || heard * kKnownPerHeard > known) {
    partitioned_since_.reset();
    return false;
  }
  if (!partitioned_since_) partitioned_since_ = now;
  return now - *partitioned_since_ > kMinPartitionHeartbeats * heartbeat_s_;
}

bool Failover::CountsForPartition(const Machine& machine, double now) const {
  if (machine.lost || machine.deleting || machine.missing_from_list || machine.failed) return false;
  // A holder that is gone couldn't reach the machine either.
  if (machine.awaits_recovery && !machine.blocks_recovery) return false;
  const bool reported = HasReported(machine);
  if (!reported && (machine.token_confirmed || !machine.awaits_recovery)) return false;
  // It has just found us, and may not have had the time to show our token.
  if (!machine.token_confirmed && machine.token_unconfirmed_since > 0 &&
      machine.TokenUnconfirmedFor(now) <= agent_suspect_s_) {
    return false;
  }
  // A new leader that probes in vain can't do its work either. What answered a probe is within
  // reach, though its agent may take long to find the leader, as it tries the controllers one by
  // one.
  const bool agents_tried_all = now - unstalled_since_ > search_s_;
  return reported || agents_tried_all || machine.failed_probes >= kMaxFailedProbes;
}

void Failover::OnProcessStall(double now) {
  partitioned_since_.reset();
  unstalled_since_ = now;
}

}  // namespace mosspath::scheduler
