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

  // Takes over a machine that a predecessor has recorded.
  void AddRecorded(const std::string& id, const MachineRecord& record);
  // Returns the machine that sent the heartbeat, after adding it if necessary and updating its
  // address.
  cluster::Machine& FindOrAdd(const wire::Heartbeat& heartbeat, double now);
  // Called with the epoch of the agent's heartbeat. All tasks of earlier epochs have ended,
  // so a new epoch removes their allocations.
  void OnAgentEpoch(cluster::Machine& machine, uint64_t agent_epoch, double now);
  // Called when the tasks on the machine are determined, or when nothing can run there.
  void OnMachineReconciled(cluster::Machine& machine);
  // Ends the wait of all reconciliations for the machine, which may be unknown. When a
  // reconciliation waits for no further machine, its tasks that were found on none become pending.
  void EndReconciliations(const std::string& machine);
  // Called when the machine's record has become durable at this store revision. The revision serves
  // as the machine's new fencing token if the machine needs one.
  void OnRecordDurable(cluster::Machine& machine, uint64_t revision);
  // Called when the machine's heartbeats arrive but the answers seem not to reach it. A heartbeat
  // does not prove that answers arrive, and a single lost answer does not prove that they don't.
  void OnDeliveryFailureSuspected(cluster::Machine& machine);

  // --- Removing machines ---

  // Marks machines as lost whose agents' leases have expired, whichever controller renewed the
  // leases last, and removes their allocations.
  void ExpireLeases(double now);
  // Called when the cloud has deleted the machine.
  void OnMachineDeleted(const std::string& id, double now);
  // Makes withheld tasks pending again once no other machine can have executed their unanswered
  // start.
  void ReleaseRuledOutStarts();

 private:
  void AddDelegated(const std::string& id, const MachineRecord& record, size_t shard);
  void OnLeaseExpired(cluster::Machine& machine, double now);
  void OnDelegatedMachineDeleted(cluster::Machines::iterator machine);
  // Removes all allocations of a machine that runs nothing any more but has not reported so.
  void EndAllocations(cluster::Machine& machine, double now);
  void WithholdUnconfirmedStarts(const cluster::Machine& machine);

  SchedulerState& state_;
};

}  // namespace mosspath::scheduler
