// The scheduler tracks where each task runs or may run, places waiting tasks on machines, and
// decides which commands agents receive. It does no I/O except logging, reads no clock and takes no
// locks: heartbeats, jobs and the time are its inputs; commands, records to write and scaling plans
// are its outputs. Times are in seconds on the controller's steady clock.
//
// The Scheduler class is a facade that forwards each event to the component that handles it. The
// components share one SchedulerState. The Role interface hides the differences between a leader
// and the holder of a shard.
#pragma once

#include <cstdint>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "mosspath/autoscaler/scaling_planner.h"
#include "mosspath/config/operator_settings.h"
#include "mosspath/config/settings.h"
#include "mosspath/scheduler/command_batch.h"
#include "mosspath/scheduler/command_outcome_handler.h"
#include "mosspath/scheduler/command_planner.h"
#include "mosspath/scheduler/heartbeat_handler.h"
#include "mosspath/scheduler/holder_role.h"
#include "mosspath/scheduler/holder_sharding.h"
#include "mosspath/scheduler/job_lifecycle.h"
#include "mosspath/scheduler/leader_role.h"
#include "mosspath/scheduler/leader_sharding.h"
#include "mosspath/scheduler/machine_handover.h"
#include "mosspath/scheduler/machine_lifecycle.h"
#include "mosspath/scheduler/reconciler.h"
#include "mosspath/scheduler/run_time_estimate.h"
#include "mosspath/scheduler/scaling_coordinator.h"
#include "mosspath/scheduler/scheduler_state.h"
#include "mosspath/scheduler/status_reporter.h"
#include "mosspath/scheduler/task_migration.h"
#include "mosspath/wire/messages.h"
#include "mosspath/wire/status_snapshot.h"

namespace mosspath::scheduler {

class Scheduler {
 public:
  // An instance serves one term of leadership or one shard lease, and starts empty: the caller
  // loads the records next. `token` is the fencing token of the term, or the number of the lease.
  // `now` is later than any time at which an earlier controller could have answered an agent. The
  // instance is a leader without shard holders until LeadShards or HoldShard is called.
  Scheduler(const config::Settings& settings, const config::DerivedSettings& derived,
            uint64_t token, double now);

  // --- Takeover ---

  // Loads one pack of records that an earlier leader wrote. `version` is the version of the pack in
  // the store.
  void LoadProgressPack(int pack, const wire::Json& value, uint64_t version);
  void LoadMachinesPack(int pack, const wire::Json& value, uint64_t version);
  void SetMachineTypes(std::vector<wire::MachineType> types);
  // Returns whether every machine and shard lease that could still have tasks of earlier leaders
  // has been accounted for.
  bool recovery_complete() const { return state_.failover.recovery_complete(); }

  // --- Jobs: see JobLifecycle ---

  void AddJob(wire::JobSpec spec, uint64_t version, double submitted) {
    job_lifecycle_.Add(std::move(spec), version, submitted);
  }
  void RemoveJob(const std::string& id, double now) { job_lifecycle_.Remove(id, now); }
  const jobs::Job* FindJob(const std::string& id) const { return state_.cluster.FindJob(id); }
  JobCounts Counts(const std::string& id) const { return job_lifecycle_.Counts(id); }
  // Returns the jobs whose tasks are all done and whose completion is not being written yet.
  std::vector<std::string> TakeCompletedJobs() { return job_lifecycle_.TakeCompleted(); }
  void OnCompletionFailed(const std::string& id) { job_lifecycle_.OnCompletionFailed(id); }
  // Counts the job towards the service level objectives. Called once its completion is durable.
  void OnJobFinished(const std::string& id, double now);

  // --- Agents: see HeartbeatHandler, CommandPlanner and CommandOutcomeHandler ---

  HeartbeatAnswer OnHeartbeat(const wire::Heartbeat& heartbeat, double now) {
    return heartbeats_.OnHeartbeat(heartbeat, now);
  }
  // Returns at most `max_batches` batches to send directly to agents. Further commands are sent in
  // answers to heartbeats or in later batches.
  std::vector<CommandBatch> TakeCommands(double now, size_t max_batches = kUnlimitedBatches) {
    return commands_.TakeBatches(now, max_batches);
  }
  // `heartbeat` is the heartbeat in the agent's answer, or null if the answer had no heartbeat.
  void OnCommandOutcome(const CommandBatch& batch, CommandOutcome outcome,
                        const wire::Heartbeat* heartbeat, double now) {
    outcomes_.OnOutcome(batch, outcome, heartbeat, now);
  }

