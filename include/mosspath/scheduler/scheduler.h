// The scheduler: where every task is or may be, where waiting tasks go, and what agents are told.
// Pure: heartbeats, jobs and the time go in; commands, records to write and scaling plans come out.
//
// This facade passes each event on to the unit that handles it. The units share one SchedulerState;
// what differs between a leader and a holder of a shard is behind the Role interface.
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
  // One term of leadership, or one shard lease: nothing is known but what is loaded next. `now` is
  // after the last moment at which an earlier leader could have answered an agent. It leads alone
  // until LeadShards or HoldShard is called.
  Scheduler(const config::Settings& settings, const config::DerivedSettings& derived,
            uint64_t token, double now);

  // --- Takeover ---

  // Take over a pack of a predecessor's records. `version` is that of the pack in the store.
  void LoadProgressPack(int pack, const wire::Json& value, uint64_t version);
  void LoadMachinesPack(int pack, const wire::Json& value, uint64_t version);
  void SetMachineTypes(std::vector<wire::MachineType> types);
  // Whether every place is known that tasks of earlier leaders could be at.
  bool recovery_complete() const { return state_.failover.recovery_complete(); }

  // --- Jobs: see JobLifecycle ---

  void AddJob(wire::JobSpec spec, uint64_t version, double submitted) {
    jobs_.Add(std::move(spec), version, submitted);
  }
  void RemoveJob(const std::string& id, double now) { jobs_.Remove(id, now); }
  const jobs::Job* FindJob(const std::string& id) const { return state_.cluster.FindJob(id); }
  JobCounts Counts(const std::string& id) const { return jobs_.Counts(id); }
  // Returns jobs whose tasks are all done and whose completion is not being written yet.
  std::vector<std::string> TakeCompletedJobs() { return jobs_.TakeCompleted(); }
  void OnCompletionFailed(const std::string& id) { jobs_.OnCompletionFailed(id); }
  // The job's completion is durable: counts it towards the objectives.
  void OnJobFinished(const std::string& id, double now);

  // --- Agents: see HeartbeatHandler, CommandPlanner and CommandOutcomeHandler ---

  HeartbeatAnswer OnHeartbeat(const wire::Heartbeat& heartbeat, double now) {
    return heartbeats_.OnHeartbeat(heartbeat, now);
  }
  // Returns at most so many batches. What is left goes with answers to heartbeats, or later.
  std::vector<CommandBatch> TakeCommands(double now, size_t max_batches = kUnlimitedBatches) {
    return commands_.TakeBatches(now, max_batches);
  }
  // `heartbeat` is null if the agent did not answer with one.
  void OnCommandOutcome(const CommandBatch& batch, CommandOutcome outcome,
                        const wire::Heartbeat* heartbeat, double now) {
    outcomes_.OnOutcome(batch, outcome, heartbeat, now);
  }

  // --- Machines: see MachineLifecycle and ProvisioningTracker ---

  void OnMachineDeleted(const std::string& id, double now) { lifecycle_.OnMachineDeleted(id, now); }
  // The machine is being deleted, or could not be.
  void OnMachineDeleting(const std::string& id);
  void OnDeletionFailed(const std::string& id);
  // The cloud's list of all machines, requested at `asked`.
  void OnMachineList(const std::vector<wire::ListedMachine>& machines, double asked, double now);
  // The cloud has provisioned these machines as the offer says.
  void OnProvisioned(const std::vector<std::string>& ids, const autoscaler::ScaleOutRequest& offer,
                     double now) {
    state_.provisioning.OnProvisioned(ids, offer, state_.AllMachines(), now);
  }
  // The cloud has no capacity for the offer, which is not to be asked for before `until`.
  void OnProvisioningRefused(const autoscaler::ScaleOutRequest& offer, double until) {
    state_.provisioning.OnRefused(offer, until);
  }

  // --- Time ---

  // Whether most agents that this controller heard are silent now, all at once: it can't do its
  // work, though another controller may.
  bool IsPartitionedFromAgents(double now) {
    return state_.failover.IsPartitionedFromAgents(state_.cluster.machines, now);
  }
  // This process did not run from `from` until `now`, while its clock did: nobody was silent, slow
  // or gone in that time.
  void OnProcessStall(double from, double now);
  // Does what is due: called a few times per heartbeat interval.
  void Tick(double now);
  // Places what can be placed now.
  void Place(double now) { state_.placer.Place(now); }
  // See ScalingCoordinator::Plan.
  autoscaler::ScalingPlan PlanScaling(double now) { return scaling_.Plan(now); }
  // Whether something has come that no scaling plan has seen yet: jobs, or machines whose tasks
  // must be ruled out.
  bool wants_scaling_plan() const { return state_.wants_scaling_plan; }

  // --- Records to write, conditional on the leader key and on the packs' versions ---

  // Whether machines have come whose records are not being written yet.
  bool has_unrecorded_machines() const { return state_.durable_state.has_unwritten_machines(); }
  // Returns what should be written now in one transaction of at most `max_packs` packs and about
  // `max_bytes` bytes; nothing while the last batch is in flight.
  DurableState::WriteBatch TakeRecords(size_t max_packs, size_t max_bytes) {
    return state_.durable_state.TakeBatch(max_packs, max_bytes, state_.cluster);
  }
  // The last batch taken is durable at this revision, or was not written.
  void OnRecordsWritten(uint64_t revision, double now);
  void OnRecordsFailed() { state_.durable_state.OnBatchFailed(); }
  // The store shows a pack of ours under this version.
  void OnProgressVersion(int pack, uint64_t version) {
    state_.durable_state.OnProgressVersion(pack, version);
  }
  void OnMachinesVersion(int pack, uint64_t version) {
    state_.durable_state.OnMachinesVersion(pack, version);
  }

  // --- Shards, as the leader (docs/sharding.md): see LeaderSharding ---

  // From now on machines are handed over to the holders of shards. `own_shard`: the leader's.
  void LeadShards(size_t own_shard);
  void OpenLease(uint64_t lease, size_t shard, bool inherited) {
    leader_sharding_.OpenLease(lease, shard, inherited);
  }
  void SetLeaseReady(uint64_t lease, bool ready) { leader_sharding_.SetLeaseReady(lease, ready); }
  // The lease is over. Its holder may have commanded machines until `last_acted`.
  void CloseLease(uint64_t lease, double last_acted, double /*now*/) {
    leader_sharding_.CloseLease(lease, last_acted);
  }
  // Returns leases that are over, whose machines are not all known yet.
  std::set<uint64_t> ExpiredLeases() const { return leader_sharding_.ExpiredLeases(); }
  // The holder of that lease has certainly stopped commanding machines.
  void OnHolderCeased(uint64_t lease, double now) { leader_sharding_.OnHolderCeased(lease, now); }
  bool HasLease(uint64_t lease) const { return state_.shard_leases.Find(lease) != nullptr; }
  void OnHolderMessage(uint64_t lease, const wire::ShardMessage& message, double now) {
    leader_sharding_.OnHolderMessage(lease, message, now);
  }
  std::vector<wire::ShardMessage> TakeHolderMessages(uint64_t lease) {
    return state_.shard_leases.TakeMessages(lease);
  }
  // Returns the lease under which the machine is another controller's; kNoLease if it is ours, or
  // unknown.
  uint64_t LeaseOf(const std::string& machine) const { return leader_sharding_.LeaseOf(machine); }

  // --- Shards, as a holder: see HolderSharding ---

  // From now on only what the leader delegates is placed, and only on machines that it assigned.
  void HoldShard(size_t own_shard);
  void LoadJob(wire::JobSpec spec, uint64_t version, double submitted) {
    holder_sharding_.LoadJob(std::move(spec), version, submitted);
  }
  void AcceptMachine(const std::string& id, const std::string& address, uint64_t token,
                     double now) {
    holder_sharding_.AcceptMachine(id, address, token, now);
  }
  // Whether this controller commands the machine.
  bool Owns(const std::string& id) const { return state_.cluster.machines.contains(id); }
  void OnLeaderMessage(const wire::ShardMessage& message, double now) {
    holder_sharding_.OnLeaderMessage(message, now);
  }
  std::vector<wire::ShardMessage> TakeLeaderMessages() {
    return state_.shard_leases.TakeMessages(kNoLease);
  }
  std::vector<wire::ShardMessage> AllClaims() const { return holder_sharding_.AllClaims(); }
  bool AllMachinesKnown() const { return holder_sharding_.AllMachinesKnown(); }
  void ReturnExcess(double patience_s, bool leader_hears, double now) {
    holder_sharding_.ReturnExcess(patience_s, leader_hears, now);
  }
  wire::ShardMessage MakeLoadMessage(uint64_t applied_batch) const {
    return holder_sharding_.MakeLoadMessage(applied_batch);
  }
  wire::ShardMessage MakeMachineStatus(const cluster::Machine& machine, double now) const {
    return holder_sharding_.MakeMachineStatus(machine, now);
  }

  // --- Operators ---

  void Apply(const config::OperatorSettings& settings);
  // See TaskPlacer.
  void SetMarkersSince(uint64_t version) { state_.placer.SetMarkersSince(version); }

  // --- Status and tests ---

  wire::StatusSnapshot MakeSnapshot(double now) const { return reporter_.MakeSnapshot(now); }
  // How many jobs were tried, and how many machines were looked at for them, so far.
  uint64_t placement_attempts() const { return state_.placer.placement_attempts(); }
  uint64_t candidates_scored() const { return state_.placer.candidates_scored(); }
  const cluster::Machines& machines() const { return state_.cluster.machines; }
  const cluster::Jobs& jobs() const { return state_.cluster.jobs; }

 private:
  SchedulerState state_;
  // Each unit refers to the state and to units above it.
  MachineLifecycle lifecycle_{state_};
  JobLifecycle jobs_{state_};
  TaskMigration migration_{state_};
  ScalingCoordinator scaling_{state_, migration_};
  StatusReporter reporter_{state_};
  Reconciler reconciler_{state_, lifecycle_};
  CommandPlanner commands_{state_};
  HeartbeatHandler heartbeats_{state_, lifecycle_, reconciler_, commands_};
  CommandOutcomeHandler outcomes_{state_, heartbeats_, reconciler_};
  MachineHandover handover_{state_};
  LeaderSharding leader_sharding_{state_, handover_};
  HolderSharding holder_sharding_{state_, jobs_, lifecycle_, migration_};
  LeaderRole leader_role_{state_};
  ShardedLeaderRole sharded_leader_role_{state_, handover_, leader_sharding_};
  HolderRole holder_role_{state_, holder_sharding_};
};

}  // namespace mosspath::scheduler
