// Makes room for waiting work of a higher priority by stopping lower work that loses least. Pure.
#pragma once

#include <vector>

#include "mosspath/cluster/cluster_state.h"
#include "mosspath/config/settings.h"
#include "mosspath/jobs/job.h"
#include "mosspath/scheduler/fair_share.h"
#include "mosspath/scheduler/machine_filter.h"
#include "mosspath/scheduler/service_level_objectives.h"
#include "mosspath/scheduler/start_gate.h"

namespace mosspath::scheduler {

class Preemption {
 public:
  // The arguments outlive this object.
  Preemption(const config::Settings& settings, cluster::ClusterState& cluster,
             const ServiceLevelObjectives& objectives, const StartGate& start_gate,
             const MachineFilter& filter, FairShare& fair_share);

  // Requests stops for the jobs, which are in their queue order; only those of high priority and
  // above preempt.
  void Run(const std::vector<jobs::Job*>& ranked_jobs, double now);

 private:
  // A running task that may be stopped.
  struct Victim {
    double weighted_loss = 0;  // CPU seconds of work lost, weighed by priority
    cluster::Machine* machine = nullptr;
    cluster::Allocation* allocation = nullptr;
    const jobs::Job* job = nullptr;
  };

  // CPUs that stops under way will free.
  double StoppingCpus() const;
  // Seconds that the job waits before anything is stopped for it.
  double PatienceS(const jobs::Job& job, double now) const;
  // All tasks that could be stopped, the least loss first.
  std::vector<Victim> CollectVictims(double now);
  // Whether the victim may be stopped for the job.
  bool MayStopFor(const jobs::Job& job, const Victim& victim, double now) const;
  // Stops victims until these CPUs are covered, or none is left.
  void StopVictimsFor(const jobs::Job& job, double missing_cpus, std::vector<Victim>& victims,
                      double now);

  const config::Settings& settings_;
  cluster::ClusterState& cluster_;
  const ServiceLevelObjectives& objectives_;
  const StartGate& start_gate_;
  const MachineFilter& filter_;
  FairShare& fair_share_;
};

}  // namespace mosspath::scheduler