  // Returns the figures of the attempts that are to be stopped because their jobs have ended.
  StopSummary SummarizeStops(double now) const {
    return state_.stop_monitor.Summarize(state_.cluster.machines, now);
  }

  // Returns the counts of the commands that were sent and of the tokens that were raised.
  const CommandCounts& command_counts() const { return state_.command_monitor.counts(); }

  // --- Machines: see MachineLifecycle and ProvisioningTracker ---

  void OnMachineDeleted(const std::string& id, double now) {
    machine_lifecycle_.OnMachineDeleted(id, now);
  }
  // Marks the machine as being deleted, or removes the mark after the deletion has failed.
  void OnMachineDeleting(const std::string& id);
  void OnDeletionFailed(const std::string& id);
  // Processes the cloud's list of all machines, which was requested at `requested_at`.
  void OnMachineList(const std::vector<wire::ListedMachine>& machines, double requested_at,
                     double now);
  // Adds machines that the cloud has provisioned for the offer.
  void OnProvisioned(const std::vector<std::string>& ids, const autoscaler::ScaleOutRequest& offer,
                     double now) {
    state_.provisioning.OnProvisioned(ids, offer, state_.AllMachines(), now);
  }
  // Excludes the offer, for which the cloud has no capacity, from scaling plans until `until`.
  void OnProvisioningRefused(const autoscaler::ScaleOutRequest& offer, double until) {
    state_.provisioning.OnRefused(offer, until);
  }

  // --- Time ---

  // Returns whether most of the agents that have sent heartbeats to this controller are silent at
  // the same time. This controller can't command machines then, but another controller may be able
  // to.
  bool IsPartitionedFromAgents(double now) {
    return state_.failover.IsPartitionedFromAgents(state_.cluster.machines, now);
  }
  // Accounts for a stall: this process did not run from `from` until `now`, while its clock went
  // on. Because of that time, no machine is treated as silent and no task as slow.
  void OnProcessStall(double from, double now);
  // Runs the periodic work, such as lease expiry and placement. Called a few times per heartbeat
  // interval.
  void Tick(double now);
  // Runs a placement pass over the waiting jobs if the cluster state has changed since the last
  // pass.
  void Place(double now) { state_.placer.Place(now); }
  // See ScalingCoordinator::Plan.
  autoscaler::ScalingPlan PlanScaling(double now) { return scaling_.Plan(now); }
  // Returns whether a new scaling plan should be made soon; see SchedulerState.
  bool wants_scaling_plan() const { return state_.wants_scaling_plan; }

  // --- Records to write, conditional on the leader key and on the packs' versions ---

  // Returns whether records of machines wait to be written and no batch is in flight.
  bool has_unrecorded_machines() const { return state_.durable_state.has_unwritten_machines(); }
  // Returns the records to write now, in one transaction of at most `max_packs` packs and about
  // `max_bytes` bytes. Returns an empty batch while the previous batch is in flight.
  DurableState::WriteBatch TakeRecords(size_t max_packs, size_t max_bytes) {
    return state_.durable_state.TakeBatch(max_packs, max_bytes, state_.cluster);
  }
  // The next two functions end the batch in flight. OnRecordsWritten: the batch is durable at this
  // store revision. OnRecordsFailed: the batch was not written.
  void OnRecordsWritten(uint64_t revision, double now);
  void OnRecordsFailed() { state_.durable_state.OnBatchFailed(); }
  // Records the version of the pack that a watch event of the store reports.
  void OnProgressVersion(int pack, uint64_t version) {
    state_.durable_state.OnProgressVersion(pack, version);
  }
  void OnMachinesVersion(int pack, uint64_t version) {
    state_.durable_state.OnMachinesVersion(pack, version);
  }

  // --- Shards, as the leader (docs/sharding.md): see LeaderSharding ---

  // Makes the instance a leader that hands machines over to the holders of shards. `own_shard` is
  // the shard that the leader keeps.
  void LeadShards(size_t own_shard);
  void OpenLease(uint64_t lease, size_t shard, bool inherited) {
    leader_sharding_.OpenLease(lease, shard, inherited);
  }
  void SetLeaseReady(uint64_t lease, bool ready) { leader_sharding_.SetLeaseReady(lease, ready); }
  // Ends the lease. Its holder may have commanded machines until `last_acted`.
  void CloseLease(uint64_t lease, double last_acted, double /*now*/) {
    leader_sharding_.CloseLease(lease, last_acted);
  }
  // Returns the ended leases of which some machines have not been reconciled yet.
  std::set<uint64_t> ExpiredLeases() const { return leader_sharding_.ExpiredLeases(); }
  // Records that the holder of the ended lease has provably stopped commanding machines. This
  // may shorten the wait until the leases of the machines' agents have expired.
  void OnHolderCeased(uint64_t lease, double now) { leader_sharding_.OnHolderCeased(lease, now); }
  bool HasLease(uint64_t lease) const { return state_.shard_leases.Find(lease) != nullptr; }
  void OnHolderMessage(uint64_t lease, const wire::ShardMessage& message, double now) {
    leader_sharding_.OnHolderMessage(lease, message, now);
  }
  std::vector<wire::ShardMessage> TakeHolderMessages(uint64_t lease) {
    return state_.shard_leases.TakeMessages(lease);
  }
  // Returns the lease under which another controller commands the machine; kNoLease if this
  // controller commands the machine or the machine is unknown.
  uint64_t LeaseOf(const std::string& machine) const { return leader_sharding_.LeaseOf(machine); }

