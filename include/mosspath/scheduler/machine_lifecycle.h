// The lifecycle of the machines that this controller commands, from the record or heartbeat that
// adds a machine to its loss or deletion, and what happens to the tasks on a machine that is gone.
// Pure.
#pragma once

#include <cstdint>
#include <string>

#include "mosspath/scheduler/scheduler_state.h"
#include "mosspath/wire/messages.h"

namespace mosspath::scheduler {

// Adds, updates and removes the machines in the shared scheduler state. Not thread-safe.
class MachineLifecycle {
 public:
  // `state` must outlive this object.
  explicit MachineLifecycle(SchedulerState& state) : state_(state) {}

  // --- Adding and updating machines ---

  // Adds a machine from a record that an earlier leader wrote.
  void AddRecorded(const std::string& id, const MachineRecord& record);
  // Returns the machine that sent the heartbeat, after adding it if necessary and updating its
  // address.
  cluster::Machine& FindOrAdd(const wire::Heartbeat& heartbeat, double now);
  // Called with the epoch of the agent's heartbeat. All tasks of earlier epochs have ended,
  // so a new epoch removes their allocations.
  void OnAgentEpoch(cluster::Machine& machine, uint64_t agent_epoch, double now);
  // Called when the machine has reported its tasks, or when it is certain that no task runs there.
  void OnMachineReconciled(cluster::Machine& machine);
  // Ends the wait of all reconciliations for the machine, which may be unknown. When a
  // reconciliation waits for no further machine, those of its tasks that were found on no machine
  // become pending.
  void EndReconciliations(const std::string& machine);
  // Called when the machine's record has become durable at this store revision. If the machine
  // needs a new fencing token, the revision becomes that token.
  void OnRecordDurable(cluster::Machine& machine, uint64_t revision);
  // Called when the machine's heartbeats arrive, but several answers to them seem to have been
  // lost. A heartbeat does not prove that answers reach the machine, and a single lost answer does
  // not prove that they fail to.
  void OnDeliveryFailureSuspected(cluster::Machine& machine);

  // --- Removing machines ---

  // Marks as lost each machine whose agent's lease has expired, and removes the machine's
  // allocations. The
  // expiry takes into account that another controller may have renewed the lease last.
  void ExpireLeases(double now);
  // Called when the cloud has deleted the machine.
  void OnMachineDeleted(const std::string& id, double now);
  // Makes a withheld task pending again once it is certain that no other machine has executed the
  // unanswered start of the task.
  void ReleaseRuledOutStarts();

 private:
  void AddDelegated(const std::string& id, const MachineRecord& record, size_t shard);
  void OnLeaseExpired(cluster::Machine& machine, double now);
  void OnDelegatedMachineDeleted(cluster::Machines::iterator machine);
  // Removes all allocations of a machine on which no task runs any more, though the machine has not
  // reported that.
  void EndAllocations(cluster::Machine& machine, double now);
  void WithholdUnconfirmedStarts(const cluster::Machine& machine);

  SchedulerState& state_;
};

}  // namespace mosspath::scheduler
