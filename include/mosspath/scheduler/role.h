// The behavior of a scheduler that depends on the role of its controller: a leader without shard
// holders, a leader with shard holders, or the holder of a shard. The components of the scheduler
// call the current role instead of testing which role it is. No I/O except logging.
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

  // Returns whether the heartbeat of an unknown machine adds the machine.
  virtual bool AcceptsUnknownMachines() const = 0;
  // Returns whether machines are probed even if no takeover or reconciliation waits for them.
  virtual bool ProbesAtAllTimes() const = 0;
  // Returns whether this controller receives the cloud's lists of machines. These lists are needed
  // to rule out that a start command reached a different machine at the same address.
  virtual bool ReceivesMachineLists() const = 0;
  // Called when heartbeats of the machine arrive, but the answers seem not to reach the machine.
  virtual void OnDeliveryFailureSuspected(cluster::Machine& machine) = 0;
  // Called when the agent's lease has expired, so nothing runs on the machine any more. Returns
  // whether the caller may erase the machine if its agent has never reported.
  virtual bool OnMachineLost(cluster::Machine& machine) = 0;

  // --- Jobs and tasks ---

  // Called when the job is about to be removed. The role accounts for those of its tasks that are
  // delegated to another controller, or that may still run.
  virtual void OnJobRemoved(const jobs::Job& job) = 0;
  // Called when the task has just been marked as done.
  virtual void OnTaskDone(const jobs::Job& job, uint32_t index) = 0;
  // Called when a machine reports a running attempt of the task that this scheduler has not
  // started.
  virtual void OnAttemptRecovered(jobs::Job& job, uint32_t index) = 0;
  // Called when the job has been found to be crash looping (its tasks fail on every machine), or a
  // retry of a crash looping job has failed.
  virtual void OnCrashLoop(const jobs::Job& job) = 0;
  // Called when a task of the crash-looping job has succeeded, which ends the crash loop.
  virtual void OnCrashLoopEnded(const jobs::Job& job) = 0;
  // Called when all machines of the reconciliation have reported, or are certain to run nothing.
  // `tasks`: how many of the tasks of the reconciliation were on none of these machines. They are
  // pending again unless their job is over.
  virtual void OnReconciliationEnded(uint64_t reconciliation, size_t tasks) = 0;

  // --- Time and records ---

  // Called in each tick, before and after the placement of waiting tasks.
  virtual void BeforePlacement(double now) = 0;
  virtual void AfterPlacement(double now) = 0;
  // Called when a batch of records has become durable.
  virtual void OnRecordsWritten() = 0;
};

}  // namespace mosspath::scheduler
