// Tells machines that fail or run far slower than others from jobs with a mistake, which fail on
// every machine until their users cancel them. What it knows stands with the machine and the job.
// Pure.
#pragma once

#include "mosspath/cluster/cluster_state.h"
#include "mosspath/config/settings.h"

namespace mosspath::scheduler {

class MachineHealth {
 public:
  explicit MachineHealth(const config::Settings& settings)
      : report_s_(settings.heartbeat_s), lease_s_(settings.agent_lease_s) {}

  enum class Verdict {
    kNone,
    kMachineSlow,      // put aside just now
    kMachineFaulty,    // put aside just now
    kJobCrashLooping,  // its tasks fail everywhere: seen just now
    kJobStillCrashLooping,
  };
  // A task of the job ran on the machine for so long, and completed. Owners' estimates are often
  // wrong, so machines are compared by tasks of the same job.
  Verdict OnTaskTimed(cluster::Machine& m, jobs::Job& job, double ran_s) const;
  // A task of the job failed on the machine.
  Verdict OnTaskFailed(cluster::Machine& m, jobs::Job& job, cluster::Machines& machines,
                       double now) const;
  // One completed: true if the job was doubted.
  bool OnTaskSucceeded(cluster::Machine& m, jobs::Job& job) const;
  // Whether what has run for so long on a machine that is far too slow should rather begin again
  // elsewhere.
  bool ShouldRestartElsewhere(const cluster::Machine& m, const jobs::Job& job, double ran_s) const;

 private:
  const double report_s_;
  const double lease_s_;
};

}  // namespace mosspath::scheduler