  // --- Shards, as a holder: see HolderSharding ---

  // Makes the instance the holder of a shard: it places only tasks that the leader delegates, and
  // only on machines that the leader has assigned to it.
  void HoldShard(size_t own_shard);
  void LoadJob(wire::JobSpec spec, uint64_t version, double submitted) {
    holder_sharding_.LoadJob(std::move(spec), version, submitted);
  }
  void AcceptMachine(const std::string& id, const std::string& address, uint64_t token,
                     double now) {
    holder_sharding_.AcceptMachine(id, address, token, now);
  }
  // Returns whether this controller commands the machine.
  bool Owns(const std::string& id) const { return state_.cluster.machines.contains(id); }
  void OnLeaderMessage(const wire::ShardMessage& message, double now) {
    holder_sharding_.OnLeaderMessage(message, now);
  }
  std::vector<wire::ShardMessage> TakeLeaderMessages() {
    return state_.shard_leases.TakeMessages(kNoLease);
  }
  std::vector<wire::ShardMessage> AllClaims() const { return holder_sharding_.AllClaims(); }
  bool AllMachinesKnown() const { return holder_sharding_.AllMachinesKnown(); }
  void ReturnExcess(double max_wait_s, bool leader_is_up, double now) {
    holder_sharding_.ReturnExcess(max_wait_s, leader_is_up, now);
  }
  wire::ShardMessage MakeLoadMessage(uint64_t applied_batch) const {
    return holder_sharding_.MakeLoadMessage(applied_batch);
  }
  wire::ShardMessage MakeMachineStatus(const cluster::Machine& machine, double now) const {
    return holder_sharding_.MakeMachineStatus(machine, now);
  }

  // As a holder: this controller has read the store up to `revision`, and commands its machines by
  // what it has read. The revision may serve as a new fencing token.
  void OnRevisionRead(uint64_t revision) { state_.durable_state.OnRevisionRead(revision); }

  // --- Operators ---

  void Apply(const config::OperatorSettings& settings);
  // See TaskPlacer.
  void SetMarkersSince(uint64_t version) { state_.placer.SetMarkersSince(version); }

  // --- Status and tests ---

  wire::StatusSnapshot MakeSnapshot(double now) const { return reporter_.MakeSnapshot(now); }
  // Return how many attempts to place tasks of a job were made so far, and how many candidate
  // machines these attempts examined.
  uint64_t placement_attempts() const { return state_.placer.placement_attempts(); }
  uint64_t machines_filtered() const { return state_.placer.machines_filtered(); }
  const cluster::Machines& machines() const { return state_.cluster.machines; }
  const cluster::Jobs& jobs() const { return state_.cluster.jobs; }

 private:
  SchedulerState state_;
  // Each component refers to the state and to components that are declared before it.
  MachineLifecycle machine_lifecycle_{state_};
  JobLifecycle job_lifecycle_{state_};
  TaskMigration migration_{state_};
  ScalingCoordinator scaling_{state_, migration_};
  StatusReporter reporter_{state_};
  Reconciler reconciler_{state_, machine_lifecycle_};
  CommandPlanner commands_{state_};
  HeartbeatHandler heartbeats_{state_, machine_lifecycle_, reconciler_, commands_};
  CommandOutcomeHandler outcomes_{state_, heartbeats_, reconciler_};
  MachineHandover handover_{state_};
  LeaderSharding leader_sharding_{state_, handover_};
  HolderSharding holder_sharding_{state_, job_lifecycle_, machine_lifecycle_, migration_};
  LeaderRole leader_role_{state_};
  ShardedLeaderRole sharded_leader_role_{state_, handover_, leader_sharding_};
  HolderRole holder_role_{state_, holder_sharding_};
};

}  // namespace mosspath::scheduler
