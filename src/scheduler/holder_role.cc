#include "mosspath/scheduler/holder_role.h"

#include <algorithm>

namespace mosspath::scheduler {

using cluster::Machine;
using jobs::Job;
using jobs::TaskPhase;
using Kind = wire::ShardMessage::Kind;

// Only the leader raises tokens, so the machine is emptied and returned.
void HolderRole::OnDeliveryFailureSuspected(Machine& machine) {
  machine.recall_requested = machine.draining = true;
  machine.cordoned = false;
}

// The reconciliation of tasks that may be on machines which were handed over goes on: when a holder
// returned such a task at once, a leader that had not heard of the cancellation started it
// elsewhere.
void HolderRole::OnJobRemoved(const Job& job) { sharding_.OnJobRemoved(job); }

// Only the leader writes what is done.
void HolderRole::OnTaskDone(const Job& job, uint32_t index) {
  state_.shard_leases.SendToLeader(
      {.kind = Kind::kTasksDone, .name = job.spec.id, .tasks = {index}});
}

// The task is on a machine of this holder's shard, so no other controller can have it.
void HolderRole::OnTaskFound(Job& job, uint32_t index) {
  if (job.tasks[index].phase != TaskPhase::kDelegated) return;
  job.tasks[index].phase = TaskPhase::kPending;
  job.pending.insert(index);
  state_.shard_leases.SendToLeader(
      {.kind = Kind::kClaimTasks, .name = job.spec.id, .tasks = {index}});
}

void HolderRole::OnCrashLoop(const Job& job) {
  state_.shard_leases.SendToLeader(
      {.kind = Kind::kCrashLoop, .name = job.spec.id, .count = std::max<uint32_t>(1, job.retries)});
}

}  // namespace mosspath::scheduler
