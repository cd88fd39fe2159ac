// Compares the task attempts that a machine's heartbeat lists with the allocations of the machine:
// updates the state of listed attempts, recovers attempts that this scheduler did not start, and
// removes attempts that are gone. No I/O except logging.
#pragma once

#include <cstdint>

#include "mosspath/scheduler/machine_lifecycle.h"
#include "mosspath/scheduler/scheduler_state.h"
#include "mosspath/wire/messages.h"

namespace mosspath::scheduler {

enum class HeartbeatKind {
  // Sent at the agent's interval, after the answer to the previous periodic heartbeat has arrived
  // or timed out.
  kPeriodic,
  // The answer to a command batch. The answer to a periodic heartbeat may still be in flight.
  kCommandAnswer,
};

class Reconciler {
 public:
  // Both arguments outlive this object.
  Reconciler(SchedulerState& state, MachineLifecycle& lifecycle)
      : state_(state), lifecycle_(lifecycle) {}

  // Updates the machine's allocations and their jobs from the tasks that the heartbeat lists. The
  // caller has checked that the heartbeat is the newest of the machine, and that the agent made the
  // heartbeat under the current fencing token of the machine.
  void Reconcile(cluster::Machine& machine, const wire::Heartbeat& heartbeat, HeartbeatKind kind,
                 double now);

 private:
  // The state of one call of Reconcile.
  struct Pass {
    cluster::Machine& machine;
    const wire::Heartbeat& heartbeat;
    const HeartbeatKind kind;
    const uint64_t pass_number;  // rises with each call
    const double now;
    bool answer_had_effect = false;   // the heartbeat reflects the effect of a command
    bool answer_was_ignored = false;  // a command in an earlier answer had no effect
  };

  void ReconcileListedTask(Pass& pass, const wire::TaskStatus& status);
  void UpdateAllocation(Pass& pass, const cluster::AllocationKey& key,
                        cluster::Allocation& allocation, const wire::TaskStatus& status);
  void OnTaskRunning(const wire::TaskId& task, cluster::Allocation& allocation, double now);
  void RemoveUnlistedAllocations(Pass& pass);
  static bool WouldBeListed(const Pass& pass, const cluster::Allocation& allocation);

  // --- Attempts that this scheduler did not start ---
  void RecoverAllocation(cluster::Machine& machine, const wire::TaskStatus& status, double now);
  void RecoverExited(cluster::Machine& machine, jobs::Job* job, const cluster::AllocationKey& key,
                     cluster::Allocation allocation);
  void RecoverRunning(cluster::Machine& machine, jobs::Job* job, const cluster::AllocationKey& key,
                      cluster::Allocation allocation, double now);
  void RemovePlannedStart(const wire::TaskId& task, double now);
  void EndReconciliationOf(const wire::TaskId& task);

  // --- Attempts that have ended ---
  void OnTaskExited(cluster::Machine& machine, const wire::TaskId& task,
                    cluster::Allocation& allocation, double now);
  void OnTaskSucceeded(cluster::Machine& machine, jobs::Job& job, const wire::TaskId& task,
                       const cluster::Allocation& allocation, double now);
  void OnTaskStoppedOrFailed(cluster::Machine& machine, jobs::Job* job, const wire::TaskId& task,
                             const cluster::Allocation& allocation, double now);
  void OnTaskDone(jobs::Job& job, uint32_t index);
  void OnHealthVerdict(const cluster::Machine& machine, const jobs::Job& job,
                       MachineHealth::Verdict verdict, double now);

  SchedulerState& state_;
  MachineLifecycle& lifecycle_;
  uint64_t reconciled_heartbeats_ = 0;
};

}  // namespace mosspath::scheduler
