// A holder's side of sharding (docs/sharding.md): the messages of the leader; claims, returns and
// status for the leader. Pure.
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
  // All outlive this object.
  HolderSharding(SchedulerState& state, JobLifecycle& jobs, MachineLifecycle& lifecycle,
                 TaskMigration& migration)
      : state_(state), jobs_(jobs), lifecycle_(lifecycle), migration_(migration) {}

  // Adds a job of the mirror of the store. Its tasks are others' until the leader delegates them.
  void LoadJob(wire::JobSpec spec, uint64_t version, double submitted);
  // The record assigns the machine to this holder; `token` is the record's revision.
  void AcceptMachine(const std::string& id, const std::string& address, uint64_t token, double now);
  // Whether it is known what is on each machine that was assigned.
  bool AllMachinesKnown() const;
  void OnLeaderMessage(const wire::ShardMessage& message, double now);
  // The job is about to be removed: the leader is told of its tasks once they have ended.
  void OnJobRemoved(const jobs::Job& job);

  // Returns all tasks that the holder has or may have, and the completions that are not known to
  // be durable: for a leader that begins.
  std::vector<wire::ShardMessage> AllClaims() const;
  // Returns to the leader tasks that have waited for room longer than `patience_s` seconds, and
  // machines that are lost or recalled. Without a leader that hears, tasks stay.
  void ReturnExcess(double patience_s, bool leader_hears, double now);
  // Returns how much work waits, as of the leader's batch `applied_batch`.
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
  // Whether the task is one that the leader may give: nothing is known of it here.
  bool CanAccept(const jobs::Job& job, uint32_t index) const;
  // Whether a copy of the task that is being stopped still runs here; it is the task from now on.
  bool ReclaimAllocation(jobs::Job& job, uint32_t index);
  void StopTask(const std::string& job, uint32_t index);

  // --- Returns ---
  // Whether the holder has the task, or may have it.
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
  // Tasks of removed jobs that may still run here, by job.
  std::map<std::string, std::vector<uint32_t>> ended_tasks_;
};

}  // namespace mosspath::scheduler
