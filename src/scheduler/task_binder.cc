#include "mosspath/scheduler/task_binder.h"

#include <utility>

#include "mosspath/scheduler/service_level_objectives.h"

namespace mosspath::scheduler {

using cluster::Allocation;
using cluster::Machine;
using jobs::Job;

namespace {

// An attempt number is the fencing token, followed in this many low bits by the number of attempts
// of the task under that token. No attempt number is therefore reused, and the numbers of later
// leaders are higher.
constexpr int kAttemptBits = 16;
constexpr uint16_t kMaxAttempts = 0xffff;
// A time in seconds that is later than any time within one leadership.
constexpr double kDistantFuture = 1e18;

Allocation MakeAllocation(const Job& job, double now) {
  const wire::JobSpec& spec = job.spec;
  Allocation allocation;
  allocation.placed_at = now;
  allocation.expected_run_s = ExpectedRunS(job);
  allocation.cpus = spec.cpus;
  allocation.gpus = spec.gpus;
  allocation.memory_gb = spec.memory_gb;
  allocation.team = spec.team;
  allocation.image = spec.image;
  return allocation;
}

}  // namespace

TaskBinder::TaskBinder(cluster::ClusterState& cluster, ShardLeases& shard_leases,
                       FairShare& fair_share, CapacityReservation& reservation, uint64_t token)
    : cluster_(cluster),
      shard_leases_(shard_leases),
      fair_share_(fair_share),
      reservation_(reservation),
      token_(token) {}

bool TaskBinder::Bind(Job& job, Machine& machine, double now) {
  const uint32_t index = job.pending.first();
  Reserve(job, machine);
  if (machine.shard_lease == 0) return BindToMachine(job, index, machine, now);
  BindToHolder(job, index, machine);
  return true;
}

void TaskBinder::Reserve(const Job& job, const Machine& machine) {
  fair_share_.OnAllocated(job, job.spec.cpus);
  reservation_.OnAllocated(job.spec, machine);
}

void TaskBinder::BindToHolder(Job& job, uint32_t index, Machine& machine) {
  shard_leases_.Delegate(machine, job, index);
  machine.image_cache.MarkUsed(job.spec.image, job.spec.image_gb, machine.cache_gb);
  cluster_.Delegate(job, index, machine.shard_lease);
}

bool TaskBinder::BindToMachine(Job& job, uint32_t index, Machine& machine, double now) {
  jobs::Task& task = job.tasks[index];
  if (task.attempts == kMaxAttempts) {
    // No task is expected to have so many attempts within one leadership. Starting no more attempts
    // ensures that no attempt number is reused.
    job.not_before = kDistantFuture;
    return false;
  }
  ++task.attempts;
  machine.image_cache.MarkUsed(job.spec.image, job.spec.image_gb, machine.cache_gb);
  machine.has_pending_commands = true;
  const uint64_t attempt = (token_ << kAttemptBits) | task.attempts;
  cluster_.Allocate(machine, {{job.spec.id, index}, attempt}, MakeAllocation(job, now));
  return true;
}

}  // namespace mosspath::scheduler
