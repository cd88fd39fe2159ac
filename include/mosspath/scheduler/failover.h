// Recovery after a leader change: determines what the machines of earlier leaders run, before tasks
// of earlier jobs may be started, and detects a partition between this controller and the agents.
// Pure.
//
// Agents find a new leader only after their heartbeats to the old leader have timed out, so the new
// leader probes them. A probe is a command batch without commands. The agent adopts the leader's
// fencing token with it, and lists its tasks in the answer. From then on the agent rejects commands
// of earlier leaders, so the answer is as conclusive as a heartbeat (rule 5 of docs/design.md).
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

// Unanswered probes after which a machine counts as unresponsive.
inline constexpr int kMaxFailedProbes = 2;

// Tracks the recovery of one term of leadership. The machines themselves belong to the cluster
// state. Not thread-safe. Times are in seconds.
class Failover {
 public:
  // `now` is later than any answer of an earlier leader to an agent.
  Failover(const config::Settings& settings, const config::DerivedSettings& derived, double now);

  double began_at() const { return began_at_; }
  // Returns the end of this process's last stall, or the beginning of the term if there was none.
  double unstalled_since() const { return unstalled_since_; }
  // Whether all machines that may run tasks of earlier leaders are reconciled, and all holders have
  // claimed theirs.
  bool recovery_complete() const { return blocking_machines_ == 0 && awaited_leases_.empty(); }

  // Adds a machine whose tasks must be determined. `recovery_waits` is true if the machine stems
  // from the predecessor's record, so that the recovery waits for it. If false, another controller
  // commanded the machine until now, and only the tasks of that controller wait for it.
  void AddMachine(cluster::Machine& machine, bool recovery_waits = true);
  // Makes the recovery wait until the holder of this lease has claimed its machines and tasks.
  void AwaitHolder(uint64_t lease) { awaited_leases_.insert(lease); }
  bool IsAwaiting(uint64_t lease) const { return awaited_leases_.contains(lease); }
  // Called when the holder has claimed everything, or when its machines are probed instead. Returns
  // whether this completes the recovery.
  bool OnHolderSynced(uint64_t lease) {
    return awaited_leases_.erase(lease) > 0 && recovery_complete();
  }
  // Called when the tasks on the machine are determined, or when none of earlier leaders can be
  // there. Returns whether this completes the recovery.
  bool OnMachineReconciled(cluster::Machine& machine);

  // Appends the probes that are due, until `batches` has `max_batches` elements.
  void TakeProbes(cluster::Machines& machines, double now, size_t max_batches,
                  std::vector<CommandBatch>& batches);
  // Called for each probe that has ended, with or without an answer.
  void OnProbeEnded() { probes_in_flight_ -= probes_in_flight_ > 0 ? 1 : 0; }
  // Records the outcome of a probe; `heartbeat` is null without an answer. Returns whether the
  // heartbeat is a valid list of the machine's tasks.
  bool OnProbeAnswer(cluster::Machine& machine, const CommandBatch& probe, CommandOutcome outcome,
                     const wire::Heartbeat* heartbeat, double now) const;
  // Whether agents may still be trying other controllers, so that the leader must probe them.
  bool agents_may_be_searching(double now) const { return now - began_at_ < agents_try_all_s_; }
  // Returns the machines to delete because they delay the recovery, or a reconciliation, that is
  // otherwise nearly complete.
  std::vector<std::string> Stragglers(const cluster::Machines& machines,
                                      const TaskReconciliation& reconciliation, double now) const;

  // Whether most agents have been silent at the same time for long enough that this controller must
  // be partitioned from them.
  bool IsPartitionedFromAgents(const cluster::Machines& machines, double now);
  // Called after the process was stalled until `now`.
  void OnProcessStall(double now);

 private:
  // Whether the machine's silence or contact is evidence about the network between this controller
  // and the agents.
  bool CountsForPartition(const cluster::Machine& machine, double now) const;
  bool HasReported(const cluster::Machine& machine) const {
    return machine.lease_renewed_at > began_at_;
  }

  const double began_at_;
  const double heartbeat_s_;
  const double agents_try_all_s_;  // within which an agent has tried all controllers
  const double probe_interval_s_;
  const double agents_find_leader_s_;
  const double agent_suspect_s_;
  const double agent_lease_over_s_;
  double unstalled_since_;
  std::optional<double> partitioned_since_;
  size_t blocking_machines_ = 0;        // machines that the recovery still waits for
  size_t total_blocking_machines_ = 0;  // machines that it has waited for since it began
  std::set<uint64_t> awaited_leases_;
  size_t probes_in_flight_ = 0;
};

}  // namespace mosspath::scheduler
