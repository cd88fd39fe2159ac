// Places waiting tasks on a machine as soon as some of its resources come free, between placement
// passes. Pure.
//
// The waiting jobs are tried in their order, as in a placement pass in which all other machines are
// full. Among jobs with close virtual deadlines, a job whose image is on the machine goes first. A
// placement pass uses layer locality to choose a machine for a job. While all other machines are
// full there is no choice of machine, so layer locality can only decide which job gets the machine.
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

// Fills one machine at a time with waiting tasks.
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
  // Returns whether a task of the job may be placed on the machine now.
  bool CanPlace(jobs::Job& job, const cluster::Machine& machine, double now);
  // Returns the job at `first`, or a later job of the same priority band if its virtual deadline
  // plus the cost of its image fetch is earlier.
  jobs::Job* ChooseByFetch(const std::vector<jobs::Job*>& waiting_jobs, size_t first,
                           const cluster::Machine& machine, double now);

  const CapacityReservation& reservation_;
  const MachineFilter& filter_;
  StartGate& start_gate_;
  TaskBinder& binder_;
};

}  // namespace mosspath::scheduler
