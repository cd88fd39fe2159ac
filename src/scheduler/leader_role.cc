#include "mosspath/scheduler/leader_role.h"

#include <spdlog/spdlog.h>

namespace mosspath::scheduler {

using cluster::Machine;
using jobs::Job;

// The machine takes no new work until it has shown a token that it can only know from an answer.
void LeaderRole::OnDeliverySuspected(Machine& machine) {
  machine.ignored_answers_token = machine.fencing_token;
}

bool LeaderRole::OnMachineLost(Machine& machine) {
  machine.in_record = machine.record_durable = false;
  state_.durable_state.RemoveMachine(machine.id);
  return true;
}

// What holders still have of the job counts towards its team until they report that it is gone,
// unless the team has no limit.
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
  spdlog::info("scheduler: reconciliation_ended lease={} tasks_waiting_again={}", reconciliation,
               tasks);
}

}  // namespace mosspath::scheduler
