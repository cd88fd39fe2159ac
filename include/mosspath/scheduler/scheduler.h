// The leader's decisions: where every task is or may be, where the next ones go, what workers are
// told. Pure: reports, jobs and the time in; commands, records to write and wishes out.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "mosspath/autoscaler/scaling_planner.h"
#include "mosspath/cluster/cluster_state.h"
#include "mosspath/config/operator_settings.h"
#include "mosspath/config/settings.h"
#include "mosspath/scheduler/activity_tracker.h"
#include "mosspath/scheduler/command_batch.h"
#include "mosspath/scheduler/durable_state.h"
#include "mosspath/scheduler/failover.h"
#include "mosspath/scheduler/machine_health.h"
#include "mosspath/scheduler/provisioning_tracker.h"
#include "mosspath/scheduler/service_level_objectives.h"
#include "mosspath/scheduler/shard_leases.h"
#include "mosspath/scheduler/task_placer.h"
#include "mosspath/scheduler/task_reconciliation.h"
#include "mosspath/scheduler/unconfirmed_starts.h"
#include "mosspath/wire/messages.h"
#include "mosspath/wire/status_snapshot.h"

namespace mosspath::scheduler {

struct HeartbeatAnswer {
  bool accepted = false;  // false: answer 503, the lease is not renewed
  uint64_t token = 0;
  std::vector<wire::Command> commands;
};

struct JobCounts {
  uint32_t done = 0;
  uint32_t running = 0;
};

// Seconds that what is in the slot is taken to run yet.
double RemainingRunS(const cluster::Allocation& slot, double now);

class Scheduler {
 public:
  // One leadership: nothing is known but what is loaded next. `now` is after the last moment at
  // which an earlier leader could have answered a worker.
  Scheduler(const config::Settings& settings, const config::DerivedSettings& derived,
            uint64_t token, double now);

  // --- Taking over ---
  void LoadProgressPack(int pack, const wire::Json& value, uint64_t version);
  void LoadMachinesPack(int pack, const wire::Json& value, uint64_t version);
  void SetMachineTypes(std::vector<wire::MachineType> types);
  // Every place that tasks of earlier leaders could be at is known.
  bool recovery_complete() const { return failover_.recovery_complete(); }

  // --- Jobs ---
  void AddJob(wire::JobSpec spec, uint64_t version, double submitted);
  void RemoveJob(const std::string& id, double now);
  const jobs::Job* FindJob(const std::string& id) const { return cluster_.FindJob(id); }
  JobCounts Counts(const std::string& id) const;
  // Jobs whose tasks are all done and whose completion is not being written yet.
  std::vector<std::string> TakeCompletedJobs();
  void OnCompletionFailed(const std::string& id);

  // --- Workers ---
  HeartbeatAnswer OnHeartbeat(const wire::Heartbeat& r, double now);
  // At most so many; what is left goes with reports or later.
  std::vector<CommandBatch> TakeCommands(double now, size_t most = ~size_t{0});
  void OnCommandOutcome(const CommandBatch& order, CommandOutcome outcome,
                        const wire::Heartbeat* report, double now);
  void OnMachineDeleted(const std::string& id, double now);
  void OnMachineDeleting(const std::string& id);
  void OnDeletionFailed(const std::string& id);
  // A whole list of machines, asked for at `asked`.
  void OnMachineList(const std::vector<wire::ListedMachine>& machines, double asked, double now) {
    provisioning_.OnMachineList(machines, {&cluster_.machines, &cluster_.delegated_machines}, asked,
                                now);
    unconfirmed_starts_.OnMachineList(machines, asked);
  }
  void OnProvisioned(const std::vector<std::string>& ids, const autoscaler::ScaleOutRequest& offer,
                     double now) {
    provisioning_.OnProvisioned(ids, offer, {&cluster_.machines, &cluster_.delegated_machines},
                                now);
  }
  void OnProvisioningRefused(const autoscaler::ScaleOutRequest& offer, double until) {
    provisioning_.OnRefused(offer, until);
  }

