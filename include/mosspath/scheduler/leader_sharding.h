// The leader's side of sharding (docs/sharding.md): the leases of shards, and the messages of their
// holders. Pure.
#pragma once

#include <cstdint>
#include <set>
#include <string>
#include <vector>

#include "mosspath/scheduler/machine_handover.h"
#include "mosspath/scheduler/scheduler_state.h"
#include "mosspath/wire/shard_frame.h"

namespace mosspath::scheduler {

class LeaderSharding {
 public:
  // Both outlive this object.
  LeaderSharding(SchedulerState& state, MachineHandover& handover)
      : state_(state), handover_(handover) {}

  // --- Leases ---

  // A controller holds the shard under this lease. `inherited`: since an earlier leader.
  void OpenLease(uint64_t lease, size_t shard, bool inherited);
  // The holder exchanges messages with us, or no longer does. Only then it is given anything.
  void SetLeaseReady(uint64_t lease, bool ready);
  // The lease is over. Its holder may have commanded machines until `last_acted`.
  void CloseLease(uint64_t lease, double last_acted);
  // Returns the leases that are over, of whose machines some are not known yet.
  std::set<uint64_t> ExpiredLeases() const;
  // The holder of that lease has certainly stopped commanding machines.
  void OnHolderCeased(uint64_t lease, double now);
  // Returns the lease under which the machine is another controller's; kNoLease if it is ours or
  // unknown.
  uint64_t LeaseOf(const std::string& machine) const;

  // --- Messages ---

  // A message of the lease's holder. Messages of closed leases are ignored.
  void OnHolderMessage(uint64_t lease, const wire::ShardMessage& message, double now);
  // Tells holders which of the completions that they have reported are durable by now.
  void SendDurableCompletions();

 private:
  std::vector<std::string> TakeBackDelegatedMachines(uint64_t lease, double last_acted);
  std::vector<std::string> AbortHandovers(uint64_t lease, double last_acted);
  void OnClaim(uint64_t lease, const wire::ShardMessage& message);
  void OnClaimOfUnknownJob(uint64_t lease, const wire::TaskId& task);
  bool AcceptClaim(uint64_t lease, jobs::Job& job, uint32_t index);
  bool IsBeingHandedOver(const wire::TaskId& task, uint64_t lease) const;
  void OnSyncComplete(uint64_t lease, uint64_t known_revision);
  void OnTasksDone(uint64_t lease, const wire::ShardMessage& message, double now);
  void OnMachineStatus(uint64_t lease, const wire::ShardMessage& message, double now);
  void OnMachineReturned(uint64_t lease, const wire::ShardMessage& message, double now);
  void OnLoad(uint64_t lease, const wire::ShardMessage& message, double now);
  void OnCrashLoop(const wire::ShardMessage& message, double now);
  // Returns null if the machine is not delegated under that lease.
  cluster::Machine* FindDelegated(const std::string& machine, uint64_t lease);

  SchedulerState& state_;
  MachineHandover& handover_;
};

}  // namespace mosspath::scheduler
