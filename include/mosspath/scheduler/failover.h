// Recovery after a leader change: determines which tasks run on the machines of earlier leaders,
// before tasks of earlier jobs may be started, and detects a partition between this controller and
// the agents. Pure.
//
// Agents find a new leader only after their heartbeats to the old leader have timed out, so the new
// leader probes them. A probe is a command batch without commands. An agent that executes a probe
// adopts the new leader's fencing token and lists its tasks in the answer. From then on the agent
// rejects commands of earlier leaders, so the list in the answer is as conclusive as the list in a
// periodic heartbeat (rule 5 of docs/design.md).
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

// A machine is treated as unresponsive after this many unanswered probes.
inline constexpr int kMaxFailedProbes = 2;

// Tracks the recovery of one term of leadership. The machines themselves belong to the cluster
// state. Not thread-safe. Times are in seconds.
class Failover {
 public:
  // `now` is later than any answer that an earlier leader sent to an agent.
  Failover(const config::Settings& settings, const config::DerivedSettings& derived, double now);

  double began_at() const { return began_at_; }
  // Returns the end of this process's last stall, or the beginning of the term if there was none.
  double unstalled_since() const { return unstalled_since_; }
  // Whether all machines that may run tasks of earlier leaders are reconciled, and all awaited
  // holders have claimed their machines and tasks.
  bool recovery_complete() const { return blocking_machines_ == 0 && awaited_leases_.empty(); }

  // Adds a machine whose tasks must be determined. `recovery_waits` is true if the machine stems
  // from the predecessor's record; the recovery then waits for the machine. If false, another
  // controller commanded the machine until now, and only the tasks of that controller wait for the
  // machine.
  void AddMachine(cluster::Machine& machine, bool recovery_waits = true);
  // Makes the recovery wait until the holder of this lease has claimed its machines and tasks.
  void AwaitHolder(uint64_t lease) { awaited_leases_.insert(lease); }
  bool IsAwaiting(uint64_t lease) const { return awaited_leases_.contains(lease); }
  // Called when the holder has claimed all its machines and tasks, or when the leader probes the
  // holder's machines instead. Returns whether this completes the recovery.
  bool OnHolderSynced(uint64_t lease) {
    return awaited_leases_.erase(lease) > 0 && recovery_complete();
  }
  // Called when the tasks on the machine are determined, or when no task of an earlier leader can
  // be on the machine any more. Returns whether this completes the recovery.
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
  // Returns the machines to delete: the last machines that a nearly complete recovery or
  // reconciliation waits for, and the machines that have not confirmed their token for a whole
  // agent lease.
  std::vector<std::string> Stragglers(const cluster::Machines& machines,
                                      const TaskReconciliation& reconciliation, double now) const;

  // Whether so many agents have been silent at the same time, and for so long, that a partition
  // between this controller and the agents is assumed.
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
  const double agents_try_all_s_;  // time in which an agent tries all controllers
  const double probe_interval_s_;
  const double agents_find_leader_s_;
  const double agent_suspect_s_;
  const double agent_lease_over_s_;
  double unstalled_since_;
  std::optional<double> partitioned_since_;
  size_t blocking_machines_ = 0;        // machines that the recovery still waits for
  size_t total_blocking_machines_ = 0;  // machines that the recovery waited for in this term
  std::set<uint64_t> awaited_leases_;
  size_t probes_in_flight_ = 0;
};

}  // namespace mosspath::scheduler
