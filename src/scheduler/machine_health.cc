#include "mosspath/scheduler/machine_health.h"

#include <algorithm>
#include <cmath>

namespace mosspath::scheduler {
namespace {

constexpr uint32_t kTimedToCompare = 3;  // tasks of a job
constexpr int kTimedToJudge = 4;         // tasks on a machine
constexpr double kSlow = 2.5;            // times the usual
constexpr double kWorthMoving = 1.5;     // times the usual run, that is left on a slow machine
constexpr int kErrorsToCondemn = 3;
constexpr uint32_t kFailuresToDoubt = 4;  // of a job in a row, before its tasks are held back
constexpr double kMaxDoubtPause = 16;     // leases
constexpr double kDoubtGrowth = 2;        // of the pause, from one try to the next

}  // namespace

MachineHealth::Verdict MachineHealth::OnTaskTimed(cluster::Machine& m, jobs::Job& job,
                                                  double ran_s) const {
  auto verdict = Verdict::kNone;
  if (job.timed_tasks >= kTimedToCompare && job.mean_run_s() > report_s_) {
    const double ratio = ran_s / job.mean_run_s();
    m.slowdown +=
        (std::min(ratio, 2 * kSlow) - m.slowdown) / std::min(++m.timed_tasks, kTimedToJudge);
    if (!m.quarantined && m.timed_tasks >= kTimedToJudge && m.slowdown > kSlow) {
      m.quarantined = true;
      verdict = Verdict::kMachineSlow;
    }
  }
  if (m.quarantined) return verdict;  // would make the others look fast
  job.timed_run_s += ran_s;
  ++job.timed_tasks;
  return verdict;
}

MachineHealth::Verdict MachineHealth::OnTaskFailed(cluster::Machine& m, jobs::Job& job,
                                                   cluster::Machines& machines, double now) const {
  const std::string& id = job.spec.id;
  job.failed_on[m.id] = now;
  ++job.consecutive_failures;
  auto verdict = job.crash_looping ? Verdict::kJobStillCrashLooping : Verdict::kNone;
  if (!job.crash_looping && job.done == 0 && job.failed_on.size() >= 2 &&
      job.consecutive_failures >= kFailuresToDoubt) {
    job.crash_looping = true;
    verdict = Verdict::kJobCrashLooping;
    // No machine is blamed for it, also not for what it failed before that was seen.
    for (const auto& [machine, when] : job.failed_on) {
      if (const auto it = machines.find(machine); it != machines.end())
        it->second.errors_by_job.erase(id);
    }
  }
  if (job.crash_looping) {
    // Tried again ever more rarely, one task at a time, once what was placed before has ended.
    if (job.placed() == 0) ++job.retries;
    job.not_before = now + lease_s_ * std::min(kMaxDoubtPause, std::pow(kDoubtGrowth, job.retries));
    return verdict;
  }
  ++m.errors_by_job[id];
  int in_row = 0;
  for (const auto& [other, n] : m.errors_by_job) in_row += n;
  if (!m.quarantined && in_row >= kErrorsToCondemn &&
      (job.done > 0 || m.errors_by_job.size() >= 2)) {
    m.quarantined = true;
    return Verdict::kMachineFaulty;
  }
  return verdict;
}

bool MachineHealth::OnTaskSucceeded(cluster::Machine& m, jobs::Job& job) const {
  job.consecutive_failures = 0;
  job.not_before = 0;
  m.errors_by_job.clear();
  return std::exchange(job.crash_looping, false);
}

bool MachineHealth::ShouldRestartElsewhere(const cluster::Machine& m, const jobs::Job& job,
                                           double ran_s) const {
  const double usual = job.mean_run_s();
  return m.quarantined && usual > 0 && m.slowdown * usual - ran_s > kWorthMoving * usual;
}

}  // namespace mosspath::scheduler
