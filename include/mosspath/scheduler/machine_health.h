// Detects machines on which tasks fail or run far slower than on other machines. Detects crash
// looping jobs, whose tasks fail on every machine and are retried until their users cancel the
// jobs. Pure.
#pragma once

#include "mosspath/cluster/cluster_state.h"
#include "mosspath/config/settings.h"

namespace mosspath::scheduler {

// Stateless beside its settings: the statistics and the verdicts are stored in the machine and the
// job. Times are in seconds.
class MachineHealth {
 public:
  explicit MachineHealth(const config::Settings& settings)
      : heartbeat_s_(settings.heartbeat_s), agent_lease_s_(settings.agent_lease_s) {}

  enum class Verdict {
    kNone,
    kMachineSlow,           // the machine has just been quarantined for its speed
    kMachineFaulty,         // the machine has just been quarantined for its failures
    kJobCrashLooping,       // the job has just been found to be crash looping
    kJobStillCrashLooping,  // the job was already crash looping
  };
  // Called when a task of the job succeeded on the machine after running for `ran_s`. Machines are
  // compared by tasks of the same job, because users' estimates of run times are often wrong.
  Verdict OnTaskTimed(cluster::Machine& machine, jobs::Job& job, double ran_s) const;
  // Called when a task of the job failed on the machine. `machines` are all machines that this
  // controller commands.
  Verdict OnTaskFailed(cluster::Machine& machine, jobs::Job& job, cluster::Machines& machines,
                       double now) const;
  // Called when a task of the job succeeded on the machine. Returns whether the job was crash
  // looping.
  bool OnTaskSucceeded(cluster::Machine& machine, jobs::Job& job) const;
  // Returns whether a task of the job, which has run for `ran_s` on the machine, should be
  // restarted elsewhere: the machine is quarantined, and is so slow that a restarted task is likely
  // to end sooner.
  bool ShouldRestartElsewhere(const cluster::Machine& machine, const jobs::Job& job,
                              double ran_s) const;

 private:
  // Counts the failure, and quarantines the machine if the machine is a likelier cause of its
  // failures than any one job.
  Verdict CountFailureAgainstMachine(cluster::Machine& machine, const jobs::Job& job) const;

  const double heartbeat_s_;
  const double agent_lease_s_;
};

}  // namespace mosspath::scheduler
