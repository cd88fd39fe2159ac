// Demand and picture for the fleet planner, and what is done with its plan.
#include <spdlog/spdlog.h>

#include <algorithm>
#include <cmath>
#include <utility>

#include "mosspath/scheduler/scheduler.h"

namespace mosspath::scheduler {

using cluster::Allocation;
using cluster::AllocationKey;
using cluster::Machine;
using jobs::Job;
using jobs::TaskPhase;

namespace {

constexpr double kLeastLeft = 0.25;  // of its expected time, that a task is taken to run yet

}  // namespace

double RemainingRunS(const Allocation& slot, double now) {
  const double ran = slot.running_since > 0 ? now - slot.running_since : 0;
  return std::max(slot.expected_run_s - ran, kLeastLeft * slot.expected_run_s);
}

// Frees draining machines sooner: tasks that can save go on elsewhere when there is room for all
// that the machine runs, and when they have longer to run than the move costs.
void Scheduler::MigrateFromDraining(double now) {
  double room = 0;
  for (const auto& [id, m] : cluster_.machines) {
    if (cluster_.IsSchedulable(m, now) && !m.draining) room += m.cpus - m.used_cpus;
  }
  for (const auto& [id, job] : cluster_.jobs) {
    if (now >= job->not_before) room -= static_cast<double>(job->pending.size()) * job->spec.cpus;
  }
  for (auto& [id, m] : cluster_.machines) {
    if (!m.draining || !m.token_confirmed || m.used_cpus > room) continue;
    bool worth = false;
    const bool movable =
        std::all_of(m.allocations.begin(), m.allocations.end(), [&](const auto& s) {
          const auto& [key, slot] = s;
          if (slot.exited()) return true;
          const Job* job = slot.orphaned ? nullptr : cluster_.FindJob(key.first.job);
          if (job == nullptr || slot.stop_requested || slot.reported != wire::TaskState::kRunning)
            return false;
          // Once only: what must be emptied changes all the time, and every move costs its task.
          if (job->tasks[key.first.index].migrated) return false;
          if (job->spec.checkpoint_interval_s <= 0 || job->spec.kind == wire::JobKind::kGang)
            return false;
          const double ran = now - slot.running_since;
          if (IsSettling(*job, ran)) return false;
          const double left = ExpectedRunS(*job) - ran;
          worth = worth || left > 2 * (job->spec.checkpoint_duration_s + settings_.heartbeat_s);
          return true;
        });
    if (!movable || !worth) continue;
    for (auto& [key, slot] : m.allocations) {
      if (slot.exited()) continue;
      Job* job = cluster_.FindJob(key.first.job);
      job->tasks[key.first.index].migrated = true;
      cluster::RequestStop(m, slot, job->spec.checkpoint_duration_s);
    }
    room -= m.used_cpus;
    spdlog::debug("fleet: moving the tasks of {} elsewhere", id);
  }
}

autoscaler::ScalingPlan Scheduler::PlanScaling(double now) {
  autoscaler::ScalingInput in;
  in.now = now;
  for (const auto& [name, t] : cluster_.machine_types.all()) in.types.push_back(t);
  in.closed_until = provisioning_.closed_until();
  for (auto& [id, job] : cluster_.jobs) {
    const wire::JobSpec& s = job->spec;
    const double expected = ExpectedRunS(*job);
    if (job->pending.empty() || now < job->not_before) continue;
    // What fails everywhere is no reason to rent, but must be tried.
    if (job->crash_looping && !cluster_.machines.empty()) continue;
    autoscaler::Demand d;
    d.spot_allowed = s.spot_allowed;
    if (s.types) d.types = *s.types;
    if (s.zone) d.zone = *s.zone;
    d.cpus = s.cpus;
    d.gpus = s.gpus;
    d.memory_gb = s.memory_gb;
    d.urgent = s.priority >= wire::Priority::kHigh || s.kind == wire::JobKind::kGang;
    // Tasks that must be together or apart want room in certain zones.
    if (s.single_zone) {
      for (const auto& [zone, n] : job->placed_by_zone) {
        if (n > 0) d.zone = zone;
      }
    }
    auto left = job->crash_looping ? 1 : static_cast<uint32_t>(job->pending.size());
    const auto ask = [&](uint32_t tasks) {
      d.waiting_tasks = tasks;
      d.waiting_run_s = tasks * expected;
      in.demand.push_back(d);
      left -= tasks;
    };
    if (s.spread_over_zones && !s.zone) {
      const uint32_t cap = (s.tasks + 1) / 2;
      for (const auto& zone : settings_.zones) {
        const auto in_zone = job->placed_by_zone.find(zone);
        const uint32_t there = in_zone == job->placed_by_zone.end() ? 0 : in_zone->second;
        d.zone = zone;
        ask(std::min(left, cap - std::min(cap, there)));
      }
    } else {
      ask(left);
    }
  }
  // What comes next of work that no cheap machine may take: as much as came in a boot time.
  const CapacityReservation::Resources kept =
      placer_.reservation().Reserved(now, cluster_.machine_types);
  in.on_demand_cpus = kept.cpus;
  if (kept.cpus > 0) {
    autoscaler::Demand d;
    d.spot_allowed = false;
    d.cpus = 1;
    d.memory_gb = kept.memory_gb / kept.cpus;
    d.waiting_tasks = kept.cpus;
    d.urgent = true;
    in.demand.push_back(std::move(d));
  }
  std::set<std::string> doomed;
  const std::vector<std::string> late =
      failover_.Stragglers(cluster_.machines, reconciliation_, now);
  for (auto& [id, m] : cluster_.machines) {
    if (m.deleting) continue;
    if (m.address.empty()) {  // inherited and not heard of since
      if (now - m.lease_renewed_at > derived_.agent_suspect_s) doomed.insert(id);
      continue;
    }
    autoscaler::FleetMachine u;
    u.id = id;
    u.type = m.type;
    u.zone = m.zone;
    u.spot = m.spot;
    u.up = true;
    u.schedulable = cluster_.IsSchedulable(m, now);
    u.used_cpus = m.used_cpus;
    for (const auto& [key, slot] : m.allocations) {
      if (slot.exited()) continue;
      u.remaining_cpu_s += slot.cpus * RemainingRunS(slot, now);
    }
    u.idle =
        std::all_of(m.allocations.begin(), m.allocations.end(),
                    [&](const auto& s) {
                      return s.second.exited() &&
                             (s.second.orphaned || cluster_.FindJob(s.first.first.job) == nullptr);
                    }) &&
        m.token_confirmed;
    // On its way to a holder it takes nothing for a moment, which is no reason to return it.
    u.idle = u.idle && m.handover_lease == 0;
    u.idle_s = u.idle ? now - m.idle_since : 0;
    u.draining = m.draining;
    // Asked of ordinary machines only, and there are thousands of cheap ones.
    u.has_on_demand_work =
        !m.spot && std::any_of(m.allocations.begin(), m.allocations.end(), [&](const auto& s) {
          const Job* job = s.second.orphaned ? nullptr : cluster_.FindJob(s.first.first.job);
          return job != nullptr && !job->spec.spot_allowed;
        });
    const bool silent =
        now - m.last_contact_at > derived_.agent_suspect_s &&
        (m.token_unconfirmed_since <= 0 || m.TokenUnconfirmedFor(now) > derived_.agent_suspect_s);
    if (m.lost || (silent && !u.schedulable)) {
      // Not to be counted on; deleting it rules its tasks out at once.
      u.schedulable = u.idle = false;
      doomed.insert(id);
    }
    in.machines.push_back(std::move(u));
  }
  for (auto& [id, m] : cluster_.delegated_machines) {
    if (m.deleting || m.type.empty()) continue;
    autoscaler::FleetMachine u;
    u.id = id;
    u.type = m.type;
    u.zone = m.zone;
    u.spot = m.spot;
    u.up = true;
    u.schedulable = cluster_.IsSchedulable(m, now);
    u.used_cpus = m.used_cpus;
    u.remaining_cpu_s = m.holder_status.remaining_cpu_s;
    // What was given and is not in its holder's word yet may be on its way there.
    // One that was asked back comes for work that waits: it was returned as soon as it was idle.
    u.idle = m.holder_status.idle && !m.recall_requested &&
             m.used_cpus <= m.holder_status.used_cpus &&
             shard_leases_.ReadyLeaseOf(m.shard) == m.shard_lease;
    u.idle_s = u.idle ? m.holder_status.idle_s + (now - m.holder_status_at) : 0;
    u.draining = m.draining;
    u.has_on_demand_work = m.holder_status.has_on_demand_work;
    if (m.holder_status.unresponsive && !u.schedulable) {
      u.schedulable = u.idle = false;
      if (m.missing_from_list || m.failed) doomed.insert(id);
    }
    in.machines.push_back(std::move(u));
  }
  std::vector<std::string> hopeless;
  provisioning_.AppendBootingMachines(now, cluster_.machine_types, in.machines, hopeless);
  in.burst_cpus = provisioning_.LargestBurstCpus(now, cluster_.machine_types);
  autoscaler::ScalingPlan plan = autoscaler::PlanScaling(in, tuning_.scaling);
  wants_scaling_plan_ = false;
  std::map<std::string, uint64_t> before;  // as their holders know
  for (auto& [id, m] : cluster_.delegated_machines)
    before[id] = (m.draining ? 1U : 0U) + (m.cordoned ? 1U : 0U);
  for (auto* machines : {&cluster_.machines, &cluster_.delegated_machines}) {
    for (auto& [id, m] : *machines) m.draining = m.cordoned = false;
  }
  for (const auto& id : plan.drain) FindMachine(id)->draining = true;
  for (const auto& id : plan.cordon) {
    Machine* m = FindMachine(id);
    m->draining = m->cordoned = true;
  }
  for (const auto& id : plan.scale_in) {
    if (Machine* m = FindMachine(id); m != nullptr && m->shard_lease != 0) m->draining = true;
  }
  for (auto& [id, m] : cluster_.delegated_machines) {
    const uint64_t wish = (m.draining ? 1U : 0U) + (m.cordoned ? 1U : 0U);
    if (wish == before[id]) continue;
    shard_leases_.SendToHolder(
        m.shard_lease, {.kind = wire::ShardMessage::Kind::kSetDraining, .name = id, .count = wish});
  }
  MigrateFromDraining(now);
  // A machine that the cloud no longer runs is deleted at once, which rules its tasks out. One
  // that is silent but may be running is only worth deleting while few are: when many are silent,
  // the network or our own takeover is the likelier cause, and their work would be thrown away.
  size_t known = 0;
  for (auto& [id, m] : cluster_.machines) known += m.deleting ? 0 : 1;
  const bool few = doomed.size() <= std::max<size_t>(1, known / 10) &&
                   now - failover_.began_at() > settings_.agent_lease_s &&
                   now - failover_.listening_since() > derived_.agent_suspect_s;
  for (const auto& id : doomed) {
    const Machine& m = *FindMachine(id);
    const double silence = m.token_unconfirmed_since > 0
                               ? m.TokenUnconfirmedFor(now)
                               : now - std::max(m.last_contact_at, m.lease_renewed_at);
    if (m.missing_from_list || m.failed || few || silence > 4 * settings_.agent_lease_s) {
      plan.scale_in.push_back(id);
    }
  }
  for (const auto& id : late) {
    if (std::find(plan.scale_in.begin(), plan.scale_in.end(), id) == plan.scale_in.end()) {
      spdlog::info("takeover: deleting {}, which has not been heard of", id);
      plan.scale_in.push_back(id);
    }
  }
  plan.scale_in.insert(plan.scale_in.end(), hopeless.begin(), hopeless.end());
  return plan;
}

}  // namespace mosspath::scheduler
