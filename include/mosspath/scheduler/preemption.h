// Preemption of running tasks for waiting jobs of a higher priority. No I/O; the time is an
// argument.
#pragma once

#include <array>
#include <map>
#include <string>
#include <vector>

#include "mosspath/cluster/cluster_state.h"
#include "mosspath/config/settings.h"
#include "mosspath/jobs/job.h"
#include "mosspath/scheduler/fair_share.h"
#include "mosspath/scheduler/machine_filter.h"
#include "mosspath/scheduler/preemption_targets.h"
#include "mosspath/scheduler/service_level_objectives.h"
#include "mosspath/scheduler/start_gate.h"
#include "mosspath/scheduler/unplaceable_specs.h"

namespace mosspath::scheduler {

// Makes room for waiting jobs by stopping tasks of lower priority, beginning with those that lose
// the least work. Only jobs of high priority and above preempt. If the quota of the team is what a
// job of critical priority lacks, tasks of the same team are stopped.
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
  using QuotaByTeam = std::map<std::string, cluster::QuotaAmount>;
  // What a pass knows of the machines and of the stops that are under way.
  struct Pass {
    PreemptionTargets targets;
    double now = 0;
    // What stopping tasks will free of the quota of their teams, less what jobs that were
    // considered earlier in the pass take of it.
    QuotaByTeam stopping_by_team;
    // Specs of high and of critical jobs for which stops could not make room.
    std::array<UnplaceableSpecs, 2> unplaceable{};
  };

  Pass BeginPass(const std::vector<jobs::Job*>& ranked_jobs, double now) const;
  QuotaByTeam FindStoppingQuota() const;
  // Returns whether the team's quota is too small for the waiting tasks of the job, which is of
  // critical priority.
  bool IsCriticalAndLacksQuota(const jobs::Job& job) const;
  // Returns whether the job may have tasks stopped now.
  bool MayPreempt(const jobs::Job& job, double now) const;
  // Returns for how many seconds after the job's submission no task is stopped for the job.
  double PreemptionDelayS(const jobs::Job& job, double now) const;
  // Stops victims that make room for the job's waiting tasks.
  void MakeRoomFor(const jobs::Job& job, Pass& pass);
  // Stops victims of the job's team until they free the part of the quota that the job lacks, or no
  // eligible victim is left.
  void FreeQuotaFor(const jobs::Job& job, Pass& pass);
  void RequestStop(const Victim& victim, const jobs::Job& job) const;

  const config::Settings& settings_;
  cluster::ClusterState& cluster_;
  const ServiceLevelObjectives& objectives_;
  const StartGate& start_gate_;
  const MachineFilter& filter_;
  FairShare& fair_share_;
};

}  // namespace mosspath::scheduler