  // --- Time ---
  // Most workers that this leader heard are silent now, all at once: it can't do its work, though
  // another controller may.
  bool IsPartitionedFromAgents(double now) {
    return failover_.IsPartitionedFromAgents(cluster_.machines, now);
  }
  // This process did not run from then until now, while its clock did: nobody was silent, slow or
  // gone for that.
  void OnProcessStall(double from, double now);
  void Tick(double now);
  // Places what can be placed now.
  void Place(double now) { placer_.Place(now); }
  autoscaler::ScalingPlan PlanScaling(double now);
  // Something came that no plan has seen yet: jobs, or machines that must be ruled out.
  bool wants_scaling_plan() const { return wants_scaling_plan_; }

  // --- Records to write; conditional on the leader key and on the packs' versions ---
  // Machines came whose entries are not being written yet.
  bool has_unrecorded_machines() const { return durable_state_.has_unwritten_machines(); }
  // What should be written now, in one transaction; none while the last one taken is out.
  DurableState::WriteBatch TakeRecords(size_t most, size_t bytes) {
    return durable_state_.TakeBatch(most, bytes, cluster_);
  }
  void OnRecordsWritten(uint64_t revision, double now);
  void OnRecordsFailed() { durable_state_.OnBatchFailed(); }
  // The state service shows a pack of ours under this version.
  void OnProgressVersion(int pack, uint64_t version) {
    durable_state_.OnProgressVersion(pack, version);
  }
  void OnMachinesVersion(int pack, uint64_t version) {
    durable_state_.OnMachinesVersion(pack, version);
  }

  // --- Blocks, as the leader (docs/blocks.md) ---
  // From now on machines are handed to the holders of blocks. `own`: the leader's block.
  void LeadShards(size_t own) { shard_leases_.BecomeLeader(own); }
  // A controller holds this block under this lease. `inherited`: since an earlier leader.
  void OpenLease(uint64_t lease, size_t block, bool inherited);
  // Its holder talks with us, or no longer does: only then it is given anything.
  void SetLeaseReady(uint64_t lease, bool ready);
  // The lease is over. Its holder may have acted until `last_acted`.
  void CloseLease(uint64_t lease, double last_acted, double now);
  // Leases that are over, whose machines are not all known yet.
  std::set<uint64_t> ExpiredLeases() const;
  // Whoever held this one has certainly stopped acting on it.
  void OnHolderCeased(uint64_t lease, double now);
  bool HasLease(uint64_t lease) const { return shard_leases_.Find(lease) != nullptr; }
  // What its holder says.
  void OnHolderMessage(uint64_t lease, const wire::ShardMessage& item, double now);
  std::vector<wire::ShardMessage> TakeHolderMessages(uint64_t lease) {
    return shard_leases_.TakeMessages(lease);
  }
  // The lease under which a machine is another controller's; 0: it is ours, or unknown.
  uint64_t LeaseOf(const std::string& machine) const;

  // --- Blocks, as a holder ---
  // Nothing but what the leader gives is placed, on no machine but those of the block.
  void HoldShard(size_t own) { shard_leases_.BecomeHolder(own); }
  // The job as the mirror knows it; its tasks are others' until they are given.
  void LoadJob(wire::JobSpec spec, uint64_t version, double submitted);
  // The machine is ours under this token.
  void AcceptMachine(const std::string& id, const std::string& address, uint64_t token, double now);
  bool Owns(const std::string& id) const { return cluster_.machines.contains(id); }
  void OnLeaderMessage(const wire::ShardMessage& item, double now);
  std::vector<wire::ShardMessage> TakeLeaderMessages() { return shard_leases_.TakeMessages(0); }
  // All tasks that it has or may have, and completions that are not known to be durable: for a
  // leader that begins.
  std::vector<wire::ShardMessage> AllClaims() const;
  // Every machine that it was assigned is known.
  bool AllMachinesKnown() const;
  // Gives back what has waited for room for so long, and machines that are lost or asked back.
  void ReturnExcess(double patience_s, bool leader_hears, double now);
  wire::ShardMessage MakeLoadMessage(uint64_t applied) const;
  wire::ShardMessage MakeMachineStatus(const cluster::Machine& m, double now) const;

  void Apply(const config::OperatorSettings& s);
  // See Placer.
  void SetMarkersSince(uint64_t version) { placer_.SetMarkersSince(version); }

