// A holder's side of sharding (docs/sharding.md): handles the leader's messages, and produces the
// claims, returns and status messages for the leader. "This holder" is the controller that owns the
// HolderSharding object. Pure.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "mosspath/scheduler/job_lifecycle.h"
#include "mosspath/scheduler/machine_lifecycle.h"
#include "mosspath/scheduler/scheduler_state.h"
#include "mosspath/scheduler/task_migration.h"
#include "mosspath/wire/shard_frame.h"

namespace mosspath::scheduler {

class HolderSharding {
 public:
  // The arguments must outlive this object.
  HolderSharding(SchedulerState& state, JobLifecycle& jobs, MachineLifecycle& lifecycle,
                 TaskMigration& migration)
      : state_(state), jobs_(jobs), lifecycle_(lifecycle), migration_(migration) {}

  // Adds a job from the watch cache. This holder may place no task of the job until the leader
  // delegates the task.
  void LoadJob(wire::JobSpec spec, uint64_t version, double submitted);
  // Adds a machine whose record assigns it to this holder. `token` is the record's revision, and
  // serves as the fencing token.
  void AcceptMachine(const std::string& id, const std::string& address, uint64_t token, double now);
  // Returns whether this holder has determined the tasks on all its machines.
  bool AllMachinesKnown() const;
  void OnLeaderMessage(const wire::ShardMessage& message, double now);
  // Called before the job is removed. The tasks of the job that this holder has or may have are
  // returned to the leader once they have ended.
  void OnJobRemoved(const jobs::Job& job);

  // Returns the messages for a new leader: claims of all tasks that the holder has or may have, and
  // the completions that the leader has not yet reported as durable.
  std::vector<wire::ShardMessage> AllClaims() const;
  // Returns to the leader the waiting tasks of each job that is in a crash loop or was delegated no
  // task for more than `patience_s` seconds, and the machines that are lost, or recalled and empty.
  // Waiting tasks stay with this holder if `leader_reachable` is false, that is, while the leader
  // is unreachable.
  void ReturnExcess(double patience_s, bool leader_reachable, double now);
  // Returns a message with the CPUs of the tasks that wait with this holder. These include the
  // tasks in the leader's batches up to number `applied_batch`.
  wire::ShardMessage MakeLoadMessage(uint64_t applied_batch) const;
  wire::ShardMessage MakeMachineStatus(const cluster::Machine& machine, double now) const;

 private:
  // --- Messages of the leader ---
  void OnDelegateTasks(const wire::ShardMessage& message, double now);
  void OnHandOverTasks(const wire::ShardMessage& message, double now);
  void OnCompletionsDurable(const wire::ShardMessage& message);
  void OnRecallMachine(const std::string& machine);
  void OnSetDraining(const std::string& machine, uint64_t drain_level);
  bool IsMachineKnown(const std::string& machine) const;
  // Whether the leader may delegate the task to this holder, because the holder does not have the
  // task already.
  bool CanAccept(const jobs::Job& job, uint32_t index) const;
  // If a copy of the task is being stopped but may still run on a machine of this holder, makes
  // this copy the task's allocation again. Returns whether there is such a copy.
  bool ReclaimAllocation(jobs::Job& job, uint32_t index);
  void StopTask(const std::string& job, uint32_t index);

  // --- Returns ---
  // Whether the holder has the task or may have it.
  bool IsHeld(const jobs::Job& job, uint32_t index) const;
  bool MayStillRun(const wire::TaskId& task) const;
  void ReturnEndedTasks();
  void ReturnMachines();
  void ReturnWaitingTasks(jobs::Job& job);
  bool MayForgetJob(const jobs::Job& job, double now) const;
  void SendToLeader(wire::ShardMessage::Kind kind, const std::string& job,
                    const std::vector<uint32_t>& tasks);

  SchedulerState& state_;
  JobLifecycle& jobs_;
  MachineLifecycle& lifecycle_;
  TaskMigration& migration_;
  // Tasks of removed jobs that may still run on this holder's machines, by job.
  std::map<std::string, std::vector<uint32_t>> ended_tasks_;
};

}  // namespace mosspath::scheduler
