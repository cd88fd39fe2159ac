#include "mosspath/scheduler/machine_health.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace mosspath::scheduler {

using cluster::Machine;
using jobs::Job;

namespace {

// A task is compared with the mean run time of its job only after this many tasks of the job have
// been timed.
constexpr uint32_t kMinTimedTasksOfJob = 3;
// A machine can be quarantined as slow only after this many tasks on it have been compared. Its
// slowdown is a moving average over the same number of tasks.
constexpr int kMinTimedTasksOnMachine = 4;
// A machine is slow if its tasks run more than this many times as long as the mean of their jobs.
constexpr double kSlowFactor = 2.5;
// A task on a quarantined machine is restarted elsewhere if its expected remaining run time there
// exceeds this many times the mean run time of its job.
constexpr double kRestartFactor = 1.5;
// A machine is faulty after this many failed tasks without a success in between.
constexpr int kFailuresOfFaultyMachine = 3;
// The failed tasks of a faulty machine must belong to at least this many jobs. This limit does not
// apply if other tasks of the job that failed last have succeeded, because the job is then an
// unlikely cause of the failure.
constexpr size_t kMinFailedJobs = 2;
// A job is crash looping after this many consecutive failed tasks, on at least this many machines,
// if none of its tasks has succeeded.
constexpr uint32_t kFailuresOfCrashLoop = 4;
constexpr size_t kMinMachinesOfCrashLoop = 2;
// The backoff between retries of a crash looping job: the upper limit in agent leases, and the
// growth factor per retry.
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
  // The run times of a slow machine would raise the mean run time with which other machines are
  // compared.
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
    // Failures of a crash looping job are not counted against any machine. This includes failures
    // before the crash loop was detected.
    for (const auto& [id, failed_at] : job.failed_on) {
      if (const auto it = machines.find(id); it != machines.end()) {
        it->second.errors_by_job.erase(job.spec.id);
      }
    }
  }
  if (!job.crash_looping) return CountFailureAgainstMachine(machine, job);
  // Once the tasks that are already placed have ended, the job is retried with exponential backoff:
  // a gang whole, other jobs one task at a time. The first failure of a retry ends the retry. The
  // other members of a gang are still placed then.
  const bool is_gang = job.spec.kind == wire::JobKind::kGang;
  if (is_gang ? now >= job.not_before : job.placed() == 0) ++job.retries;
  job.not_before = now + agent_lease_s_ * std::min(kMaxRetryPauseLeases,
                                                   std::pow(kRetryPauseGrowth, job.retries));
  return verdict;
}

MachineHealth::Verdict MachineHealth::CountFailureAgainstMachine(Machine& machine,
                                                                 const Job& job) const {
  ++machine.errors_by_job[job.spec.id];
  int failures = 0;
  for (const auto& [id, errors] : machine.errors_by_job) failures += errors;
  const bool machine_suspected = job.done > 0 || machine.errors_by_job.size() >= kMinFailedJobs;
  if (machine.quarantined || failures < kFailuresOfFaultyMachine || !machine_suspected) {
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
