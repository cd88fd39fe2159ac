#include "mosspath/scheduler/machine_health.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace mosspath::scheduler {

using cluster::Machine;
using jobs::Job;

namespace {

// Timed tasks of a job, before others are compared with their mean.
constexpr uint32_t kMinTimedTasksOfJob = 3;
// Timed tasks on a machine, before it is judged; also over how many its slowdown is averaged.
constexpr int kMinTimedTasksOnMachine = 4;
// How many times slower than others a machine is when it counts as slow.
constexpr double kSlowFactor = 2.5;
// How many times the usual run time a task must have to run yet, to be restarted elsewhere.
constexpr double kRestartFactor = 1.5;
// Failed tasks in a row, before a machine counts as faulty.
constexpr int kFailuresOfFaultyMachine = 3;
// Different jobs that must have failed on a machine, unless the last has succeeded elsewhere.
constexpr size_t kMinFailedJobs = 2;
// Failed tasks of a job in a row, and machines that they failed on, before it is crash looping.
constexpr uint32_t kFailuresOfCrashLoop = 4;
constexpr size_t kMinMachinesOfCrashLoop = 2;
// The pause between retries of a crash looping job: agent leases, growing by the factor each time.
constexpr double kMaxRetryPauseLeases = 16;
constexpr double kRetryPauseGrowth = 2;

}  // namespace

MachineHealth::Verdict MachineHealth::OnTaskTimed(Machine& machine, Job& job, double ran_s) const {
  auto verdict = Verdict::kNone;
  if (job.timed_tasks >= kMinTimedTasksOfJob && job.mean_run_s() > heartbeat_s_) {
    const double slowdown = std::min(ran_s / job.mean_run_s(), 2 * kSlowFactor);
    ++machine.timed_tasks;
    machine.slowdown +=
        (slowdown - machine.slowdown) / std::min(machine.timed_tasks, kMinTimedTasksOnMachine);
    if (!machine.quarantined && machine.timed_tasks >= kMinTimedTasksOnMachine &&
        machine.slowdown > kSlowFactor) {
      machine.quarantined = true;
      verdict = Verdict::kMachineSlow;
    }
  }
  // The run times of a slow machine would make the others look fast.
  if (machine.quarantined) return verdict;
  job.timed_run_s += ran_s;
  ++job.timed_tasks;
  return verdict;
}

MachineHealth::Verdict MachineHealth::OnTaskFailed(Machine& machine, Job& job,
                                                   cluster::Machines& machines, double now) const {
  job.failed_on[machine.id] = now;
  ++job.consecutive_failures;
  auto verdict = job.crash_looping ? Verdict::kJobStillCrashLooping : Verdict::kNone;
  if (!job.crash_looping && job.done == 0 && job.failed_on.size() >= kMinMachinesOfCrashLoop &&
      job.consecutive_failures >= kFailuresOfCrashLoop) {
    job.crash_looping = true;
    verdict = Verdict::kJobCrashLooping;
    // No machine is blamed for the job, also not for failures before this was found.
    for (const auto& [id, failed_at] : job.failed_on) {
      if (const auto it = machines.find(id); it != machines.end()) {
        it->second.errors_by_job.erase(job.spec.id);
      }
    }
  }
  if (!job.crash_looping) return BlameMachine(machine, job);
  // The job is retried ever more rarely, one task at a time, once what was placed before has ended.
  if (job.placed() == 0) ++job.retries;
  job.not_before = now + agent_lease_s_ * std::min(kMaxRetryPauseLeases,
                                                   std::pow(kRetryPauseGrowth, job.retries));
  return verdict;
}

MachineHealth::Verdict MachineHealth::BlameMachine(Machine& machine, const Job& job) const {
  ++machine.errors_by_job[job.spec.id];
  int failures = 0;
  for (const auto& [id, errors] : machine.errors_by_job) failures += errors;
  const bool others_do_better = job.done > 0 || machine.errors_by_job.size() >= kMinFailedJobs;
  if (machine.quarantined || failures < kFailuresOfFaultyMachine || !others_do_better) {
    return Verdict::kNone;
  }
  machine.quarantined = true;
  return Verdict::kMachineFaulty;
}

bool MachineHealth::OnTaskSucceeded(Machine& machine, Job& job) const {
  job.consecutive_failures = 0;
  job.not_before = 0;
  machine.errors_by_job.clear();
  return std::exchange(job.crash_looping, false);
}

bool MachineHealth::ShouldRestartElsewhere(const Machine& machine, const Job& job,
                                           double ran_s) const {
  const double usual_s = job.mean_run_s();
  return machine.quarantined && usual_s > 0 &&
         machine.slowdown * usual_s - ran_s > kRestartFactor * usual_s;
}

}  // namespace mosspath::scheduler
