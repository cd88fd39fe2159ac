// What a scheduler does differently, depending on whether it leads alone, leads holders of shards,
// or holds a shard itself. The units of the scheduler call the present role instead of asking which
// one it is. Pure.
#pragma once

#include <cstddef>
#include <cstdint>

#include "mosspath/cluster/machine.h"
#include "mosspath/jobs/job.h"

namespace mosspath::scheduler {

class Role {
 public:
  Role() = default;
  Role(const Role&) = delete;
  Role& operator=(const Role&) = delete;
  virtual ~Role() = default;

  // --- Machines ---

  // Whether a machine that is not known yet may be taken in from its heartbeat.
  virtual bool AcceptsUnknownMachines() const = 0;
  // Whether machines are probed also when no takeover or reconciliation waits for them.
  virtual bool ProbesAtAllTimes() const = 0;
  // Whether the cloud's lists of machines arrive here, from which a start that may have reached
  // another machine can be ruled out.
  virtual bool ReceivesMachineLists() const = 0;
  // The machine's heartbeats arrive, but what it is answered seems not to reach it.
  virtual void OnDeliveryFailureSuspected(cluster::Machine& machine) = 0;
  // The agent's lease has expired, and nothing runs on the machine any more. Returns whether the
  // machine may be forgotten once nothing else is known of it.
  virtual bool OnMachineLost(cluster::Machine& machine) = 0;

  // --- Jobs and tasks ---

  // The job is about to be removed; what it still has elsewhere must be accounted for.
  virtual void OnJobRemoved(const jobs::Job& job) = 0;
  // The task has just been marked as done.
  virtual void OnTaskDone(const jobs::Job& job, uint32_t index) = 0;
  // A machine runs an attempt of the task that this scheduler has not started.
  virtual void OnTaskFound(jobs::Job& job, uint32_t index) = 0;
  // The job's tasks fail on every machine, as has been found now or once more.
  virtual void OnCrashLoop(const jobs::Job& job) = 0;
  // A task of a job that was crash looping has succeeded.
  virtual void OnCrashLoopEnded(const jobs::Job& job) = 0;
  // All machines of the reconciliation are known; `tasks` of its tasks were on none of them.
  virtual void OnReconciliationEnded(uint64_t reconciliation, size_t tasks) = 0;

  // --- Time and records ---

  // Called in each tick, before and after waiting tasks are placed.
  virtual void BeforePlacement(double now) = 0;
  virtual void AfterPlacement(double now) = 0;
  // A batch of records has become durable.
  virtual void OnRecordsWritten() = 0;
};

}  // namespace mosspath::scheduler
