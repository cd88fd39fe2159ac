// Refills the room that came free on one machine, between placement passes. Pure.
//
// The waiting jobs in their order, as a pass would do with no room elsewhere. Of jobs whose virtual
// deadlines are close the one whose image is on the machine goes first: layer locality from the
// machine's side, since with all machines full the jobs are what there is to choose from.
#pragma once

#include <cstddef>
#include <vector>

#include "mosspath/cluster/cluster_state.h"
#include "mosspath/jobs/job.h"
#include "mosspath/scheduler/capacity_reservation.h"
#include "mosspath/scheduler/deficit_queue.h"
#include "mosspath/scheduler/machine_filter.h"
#include "mosspath/scheduler/overdue_first_tasks.h"
#include "mosspath/scheduler/start_gate.h"
#include "mosspath/scheduler/task_binder.h"

namespace mosspath::scheduler {

class MachineRefill {
 public:
  // The arguments outlive this object.
  MachineRefill(const CapacityReservation& reservation, const MachineFilter& filter,
                StartGate& start_gate, TaskBinder& binder);

  // Places tasks on the machine, which is in service: overdue first tasks, then jobs of groups
  // with a deficit, then the waiting jobs in their order.
  void Run(cluster::Machine& machine, OverdueFirstTasks& overdue, const DeficitQueue& deficits,
           const std::vector<jobs::Job*>& waiting_jobs, double now);

 private:
  void PlaceOverdue(cluster::Machine& machine, OverdueFirstTasks& overdue, double now);
  void PlaceDeficits(cluster::Machine& machine, const DeficitQueue& deficits, double now);
  void PlaceInOrder(cluster::Machine& machine, const std::vector<jobs::Job*>& waiting_jobs,
                    double now);
  // Whether a task of the job may take room on the machine now.
  bool CanPlace(jobs::Job& job, const cluster::Machine& machine, double now);
  // The job at `first`, or a later one of its band that is worth the wait for its fetch.
  jobs::Job* ChooseByFetch(const std::vector<jobs::Job*>& waiting_jobs, size_t first,
                           const cluster::Machine& machine, double now);

  const CapacityReservation& reservation_;
  const MachineFilter& filter_;
  StartGate& start_gate_;
  TaskBinder& binder_;
};

}  // namespace mosspath::scheduler
