// The queue order of placement: which waiting job is tried first. No I/O; the time is an argument.
//
// Jobs of teams whose unfinished jobs all fit into the team's guarantee come first, then jobs of
// higher priority, then jobs that can still meet an objective, then the earlier virtual deadline.
#pragma once

#include <set>
#include <string>
#include <vector>

#include "mosspath/cluster/cluster_state.h"
#include "mosspath/config/settings.h"
#include "mosspath/jobs/job.h"
#include "mosspath/scheduler/fair_share.h"
#include "mosspath/scheduler/service_level_objectives.h"
#include "mosspath/scheduler/start_gate.h"

namespace mosspath::scheduler {

// Sorts the waiting jobs into the queue order, and computes the fair-share floors for each pass.
class JobRanking {
 public:
  // The arguments outlive the ranking.
  JobRanking(const config::Settings& settings, cluster::ClusterState& cluster,
             const ServiceLevelObjectives& objectives, const StartGate& start_gate,
             FairShare& fair_share);

  // Returns all jobs with tasks that may start now, in queue order. Begins a new pass of the fair
  // share, and sets the fields of each job that hold its place in the queue order.
  std::vector<jobs::Job*> Rank(double now);

 private:
  struct RankedJob {
    jobs::Job* job = nullptr;
    bool within_guarantee = false;
    // Jobs of a higher level come first. The level is the job's priority, except for best-effort
    // jobs and for jobs below high priority that can meet no objective: their levels are below all
    // priorities.
    int level = 0;
    bool unattainable = false;
    double virtual_deadline = 0;
  };
  using TeamNames = std::set<std::string>;

  TeamNames TeamsWithinGuarantee() const;
  RankedJob RankJob(jobs::Job& job, const TeamNames& within_guarantee, double pool_cpus,
                    double now) const;
  double VirtualDeadline(const jobs::Job& job,
                         const ServiceLevelObjectives::NextObjective& objective,
                         double pool_cpus) const;
  static bool Precedes(const RankedJob& a, const RankedJob& b);

  const config::Settings& settings_;
  cluster::ClusterState& cluster_;
  const ServiceLevelObjectives& objectives_;
  const StartGate& start_gate_;
  FairShare& fair_share_;
};

}  // namespace mosspath::scheduler
