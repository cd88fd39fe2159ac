// What a new leader has to find out before it may start tasks of earlier jobs, and whether it can
// find out anything at all. Pure.
//
// Agents find a new leader only after their heartbeats to the old one have timed out, so the leader
// probes them: a command batch without commands makes an agent take the leader's fencing token, and
// its answer lists what it has. From then on the agent takes nothing from earlier leaders, so the
// answer tells as much as a heartbeat (rule 5 of docs/design.md).
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "mosspath/cluster/cluster_state.h"
#include "mosspath/config/settings.h"
#include "mosspath/scheduler/command_batch.h"
#include "mosspath/scheduler/task_reconciliation.h"

namespace mosspath::scheduler {

// Probes without an answer before a machine counts as a straggler.
inline constexpr int kMaxFailedProbes = 2;

class Failover {
 public:
  // `now` is after the last moment at which an earlier leader could have answered an agent.
  Failover(const config::Settings& settings, const config::DerivedSettings& derived, double now);

  double began_at() const { return began_at_; }
  // Since when this process has run without a stall.
  double unstalled_since() const { return unstalled_since_; }
  // Whether every place is known that tasks of earlier leaders could be at.
  bool recovery_complete() const { return machines_left_ == 0 && awaited_leases_.empty(); }

  // Adds a machine that must be asked what it runs. `recovery_waits`: recovery waits for it, as it
  // is in the predecessor's record. If not, another controller commanded it until now, and only
  // that controller's tasks wait for it.
  void AddMachine(cluster::Machine& machine, bool recovery_waits = true);
  // Recovery waits until the holder of this lease has claimed what it has.
  void AwaitHolder(uint64_t lease) { awaited_leases_.insert(lease); }
  bool IsAwaiting(uint64_t lease) const { return awaited_leases_.contains(lease); }
  // The holder has claimed all, or its machines are asked instead. Returns whether this completes
  // the recovery.
  bool OnHolderSynced(uint64_t lease) {
    return awaited_leases_.erase(lease) > 0 && recovery_complete();
  }
  // It is known what is on the machine, or that nothing of earlier leaders is. Returns whether this
  // completes the recovery.
  bool OnMachineReconciled(cluster::Machine& machine);

  // Appends the probes that are due, until there are `max_batches` batches in all.
  void TakeProbes(cluster::Machines& machines, double now, size_t max_batches,
                  std::vector<CommandBatch>& batches);
  // A probe has ended, however.
  void OnProbeEnded() { probes_in_flight_ -= probes_in_flight_ > 0 ? 1 : 0; }
  // Takes in how a probe has ended; `heartbeat` is null without an answer. Returns whether the
  // heartbeat tells what is on the machine.
  bool OnProbeAnswer(cluster::Machine& machine, const CommandBatch& probe, CommandOutcome outcome,
                     const wire::Heartbeat* heartbeat, double now) const;
  // Whether agents may not have found this leader yet, so that they are probed until they have.
  bool agents_may_be_searching(double now) const { return now - began_at_ < search_s_; }
  // Returns machines that are to be deleted so that the others needn't wait for them.
  std::vector<std::string> Stragglers(const cluster::Machines& machines,
                                      const TaskReconciliation& reconciliation, double now) const;

  // Whether most agents that were heard are silent now, all at once, and have been for a while.
  bool IsPartitionedFromAgents(const cluster::Machines& machines, double now);
  // The process did not run until now.
  void OnProcessStall(double now);

 private:
  // Whether the machine says anything about the network between this controller and the agents.
  bool CountsForPartition(const cluster::Machine& machine, double now) const;
  bool HasReported(const cluster::Machine& machine) const {
    return machine.lease_renewed_at > began_at_;
  }

  const double began_at_;
  const double heartbeat_s_;
  const double search_s_;  // in which agents that try all controllers find the leader
  const double probe_interval_s_;
  const double agents_find_leader_s_;
  const double agent_suspect_s_;
  const double agent_lease_over_s_;
  double unstalled_since_;
  std::optional<double> partitioned_since_;
  size_t machines_left_ = 0;   // that recovery waits for
  size_t machines_total_ = 0;  // that it has waited for in all
  std::set<uint64_t> awaited_leases_;
  size_t probes_in_flight_ = 0;
};

}  // namespace mosspath::scheduler
