// Compares what a machine's heartbeat lists with what was started there: takes in the state of its
// tasks, recovers attempts that this scheduler did not start, and removes those that are gone.
// Pure.
#pragma once

#include <cstdint>

#include "mosspath/scheduler/machine_lifecycle.h"
#include "mosspath/scheduler/scheduler_state.h"
#include "mosspath/wire/messages.h"

namespace mosspath::scheduler {

// On which occasion the agent made a heartbeat.
enum class HeartbeatKind {
  kPeriodic,       // sent by the agent, after the answer to the last one was taken or given up
  kCommandAnswer,  // the answer to a command batch; the answer to a periodic one may be under way
};

class Reconciler {
 public:
  // Both outlive this object.
  Reconciler(SchedulerState& state, MachineLifecycle& lifecycle)
      : state_(state), lifecycle_(lifecycle) {}

  // Takes in the tasks that the heartbeat lists. The caller has checked that the heartbeat is the
  // machine's newest, and was made under the present fencing token.
  void Reconcile(cluster::Machine& machine, const wire::Heartbeat& heartbeat, HeartbeatKind kind,
                 double now);

 private:
  // One heartbeat being taken in.
  struct Pass {
    cluster::Machine& machine;
    const wire::Heartbeat& heartbeat;
    const HeartbeatKind kind;
    const uint64_t number;  // counts the heartbeats that were taken in
    const double now;
    bool answer_had_effect = false;   // the agent did some of what the last answer said
    bool answer_was_ignored = false;  // or it did not
  };

  void TakeStatus(Pass& pass, const wire::TaskStatus& status);
  void OnStatus(Pass& pass, const cluster::AllocationKey& key, cluster::Allocation& allocation,
                const wire::TaskStatus& status);
  void OnTaskRunning(const wire::TaskId& task, cluster::Allocation& allocation, double now);
  void RemoveUnlisted(Pass& pass);
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
  void OnTaskEndedEarly(cluster::Machine& machine, jobs::Job* job, const wire::TaskId& task,
                        const cluster::Allocation& allocation, double now);
  void OnTaskDone(jobs::Job& job, uint32_t index);
  void OnHealthVerdict(const cluster::Machine& machine, const jobs::Job& job,
                       MachineHealth::Verdict verdict, double now);

  SchedulerState& state_;
  MachineLifecycle& lifecycle_;
  uint64_t reconciled_heartbeats_ = 0;
};

}  // namespace mosspath::scheduler
