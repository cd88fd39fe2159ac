#include "mosspath/scheduler/leader_role.h"

#include <spdlog/spdlog.h>

namespace mosspath::scheduler {

using cluster::Machine;
using jobs::Job;

// Records the machine's current fencing token. The machine gets no new tasks until it has reported
// under a higher token. Such a report proves that answers reach the machine, because it can have
// received the higher token only in an answer.
void LeaderRole::OnDeliveryFailureSuspected(Machine& machine) {
  machine.ignored_answers_token = machine.fencing_token;
}

bool LeaderRole::OnMachineLost(Machine& machine) {
  machine.in_record = machine.record_durable = false;
  state_.durable_state.RemoveMachine(machine.id);
  return true;
}

// If the team has a limit, delegated tasks of the job are counted towards that limit until the
// holders of shards return the tasks. If the team has no limit, the leader stops tracking these
// tasks at once.
void LeaderRole::OnJobRemoved(const Job& job) {
  cluster::ClusterState& cluster = state_.cluster;
  if (!cluster.quota.IsUnlimited(job.spec.team)) return;
  for (const auto& task : cluster.delegated_tasks.OfJob(job.spec.id)) {
    cluster.ReturnDelegated(task, cluster.delegated_tasks.LeaseOf(task));
  }
}

void LeaderRole::OnTaskDone(const Job& job, uint32_t index) {
  state_.durable_state.OnTaskDone(job, index);
}

void LeaderRole::OnCrashLoop(const Job& job) {
  state_.durable_state.RecordCrashLoop(job.spec.id, job.retries);
}

void LeaderRole::OnCrashLoopEnded(const Job& job) {
  state_.durable_state.ClearCrashLoop(job.spec.id);
}

void ShardedLeaderRole::OnReconciliationEnded(uint64_t reconciliation, size_t tasks) {
  spdlog::info("scheduler: reconciliation_ended lease={} tasks_requeued={}", reconciliation, tasks);
}

}  // namespace mosspath::scheduler