  // --- For status and tests ---
  // The job's completion is durable: counts it towards the objectives.
  void OnJobFinished(const std::string& id, double now);
  wire::StatusSnapshot MakeSnapshot(double now) const;
  // Jobs tried and machines looked at for them, so far.
  uint64_t placement_attempts() const { return placer_.placement_attempts(); }
  uint64_t candidates_scored() const { return placer_.candidates_scored(); }
  const cluster::Machines& machines() const { return cluster_.machines; }
  const cluster::Jobs& jobs() const { return cluster_.jobs; }

 private:
  struct Tuning {
    autoscaler::ScalingTuning scaling;
    bool preemption = true;
  };

  // --- What workers tell ---
  cluster::Machine& FindOrAddMachine(const wire::Heartbeat& r, double now);
  void OnAgentEpoch(cluster::Machine& m, uint64_t session, double now);
  void Reconcile(cluster::Machine& m, const wire::Heartbeat& r, bool regular, double now);
  void SuspectDelivery(cluster::Machine& m);
  void RecoverAllocation(cluster::Machine& m, const wire::TaskStatus& t, double now);
  void OnTaskExited(cluster::Machine& m, const cluster::AllocationKey& key,
                    cluster::Allocation& slot, double now);
  void OnProbeAnswer(cluster::Machine& m, const CommandBatch& order, CommandOutcome outcome,
                     const wire::Heartbeat* report, double now);
  bool AcceptsHeartbeat(const wire::Heartbeat& r) const;
  void OnUnexpectedMachine(const wire::Heartbeat& r, double now);
  void OnMachineKnown(cluster::Machine& m);
  // Nothing is on it any more, though it has not said so itself.
  void EndAllocations(cluster::Machine& m, double now);
  void ReleaseRuledOutStarts();
  void OnTaskDone(jobs::Job& job, uint32_t index);
  void ReportVerdict(const cluster::Machine& m, const jobs::Job& job,
                     MachineHealth::Verdict verdict, double now);
  // --- What they are told ---
  std::vector<wire::Command> MakeCommands(cluster::Machine& m, double now);
  void RaiseTokens();
  // --- The fleet ---
  void MigrateFromDraining(double now);
  // Every machine that can be used or be told about, whoever commands it.
  cluster::Machine* FindMachine(const std::string& id);
  // --- Blocks ---
  void OnClaim(uint64_t lease, const wire::ShardMessage& item, double now);
  void OnTasksDone(uint64_t lease, const wire::ShardMessage& item, double now);
  void OnMachineStatus(uint64_t lease, const wire::ShardMessage& item, double now);
  void OnMachineReturned(uint64_t lease, const wire::ShardMessage& item, double now);
  void SendDurableCompletions();
  void HandOverMachines(double now);
  void CompleteHandover(cluster::Machine& m, double now);
  void RecallMachines(double now);
  cluster::Machine& TakeBackMachine(const cluster::Machine& lent, uint64_t past_lease,
                                    double last_acted);
  void EndReconciliations(const std::string& machine);
  void StopTask(const std::string& job, uint32_t index);
  bool ReclaimAllocation(jobs::Job& job, uint32_t index);
  bool IsBeingHandedOver(const wire::TaskId& task, uint64_t lease) const;
  bool IsReconciling(const wire::TaskId& task) const;
  // --- For people ---
  const char* WaitingReason(const jobs::Job& job, double now) const;
  void LogLoad(double now);

  // Each of these owns one state; what they guard stands in their headers.
  const config::Settings settings_;
  const config::DerivedSettings derived_;
  const uint64_t token_;
  const ServiceLevelObjectives objectives_;
  ActivityTracker activity_;
  cluster::ClusterState cluster_;
  Failover failover_;
  TaskReconciliation reconciliation_;
  ShardLeases shard_leases_;
  DurableState durable_state_;
  ProvisioningTracker provisioning_;
  UnconfirmedStarts unconfirmed_starts_;
  const MachineHealth machine_health_;
  TaskPlacer placer_;
  Tuning tuning_;
  std::map<std::string, std::vector<uint32_t>>
      ended_held_tasks_;                // as a holder: tasks of jobs that ended
  uint64_t reconciled_heartbeats_ = 0;  // reports
  bool wants_scaling_plan_ = false;     // something came since the last plan
};

}  // namespace mosspath::scheduler
