#include "mosspath/scheduler/holder_role.h"

#include <algorithm>

namespace mosspath::scheduler {

using cluster::Machine;
using jobs::Job;
using jobs::TaskPhase;
using Kind = wire::ShardMessage::Kind;

// The holder drains the machine and returns it to the leader, whose answers may reach the machine.
void HolderRole::OnDeliveryFailureSuspected(Machine& machine) {
  machine.recall_requested = machine.draining = true;
  machine.cordoned = false;
}

// A task of the job that may run on a machine handed over to this holder stays in reconciliation
// until the machine's tasks are determined. When a holder returned such a task at once, the task
// ran twice: the leader had not yet received the cancellation of the job and started the task on
// another machine.
void HolderRole::OnJobRemoved(const Job& job) { sharding_.OnJobRemoved(job); }

// Only the leader records completed tasks in the store.
void HolderRole::OnTaskDone(const Job& job, uint32_t index) {
  state_.shard_leases.SendToLeader(
      {.kind = Kind::kTasksDone, .name = job.spec.id, .tasks = {index}});
}

// Claims a delegated task, an attempt of which was found on a machine of this holder's shard. No
// other controller can have this task.
void HolderRole::OnAttemptRecovered(Job& job, uint32_t index) {
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
