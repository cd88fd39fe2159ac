#include "mosspath/scheduler/health.h"

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

Health::Verdict Health::Timed(cluster::Machine& m, jobs::Job& job, double ran_s) const {
  auto verdict = Verdict::kNone;
  if (job.timed >= kTimedToCompare && job.mean_run_s() > report_s_) {
    const double ratio = ran_s / job.mean_run_s();
    m.slowness += (std::min(ratio, 2 * kSlow) - m.slowness) / std::min(++m.timed, kTimedToJudge);
    if (!m.condemned && m.timed >= kTimedToJudge && m.slowness > kSlow) {
      m.condemned = true;
      verdict = Verdict::kMachineSlow;
    }
  }
  if (m.condemned) return verdict;  // would make the others look fast
  job.ran_s += ran_s;
  ++job.timed;
  return verdict;
}

Health::Verdict Health::Failed(cluster::Machine& m, jobs::Job& job, cluster::Machines& machines,
                               double now) const {
  const std::string& id = job.spec.id;
  job.failed_on[m.id] = now;
  ++job.failures;
  auto verdict = job.doubted ? Verdict::kJobStillDoubted : Verdict::kNone;
  if (!job.doubted && job.done == 0 && job.failed_on.size() >= 2 &&
      job.failures >= kFailuresToDoubt) {
    job.doubted = true;
    verdict = Verdict::kJobDoubted;
    // No machine is blamed for it, also not for what it failed before that was seen.
    for (const auto& [machine, when] : job.failed_on) {
      if (const auto it = machines.find(machine); it != machines.end()) it->second.errors.erase(id);
    }
  }
  if (job.doubted) {
    // Tried again ever more rarely, one task at a time, once what was placed before has ended.
    if (job.placed() == 0) ++job.retries;
    job.not_before = now + lease_s_ * std::min(kMaxDoubtPause, std::pow(kDoubtGrowth, job.retries));
    return verdict;
  }
  ++m.errors[id];
  int in_row = 0;
  for (const auto& [other, n] : m.errors) in_row += n;
  if (!m.condemned && in_row >= kErrorsToCondemn && (job.done > 0 || m.errors.size() >= 2)) {
    m.condemned = true;
    return Verdict::kMachineFaulty;
  }
  return verdict;
}

bool Health::Succeeded(cluster::Machine& m, jobs::Job& job) const {
  job.failures = 0;
  job.not_before = 0;
  m.errors.clear();
  return std::exchange(job.doubted, false);
}

bool Health::BetterElsewhere(const cluster::Machine& m, const jobs::Job& job, double ran_s) const {
  const double usual = job.mean_run_s();
  return m.condemned && usual > 0 && m.slowness * usual - ran_s > kWorthMoving * usual;
}

}  // namespace mosspath::scheduler
