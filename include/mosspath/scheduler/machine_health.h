// Tells machines that fail tasks, or run them far slower than others, from jobs with a mistake,
// whose tasks fail on every machine until their users cancel them. What it concludes from is kept
// with the machine and the job. Pure.
#pragma once

#include "mosspath/cluster/cluster_state.h"
#include "mosspath/config/settings.h"

namespace mosspath::scheduler {

class MachineHealth {
 public:
  explicit MachineHealth(const config::Settings& settings)
      : heartbeat_s_(settings.heartbeat_s), agent_lease_s_(settings.agent_lease_s) {}

  enum class Verdict {
    kNone,
    kMachineSlow,           // the machine has just been quarantined for its speed
    kMachineFaulty,         // the machine has just been quarantined for its failures
    kJobCrashLooping,       // the job's tasks fail on every machine, as was found just now
    kJobStillCrashLooping,  // the same, as was found before
  };
  // A task of the job ran on the machine for so long, and succeeded. Users' estimates are often
  // wrong, so machines are compared by tasks of the same job.
  Verdict OnTaskTimed(cluster::Machine& machine, jobs::Job& job, double ran_s) const;
  // A task of the job failed on the machine. `machines` are all that this controller commands.
  Verdict OnTaskFailed(cluster::Machine& machine, jobs::Job& job, cluster::Machines& machines,
                       double now) const;
  // A task of the job succeeded on the machine. Returns whether the job was crash looping.
  bool OnTaskSucceeded(cluster::Machine& machine, jobs::Job& job) const;
  // Whether a task that has run for so long on a machine which is far too slow would end sooner if
  // it began again elsewhere.
  bool ShouldRestartElsewhere(const cluster::Machine& machine, const jobs::Job& job,
                              double ran_s) const;

 private:
  // Counts the failure against the machine, unless the job looks to blame.
  Verdict BlameMachine(cluster::Machine& machine, const jobs::Job& job) const;

  const double heartbeat_s_;
  const double agent_lease_s_;
};

}  // namespace mosspath::scheduler
