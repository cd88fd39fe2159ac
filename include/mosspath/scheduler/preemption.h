// Preemption of running tasks for waiting jobs of a higher priority. No I/O; the time is an
// argument.
#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "mosspath/cluster/cluster_state.h"
#include "mosspath/config/settings.h"
#include "mosspath/jobs/job.h"
#include "mosspath/scheduler/fair_share.h"
#include "mosspath/scheduler/machine_filter.h"
#include "mosspath/scheduler/service_level_objectives.h"
#include "mosspath/scheduler/start_gate.h"

namespace mosspath::scheduler {

// Frees capacity for waiting jobs by stopping tasks of lower priority, beginning with those that
// lose the least work. Only jobs of high priority and above preempt. If the quota of the team is
// what a job of critical priority lacks, tasks of the same team are stopped.
class Preemption {
 public:
  // The arguments outlive this object.
  Preemption(const config::Settings& settings, cluster::ClusterState& cluster,
             const ServiceLevelObjectives& objectives, const StartGate& start_gate,
             const MachineFilter& filter, FairShare& fair_share);

  // Requests stops of running tasks to free capacity for the jobs. `ranked_jobs` are in queue
  // order.
  void Run(const std::vector<jobs::Job*>& ranked_jobs, double now);

 private:
  // A running task that may be stopped.
  struct Victim {
    double weighted_loss = 0;  // CPU seconds of work lost, weighted by priority
    cluster::Machine* machine = nullptr;
    cluster::Allocation* allocation = nullptr;
    const jobs::Job* job = nullptr;
  };

  // What will be freed by stops already requested.
  struct StoppingTasks {
    double cpus = 0;
    std::map<std::string, cluster::QuotaAmount> by_team;
  };

  StoppingTasks FindStoppingTasks() const;
  // Returns for how many seconds after the job's submission no task is stopped for the job.
  double PreemptionDelayS(const jobs::Job& job, double now) const;
  // Returns all tasks that may be stopped, the least loss first.
  std::vector<Victim> CollectVictims(double now);
  // Returns whether the victim may be stopped for the job, whatever its machine.
  bool MayStopFor(const jobs::Job& job, const Victim& victim, double now) const;
  // Stops victims until they free `missing_cpus` that the job may use, or no eligible victim is
  // left.
  void FreeCpusFor(const jobs::Job& job, double missing_cpus, std::vector<Victim>& victims,
                   double now);
  // Stops victims of the job's team until they free the part of the quota that the job lacks, or no
  // eligible victim is left. `stopping` is what the team's stopping tasks free, less what earlier
  // jobs of the team take of it.
  void FreeQuotaFor(const jobs::Job& job, cluster::QuotaAmount& stopping,
                    std::vector<Victim>& victims, double now);
  void StopVictim(const Victim& victim, const jobs::Job& job);

  const config::Settings& settings_;
  cluster::ClusterState& cluster_;
  const ServiceLevelObjectives& objectives_;
  const StartGate& start_gate_;
  const MachineFilter& filter_;
  FairShare& fair_share_;
};

}  // namespace mosspath::scheduler
