#include "mosspath/scheduler/scheduler.h"

namespace mosspath::scheduler {

using cluster::Machine;

// ---------------------------------------------------------------------------- roles

Scheduler::Scheduler(const config::Settings& settings, const config::DerivedSettings& derived,
                     uint64_t token, double now)
    : state_(settings, derived, token, now) {
  state_.role = &leader_role_;
}

void Scheduler::LeadShards(size_t own_shard) {
  state_.shard_leases.BecomeLeader(own_shard);
  state_.role = &sharded_leader_role_;
}

void Scheduler::HoldShard(size_t own_shard) {
  state_.shard_leases.BecomeHolder(own_shard);
  state_.role = &holder_role_;
}

// ---------------------------------------------------------------------------- takeover

void Scheduler::LoadProgressPack(int pack, const wire::Json& value, uint64_t version) {
  if (value.is_object()) state_.durable_state.LoadProgressPack(pack, value, version);
}

void Scheduler::LoadMachinesPack(int pack, const wire::Json& value, uint64_t version) {
  if (!value.is_object()) return;
  state_.durable_state.LoadMachinesPack(pack, value, version);
  for (const auto& [id, record] : value.items()) {
    machine_lifecycle_.AddRecorded(id, DecodeMachineRecord(record));
  }
}

void Scheduler::SetMachineTypes(std::vector<wire::MachineType> types) {
  state_.cluster.machine_types.Set(std::move(types));
  for (cluster::Machines* machines : state_.AllMachines()) {
    for (auto& [id, machine] : *machines) state_.cluster.machine_types.ApplyTo(machine);
  }
  state_.cluster.changed_since_pass = true;
}

// ---------------------------------------------------------------------------- jobs and machines

void Scheduler::OnJobFinished(const std::string& id, double now) {
  if (const jobs::Job* job = state_.cluster.FindJob(id)) state_.activity.OnJobFinished(*job, now);
}

void Scheduler::OnMachineDeleting(const std::string& id) {
  if (Machine* machine = state_.FindMachine(id)) machine->deleting = true;
}

void Scheduler::OnDeletionFailed(const std::string& id) {
  if (Machine* machine = state_.FindMachine(id)) machine->deleting = false;
}

void Scheduler::OnMachineList(const std::vector<wire::ListedMachine>& machines, double requested_at,
                              double now) {
  state_.provisioning.OnMachineList(machines, state_.AllMachines(), requested_at, now);
  state_.unconfirmed_starts.OnMachineList(machines, requested_at);
}

void Scheduler::OnRecordsWritten(uint64_t revision, double now) {
  for (const auto& id : state_.durable_state.OnBatchWritten(revision, state_.cluster)) {
    Machine& machine = state_.cluster.machines.at(id);
    machine_lifecycle_.OnRecordDurable(machine, revision);
    if (machine.handover_lease != kNoLease) handover_.CompleteHandover(machine, now);
  }
  state_.role->OnRecordsWritten();
}

// ---------------------------------------------------------------------------- time

void Scheduler::Tick(double now) {
  machine_lifecycle_.ExpireLeases(now);
  migration_.LeaveUnschedulableMachines(now);
  machine_lifecycle_.ReleaseRuledOutStarts();
  commands_.RaiseTokens();
  state_.role->BeforePlacement(now);
  state_.cluster.changed_since_pass = true;
  Place(now);
  if (state_.policy.preemption) state_.placer.Preempt(now);
  state_.role->AfterPlacement(now);
  reporter_.LogLoadIfDue(now);
}

void Scheduler::OnProcessStall(double from, double now) {
  const double stall_s = now - from;
  state_.failover.OnProcessStall(now);
  for (auto& [id, machine] : state_.cluster.machines) {
    // The stall must not add to the time since the last contact. `lease_renewed_at` is not moved,
    // because the agent counts its lease from that renewal whether this process runs or not.
    if (from - machine.last_contact_at < state_.derived.agent_suspect_s) {
      machine.last_contact_at += stall_s;
    }
    machine.failed_probes = 0;
    // A task may have ended at any time during the stall, so its run time is unknown and must not
    // be used to compare machines.
    for (auto& [key, allocation] : machine.allocations) allocation.recovered = true;
  }
  state_.cluster.changed_since_pass = true;
}

// ---------------------------------------------------------------------------- operators

void Scheduler::Apply(const config::OperatorSettings& settings) {
  state_.placer.SetPolicy({settings.gamma, settings.epsilon}, settings.give_ahead);
  state_.placer.fair_share().Configure(settings.turn_share, settings.weights);
  state_.placer.reservation().SetBootTimes(settings.ordinary_boots);
  state_.placer.SetFirstTaskShare(settings.begin_share);
  state_.policy.scaling.max_machines = static_cast<int>(settings.max_machines);
  state_.policy.scaling.horizon_boots = settings.horizon_boots;
  state_.policy.scaling.keep_idle_boots = settings.keep_idle_boots;
  state_.policy.scaling.reserve = settings.reserve;
  state_.policy.preemption = settings.preemption;
  state_.cluster.changed_since_pass = true;
}

}  // namespace mosspath::scheduler
