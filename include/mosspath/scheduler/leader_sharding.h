// The leader's side of sharding (docs/sharding.md): opens and closes shard leases, and handles the
// messages of the holders. Pure.
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
  // Both arguments outlive this object.
  LeaderSharding(SchedulerState& state, MachineHandover& handover)
      : state_(state), handover_(handover) {}

  // --- Leases ---

  // Opens the lease under which a controller holds the shard. `inherited`: an earlier leader
  // granted the lease.
  void OpenLease(uint64_t lease, size_t shard, bool inherited);
  // Sets whether the holder exchanges messages with this leader. Only the holder of a ready lease
  // receives machines and tasks.
  void SetLeaseReady(uint64_t lease, bool ready);
  // Closes a lease that has ended, and takes its machines back. The former holder may have
  // commanded them until `last_acted`.
  void CloseLease(uint64_t lease, double last_acted);
  // Returns the ended leases with machines that have not been reconciled since, so that it is not
  // known which tasks are on these machines.
  std::set<uint64_t> ExpiredLeases() const;
  // Called once it is certain that the holder of the ended lease has stopped commanding machines.
  void OnHolderCeased(uint64_t lease, double now);
  // Returns the lease under which another controller commands the machine; kNoLease if this leader
  // commands the machine or the machine is unknown.
  uint64_t LeaseOf(const std::string& machine) const;

  // --- Messages ---

  // Handles a message of the lease's holder. Messages of closed leases are ignored.
  void OnHolderMessage(uint64_t lease, const wire::ShardMessage& message, double now);
  // Queues a message to each holder that lists which of its reported task completions are now
  // durable.
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
