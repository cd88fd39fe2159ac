#include "mosspath/scheduler/scaling_coordinator.h"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <utility>

#include "mosspath/scheduler/quota_reservation.h"
#include "mosspath/scheduler/run_time_estimate.h"

namespace mosspath::scheduler {

using autoscaler::Demand;
using autoscaler::FleetMachine;
using autoscaler::ScalingInput;
using autoscaler::ScalingPlan;
using cluster::Machine;
using jobs::Job;

namespace {

// Unreachable machines are few if there is only one, or if at most one machine in this many is
// unreachable.
constexpr size_t kMachinesPerUnreachable = 10;
// An unreachable machine is deleted after a silence of this many agent leases, however many
// machines are unreachable.
constexpr double kMaxSilentLeases = 4;

// Appends `demand` with this number of waiting tasks.
void AppendDemand(Demand demand, uint32_t tasks, double expected_run_s,
                  std::vector<Demand>& demands) {
  demand.waiting_tasks = tasks;
  demand.waiting_run_s = tasks * expected_run_s;
  demands.push_back(std::move(demand));
}

// Returns the resources and placement constraints of a task of the job.
Demand DescribeTask(const Job& job) {
  const wire::JobSpec& spec = job.spec;
  Demand demand;
  demand.spot_allowed = spec.spot_allowed;
  if (spec.types) demand.types = *spec.types;
  if (spec.zone) demand.zone = *spec.zone;
  demand.cpus = spec.cpus;
  demand.gpus = spec.gpus;
  demand.memory_gb = spec.memory_gb;
  demand.urgent = spec.priority >= wire::Priority::kHigh || spec.kind == wire::JobKind::kGang;
  // Tasks that must share a zone need machines in the zone where tasks of the job are already
  // placed.
  if (spec.single_zone) {
    for (const auto& [zone, tasks] : job.placed_by_zone) {
      if (tasks > 0) demand.zone = zone;
    }
    demand.single_zone = demand.zone.empty();
  }
  return demand;
}

uint32_t PlacedInZone(const Job& job, const std::string& zone) {
  const auto it = job.placed_by_zone.find(zone);
  return it == job.placed_by_zone.end() ? 0 : it->second;
}

}  // namespace

ScalingPlan ScalingCoordinator::Plan(double now) {
  MachinesToReplace to_replace;
  const ScalingInput input = MakeInput(now, to_replace);
  ScalingPlan plan = autoscaler::PlanScaling(input, state_.policy.scaling);
  state_.wants_scaling_plan = false;
  state_.planned_demand = plan.demand;
  ApplyDraining(plan);
  migration_.MigrateFromDraining(now);
  AppendReplacements(to_replace, now, plan.scale_in);
  return plan;
}

// ---------------------------------------------------------------------------- the input

ScalingInput ScalingCoordinator::MakeInput(double now, MachinesToReplace& to_replace) {
  const cluster::MachineTypeCatalog& types = state_.cluster.machine_types;
  ScalingInput input;
  input.now = now;
  for (const auto& [name, type] : types.all()) input.types.push_back(type);
  input.closed_until = state_.provisioning.closed_until();
  input.demand = WaitingDemand(now);
  AppendReservedDemand(now, input);
  to_replace.stragglers =
      state_.failover.Stragglers(state_.cluster.machines, state_.reconciliation, now);
  AppendMachines(now, input.machines, to_replace.unreachable);
  AppendDelegatedMachines(now, input.machines, to_replace.unreachable);
  state_.provisioning.AppendBootingMachines(now, types, input.machines, to_replace.never_booted);
  input.burst_cpus = state_.provisioning.LargestBurstCpus(now, types);
  return input;
}

std::vector<Demand> ScalingCoordinator::WaitingDemand(double now) const {
  std::vector<Demand> demand;
  for (const auto& [id, job] : state_.cluster.jobs) {
    // Includes the next retry of a crash looping job. Its tasks may have failed because of machines
    // that are gone since, and no present machine may be one on which the job may run.
    if (now >= job->not_before && RunnableTasks(*job) > 0) AppendJobDemand(*job, demand);
  }
  return demand;
}

void ScalingCoordinator::AppendJobDemand(const Job& job, std::vector<Demand>& demand) const {
  const wire::JobSpec& spec = job.spec;
  const double expected_run_s = ExpectedRunS(job);
  Demand task = DescribeTask(job);
  auto waiting = static_cast<uint32_t>(RunnableTasks(job));
  if (!spec.spread_over_zones || spec.zone) {
    AppendDemand(std::move(task), waiting, expected_run_s, demand);
    return;
  }
  // Tasks that must be spread over zones need machines in each zone that does not have its maximum
  // of the job's tasks yet.
  const uint32_t max_per_zone = (spec.tasks + 1) / 2;
  for (const auto& zone : state_.settings.zones) {
    const uint32_t placed = std::min(max_per_zone, PlacedInZone(job, zone));
    const uint32_t tasks = std::min(waiting, max_per_zone - placed);
    task.zone = zone;
    AppendDemand(task, tasks, expected_run_s, demand);
    waiting -= tasks;
  }
}

// Adds demand for the reserved capacity. The reservation is for expected urgent work that may not
// run on spot machines.
void ScalingCoordinator::AppendReservedDemand(double now, ScalingInput& input) {
  const CapacityReservation::Resources reserved =
      state_.placer.reservation().Reserved(now, state_.cluster.machine_types);
  input.on_demand_cpus = reserved.cpus;
  if (reserved.cpus <= 0) return;
  Demand demand;
  demand.spot_allowed = false;
  demand.cpus = 1;
  demand.memory_gb = reserved.memory_gb / reserved.cpus;
  demand.waiting_tasks = reserved.cpus;
  demand.urgent = true;
  input.demand.push_back(std::move(demand));
}

void ScalingCoordinator::AppendMachines(double now, std::vector<FleetMachine>& machines,
                                        std::set<std::string>& unreachable) const {
  for (const auto& [id, machine] : state_.cluster.machines) {
    if (machine.deleting) continue;
    const bool inherited_without_contact = machine.address.empty();
    if (inherited_without_contact) {
      if (now - machine.lease_renewed_at > state_.derived.agent_suspect_s) unreachable.insert(id);
      continue;
    }
    FleetMachine described = DescribeOwnMachine(machine, now);
    if (machine.lost || (IsSilent(machine, now) && !described.schedulable)) {
      // The plan must not include the machine's capacity. The machine is proposed for deletion,
      // because once it is deleted it is certain that its tasks no longer run.
      described.schedulable = described.idle = false;
      unreachable.insert(id);
    }
    machines.push_back(std::move(described));
  }
}

void ScalingCoordinator::AppendDelegatedMachines(double now, std::vector<FleetMachine>& machines,
                                                 std::set<std::string>& unreachable) const {
  for (const auto& [id, machine] : state_.cluster.delegated_machines) {
    if (machine.deleting || machine.type.empty()) continue;
    FleetMachine described = DescribeDelegatedMachine(machine, now);
    if (machine.holder_status.unresponsive && !described.schedulable) {
      described.schedulable = described.idle = false;
      if (machine.missing_from_list || machine.failed) unreachable.insert(id);
    }
    machines.push_back(std::move(described));
  }
}

FleetMachine ScalingCoordinator::DescribeMachine(const Machine& machine, double now) const {
  FleetMachine described;
  described.id = machine.id;
  described.type = machine.type;
  described.zone = machine.zone;
  described.spot = machine.spot;
  described.up = true;
  described.schedulable = state_.cluster.IsSchedulable(machine, now);
  described.used_cpus = machine.used_cpus;
  described.used_gpus = machine.used_gpus;
  described.used_memory_gb = machine.used_memory_gb;
  described.draining = machine.draining;
  return described;
}

FleetMachine ScalingCoordinator::DescribeOwnMachine(const Machine& machine, double now) const {
  FleetMachine described = DescribeMachine(machine, now);
  for (const auto& [key, allocation] : machine.allocations) {
    if (allocation.exited()) continue;
    described.remaining_cpu_s += allocation.cpus * RemainingRunS(allocation, now);
  }
  described.idle = IsIdle(machine);
  described.idle_s = described.idle ? now - machine.idle_since : 0;
  described.has_on_demand_work = HasOnDemandWork(machine);
  return described;
}

FleetMachine ScalingCoordinator::DescribeDelegatedMachine(const Machine& machine,
                                                          double now) const {
  FleetMachine described = DescribeMachine(machine, now);
  described.remaining_cpu_s = machine.holder_status.remaining_cpu_s;
  described.idle = IsHolderIdle(machine);
  described.idle_s =
      described.idle ? machine.holder_status.idle_s + (now - machine.holder_status_at) : 0;
  described.has_on_demand_work = machine.holder_status.has_on_demand_work;
  return described;
}

bool ScalingCoordinator::IsIdle(const Machine& machine) const {
  // A machine receives no new tasks while it is being handed over. It must not be deleted just
  // because it receives no new tasks.
  if (!machine.token_confirmed || machine.handover_lease != kNoLease) return false;
  return std::all_of(machine.allocations.begin(), machine.allocations.end(), [&](const auto& it) {
    const auto& [key, allocation] = it;
    if (!allocation.exited()) return false;
    return allocation.orphaned || state_.cluster.FindJob(key.first.job) == nullptr;
  });
}

// A recalled machine is needed for waiting work: without the check of `recall_requested`, the
// machine was deleted as soon as it was idle. The comparison of `used_cpus` is false while tasks
// that were delegated after the holder's last message may still be in transit to the holder.
bool ScalingCoordinator::IsHolderIdle(const Machine& machine) const {
  return machine.holder_status.idle && !machine.recall_requested &&
         machine.used_cpus <= machine.holder_status.used_cpus &&
         state_.shard_leases.ReadyLeaseOf(machine.shard) == machine.shard_lease;
}

bool ScalingCoordinator::HasOnDemandWork(const Machine& machine) const {
  // The planner reads this result for on-demand machines only. The search is skipped for spot
  // machines, because there are thousands of them.
  if (machine.spot) return false;
  return std::any_of(machine.allocations.begin(), machine.allocations.end(), [&](const auto& it) {
    const auto& [key, allocation] = it;
    const Job* job = allocation.orphaned ? nullptr : state_.cluster.FindJob(key.first.job);
    return job != nullptr && !job->spec.spot_allowed;
  });
}

bool ScalingCoordinator::IsSilent(const Machine& machine, double now) const {
  const double suspect_s = state_.derived.agent_suspect_s;
  return now - machine.last_contact_at > suspect_s &&
         (machine.token_unconfirmed_since <= 0 || machine.TokenUnconfirmedFor(now) > suspect_s);
}

// ---------------------------------------------------------------------------- the plan

ScalingCoordinator::DrainLevel ScalingCoordinator::DrainLevelOf(const Machine& machine) {
  if (machine.cordoned) return DrainLevel::kCordoned;
  return machine.draining ? DrainLevel::kDraining : DrainLevel::kNone;
}

void ScalingCoordinator::ApplyDraining(const ScalingPlan& plan) {
  std::map<std::string, DrainLevel> known_to_holders;
  for (const auto& [id, machine] : state_.cluster.delegated_machines) {
    known_to_holders[id] = DrainLevelOf(machine);
  }
  for (cluster::Machines* machines : state_.AllMachines()) {
    for (auto& [id, machine] : *machines) machine.draining = machine.cordoned = false;
  }
  for (const auto& id : plan.drain) state_.FindMachine(id)->draining = true;
  for (const auto& id : plan.cordon) {
    Machine* machine = state_.FindMachine(id);
    machine->draining = machine->cordoned = true;
  }
  for (const auto& id : plan.scale_in) {
    Machine* machine = state_.FindMachine(id);
    if (machine != nullptr && machine->shard_lease != kNoLease) machine->draining = true;
  }
  SendDrainLevels(known_to_holders);
}

void ScalingCoordinator::SendDrainLevels(
    const std::map<std::string, DrainLevel>& known_to_holders) {
  for (const auto& [id, machine] : state_.cluster.delegated_machines) {
    const DrainLevel level = DrainLevelOf(machine);
    if (level == known_to_holders.at(id)) continue;
    state_.shard_leases.SendToHolder(machine.shard_lease,
                                     {.kind = wire::ShardMessage::Kind::kSetDraining,
                                      .name = id,
                                      .count = static_cast<uint64_t>(level)});
  }
}

void ScalingCoordinator::AppendReplacements(const MachinesToReplace& to_replace, double now,
                                            std::vector<std::string>& scale_in) const {
  const bool few = AreFewUnreachable(to_replace.unreachable.size(), now);
  for (const auto& id : to_replace.unreachable) {
    if (MayDeleteUnreachable(*state_.FindMachine(id), few, now)) scale_in.push_back(id);
  }
  for (const auto& id : to_replace.stragglers) {
    if (std::find(scale_in.begin(), scale_in.end(), id) != scale_in.end()) continue;
    spdlog::info("scheduler: deleting_straggler machine={}", id);
    scale_in.push_back(id);
  }
  scale_in.insert(scale_in.end(), to_replace.never_booted.begin(), to_replace.never_booted.end());
}

// Returns whether the unreachable machines are few, and neither a takeover nor a stall of this
// process was recent. Otherwise the network, the takeover or the stall is a likelier cause of the
// silence than the machines, and deleting the machines would lose the work of their tasks.
bool ScalingCoordinator::AreFewUnreachable(size_t unreachable, double now) const {
  size_t known = 0;
  for (const auto& [id, machine] : state_.cluster.machines) known += machine.deleting ? 0 : 1;
  return unreachable <= std::max<size_t>(1, known / kMachinesPerUnreachable) &&
         now - state_.failover.began_at() > state_.settings.agent_lease_s &&
         now - state_.failover.unstalled_since() > state_.derived.agent_suspect_s;
}

// A machine that the cloud no longer runs is deleted at once, which rules out that its tasks still
// run. A silent machine that may be running is deleted if only few machines are unreachable, or
// after a long silence.
bool ScalingCoordinator::MayDeleteUnreachable(const Machine& machine, bool few, double now) const {
  const double silent_s = machine.token_unconfirmed_since > 0
                              ? machine.TokenUnconfirmedFor(now)
                              : now - std::max(machine.last_contact_at, machine.lease_renewed_at);
  return machine.missing_from_list || machine.failed || few ||
         silent_s > kMaxSilentLeases * state_.settings.agent_lease_s;
}

}  // namespace mosspath::scheduler
