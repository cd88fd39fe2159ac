#include "mosspath/scheduler/job_lifecycle.h"

#include <iterator>
#include <memory>
#include <utility>

#include "mosspath/scheduler/role.h"

namespace mosspath::scheduler {

using cluster::Allocation;
using jobs::Job;

void JobLifecycle::Add(wire::JobSpec spec, uint64_t version, double submitted) {
  std::unique_ptr<Job>& entry = state_.cluster.jobs[spec.id];
  if (entry) return;
  entry = std::make_unique<Job>(std::move(spec), version, submitted);
  Job& job = *entry;
  RestoreProgress(job);
  if (job.spec.kind == wire::JobKind::kArray && job.spec.priority >= wire::Priority::kHigh) {
    state_.provisioning.OnUrgentJob(submitted, job.spec.tasks * job.spec.cpus);
  }
  state_.placer.reservation().OnSubmitted(job.spec, submitted);
  state_.cluster.changed_since_pass = state_.wants_scaling_plan = true;
}

// A job that an earlier leader recorded as crash looping stays in the crash loop, unless one of its
// tasks is done.
void JobLifecycle::RestoreProgress(Job& job) {
  const auto retries = state_.durable_state.RestoreJob(job);
  if (!retries || job.done > 0) return;
  job.crash_looping = true;
  job.retries = *retries;
  job.not_before = state_.failover.began_at() + state_.settings.agent_lease_s;
}

void JobLifecycle::Remove(const std::string& id, double now) {
  const auto it = state_.cluster.jobs.find(id);
  if (it == state_.cluster.jobs.end()) return;
  const Job& job = *it->second;
  state_.durable_state.ForgetJob(job);
  state_.placer.ForgetJob(job);
  state_.cluster.ForgetDuplicates(id);
  state_.role->OnJobRemoved(job);
  state_.cluster.jobs.erase(it);
  StopAllocationsOf(id, now);
  state_.cluster.changed_since_pass = true;
}

void JobLifecycle::StopAllocationsOf(const std::string& job, double now) {
  for (auto& [id, machine] : state_.cluster.machines) {
    auto it = machine.allocations.lower_bound({{job, 0}, 0});
    while (it != machine.allocations.end() && it->first.first.job == job) {
      const auto next = std::next(it);
      Allocation& allocation = it->second;
      allocation.orphaned = true;
      if (allocation.state == Allocation::State::kPlanned) {
        state_.cluster.RemoveAllocation(machine, it, now);
      } else {
        allocation.job_end_seen_at = now;
        cluster::RequestStop(machine, allocation, /*grace_s=*/0);
      }
      it = next;
    }
  }
}

JobCounts JobLifecycle::Counts(const std::string& id) const {
  const Job* job = state_.cluster.FindJob(id);
  if (job == nullptr) return {};
  return {job->done, job->placed()};
}

std::vector<std::string> JobLifecycle::TakeCompleted() {
  std::vector<std::string> completed;
  for (const auto& [id, job] : state_.cluster.jobs) {
    if (!job->complete() || job->completion_in_flight) continue;
    job->completion_in_flight = true;
    completed.push_back(id);
  }
  return completed;
}

void JobLifecycle::OnCompletionFailed(const std::string& id) {
  if (Job* job = state_.cluster.FindJob(id)) job->completion_in_flight = false;
}

}  // namespace mosspath::scheduler
