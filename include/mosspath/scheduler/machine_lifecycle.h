// Machines that this controller commands, from the record or the heartbeat that introduces them to
// their loss or deletion, and what becomes of the tasks that were on them. Pure.
#pragma once

#include <cstdint>
#include <string>

#include "mosspath/scheduler/scheduler_state.h"
#include "mosspath/wire/messages.h"

namespace mosspath::scheduler {

class MachineLifecycle {
 public:
  // `state` outlives this object.
  explicit MachineLifecycle(SchedulerState& state) : state_(state) {}

  // --- Machines come ---

  // Takes over a machine that a predecessor has recorded.
  void AddRecorded(const std::string& id, const MachineRecord& record);
  // Returns the machine that sent the heartbeat, with its address brought up to date.
  cluster::Machine& FindOrAdd(const wire::Heartbeat& heartbeat, double now);
  // The agent reports in this epoch. Whatever an earlier epoch ran has ended.
  void OnAgentEpoch(cluster::Machine& machine, uint64_t agent_epoch, double now);
  // It is known what is on the machine, or that nothing is.
  void OnMachineKnown(cluster::Machine& machine);
  // The same for the reconciliations that wait for the machine, whether it exists or not: tasks
  // that were found on none of their machines wait again.
  void EndReconciliations(const std::string& machine);
  // The machine's record has become durable at this revision of the store.
  void OnRecordDurable(cluster::Machine& machine, uint64_t revision);
  // The machine's heartbeats arrive, but what it is answered seems not to reach it. A heartbeat
  // proves nothing about the way back, and a single answer may be lost on any day.
  void OnDeliveryFailureSuspected(cluster::Machine& machine);

  // --- Machines go ---

  // Ends what was on machines whose agents' leases have expired, whoever renewed these last.
  void ExpireLeases(double now);
  // The cloud has deleted the machine.
  void OnMachineDeleted(const std::string& id, double now);
  // Lets tasks wait again whose unanswered start no other machine can have taken.
  void ReleaseRuledOutStarts();

 private:
  void AddDelegated(const std::string& id, const MachineRecord& record, size_t shard);
  void OnLeaseExpired(cluster::Machine& machine, double now);
  void OnDelegatedMachineDeleted(cluster::Machines::iterator machine);
  // Nothing is on the machine any more, though it has not reported that itself.
  void EndAllocations(cluster::Machine& machine, double now);
  void WithholdUnconfirmedStarts(const cluster::Machine& machine);

  SchedulerState& state_;
};

}  // namespace mosspath::scheduler
