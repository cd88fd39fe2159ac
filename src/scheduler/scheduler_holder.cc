// A block that this controller holds: what it makes of what the leader tells, and what it tells
// (docs/blocks.md).
#include <algorithm>
#include <utility>

#include "mosspath/scheduler/scheduler.h"

namespace mosspath::scheduler {

using cluster::Allocation;
using cluster::Machine;
using jobs::Job;
using jobs::TaskPhase;
using Item = wire::ShardMessage;
using Kind = wire::ShardMessage::Kind;

void Scheduler::LoadJob(wire::JobSpec spec, uint64_t version, double submitted) {
  const std::string id = spec.id;
  if (cluster_.jobs.contains(id)) return;
  AddJob(std::move(spec), version, submitted);
  Job& job = *cluster_.FindJob(id);
  job.pending.clear();
  for (auto& task : job.tasks) task.phase = TaskPhase::kDelegated;
}

void Scheduler::AcceptMachine(const std::string& id, const std::string& address, uint64_t token,
                              double now) {
  if (cluster_.machines.contains(id) || provisioning_.is_deleted(id)) return;
  Machine& m = cluster_.machines[id];
  m.id = id;
  m.fencing_token = token;
  m.in_record = m.record_durable = true;
  m.recorded_address = address;
  m.lease_renewed_at = now;
  failover_.AddMachine(m, /*counted=*/false);
}

bool Scheduler::AllMachinesKnown() const {
  return reconciliation_.empty() && std::none_of(cluster_.machines.begin(), cluster_.machines.end(),
                                                 [](const auto& m) { return m.second.awaits_recovery; });
}

void Scheduler::OnLeaderMessage(const Item& item, double now) {
  switch (item.kind) {
    case Kind::kDelegateTasks: {
      Job* job = cluster_.FindJob(item.name);
      if (job == nullptr) {
        // Over by now, or not in our view yet: the leader may give it again.
        for (Item& back : TaskMessages(Kind::kReturnTasks, item.name, item.tasks)) {
          shard_leases_.SendToLeader(std::move(back));
        }
        return;
      }
      for (const uint32_t index : item.tasks) {
        if (index >= job->spec.tasks || job->tasks[index].phase != TaskPhase::kDelegated) continue;
        if (cluster_.delegated_tasks.LeaseOf({item.name, index}) != 0) continue;
        if (ReclaimAllocation(*job, index)) continue;
        job->tasks[index].phase = TaskPhase::kPending;
        job->pending.insert(index);
      }
      job->last_delegated_at = now;
      break;
    }
    case Kind::kHandOverTasks: {
      Job* job = cluster_.FindJob(item.job);
      if (job == nullptr) return;
      const auto m = cluster_.machines.find(item.name);
      // What it has was seen already, or it is gone.
      const bool known =
          item.count != 0 || (m == cluster_.machines.end() ? provisioning_.is_deleted(item.name)
                                                           : !m->second.awaits_recovery);
      const uint64_t key = shard_leases_.NextReconciliationId();
      for (const uint32_t index : item.tasks) {
        if (index >= job->spec.tasks || job->tasks[index].phase != TaskPhase::kDelegated) continue;
        if (cluster_.delegated_tasks.LeaseOf({item.job, index}) != 0 ||
            ReclaimAllocation(*job, index))
          continue;
        cluster_.Delegate(*job, index, key);
      }
      job->last_delegated_at = now;
      reconciliation_.Begin(key, {item.name});
      if (known) EndReconciliations(item.name);
      break;
    }
    case Kind::kCompletionsDurable:
      if (Job* job = cluster_.FindJob(item.name)) {
        for (const uint32_t index : item.tasks) {
          if (index >= job->spec.tasks) continue;
          job->tasks[index].durable = true;
          job->done_not_durable.erase(index);
        }
      }
      return;
    case Kind::kStopTasks:
      for (const uint32_t index : item.tasks) StopTask(item.name, index);
      break;
    case Kind::kRecallMachine:
      if (auto m = cluster_.machines.find(item.name); m != cluster_.machines.end()) {
        m->second.recall_requested = m->second.draining = true;
        m->second.cordoned = false;
      }
      break;
    case Kind::kSetDraining:
      if (auto m = cluster_.machines.find(item.name);
          m != cluster_.machines.end() && !m->second.recall_requested) {
        m->second.draining = item.count > 0;
        m->second.cordoned = item.count > 1;
      }
      break;
    case Kind::kMachineDeleted:
      OnMachineDeleted(item.name, now);
      break;
    default:
      return;  // a holder's
  }
  cluster_.changed_since_pass = true;
}

// A copy that is being stopped may still run: the task is where it is until that has ended.
bool Scheduler::ReclaimAllocation(Job& job, uint32_t index) {
  const wire::TaskId task{job.spec.id, index};
  for (auto& [id, m] : cluster_.machines) {
    for (auto it = m.allocations.lower_bound({task, 0});
         it != m.allocations.end() && it->first.first == task; ++it) {
      Allocation& slot = it->second;
      if (!slot.orphaned || slot.exited()) continue;
      slot.orphaned = false;
      job.tasks[index].phase = TaskPhase::kPlaced;
      ++job.placed_by_zone[m.zone];
      return true;
    }
  }
  return false;
}

// The leader has it elsewhere, or done.
void Scheduler::StopTask(const std::string& id, uint32_t index) {
  Job* job = cluster_.FindJob(id);
  if (job == nullptr || index >= job->spec.tasks) return;
  const wire::TaskId task{id, index};
  for (auto& [mid, m] : cluster_.machines) {
    for (auto it = m.allocations.lower_bound({task, 0});
         it != m.allocations.end() && it->first.first == task; ++it) {
      Allocation& slot = it->second;
      if (slot.orphaned || slot.exited()) continue;
      auto& n = job->placed_by_zone[m.zone];
      if (n > 0) --n;
      slot.orphaned = true;
      cluster::RequestStop(m, slot, 0);
    }
  }
  job->pending.erase(index);
  if (job->tasks[index].phase != TaskPhase::kDone) job->tasks[index].phase = TaskPhase::kDelegated;
}

std::vector<Item> Scheduler::AllClaims() const {
  std::vector<Item> items;
  const auto add = [&](Kind kind, const std::string& job, const std::vector<uint32_t>& tasks) {
    for (Item& item : TaskMessages(kind, job, tasks)) items.push_back(std::move(item));
  };
  for (const auto& [id, job] : cluster_.jobs) {
    std::vector<uint32_t> held;
    for (uint32_t i = 0; i < job->spec.tasks; ++i) {
      const TaskPhase phase = job->tasks[i].phase;
      const bool sought =
          phase == TaskPhase::kDelegated && cluster_.delegated_tasks.LeaseOf({id, i}) != 0;
      if (phase == TaskPhase::kPending || phase == TaskPhase::kPlaced || sought) held.push_back(i);
    }
    add(Kind::kClaimTasks, id, held);
    add(Kind::kTasksDone, id, {job->done_not_durable.begin(), job->done_not_durable.end()});
  }
  for (const auto& [id, tasks] : ended_held_tasks_) add(Kind::kClaimTasks, id, tasks);
  return items;
}

void Scheduler::ReturnExcess(double patience_s, bool leader_hears, double now) {
  // Tasks of jobs that are over, once they are off their machines.
  for (auto it = ended_held_tasks_.begin(); it != ended_held_tasks_.end();) {
    const auto next = std::next(it);
    std::vector<uint32_t> off;
    std::erase_if(it->second, [&](uint32_t index) {
      const wire::TaskId task{it->first, index};
      if (cluster_.delegated_tasks.LeaseOf(task) != 0)
        return false;  // on a machine that isn't known yet
      for (const auto& [id, m] : cluster_.machines) {
        for (auto s = m.allocations.lower_bound({task, 0});
             s != m.allocations.end() && s->first.first == task; ++s) {
          if (!s->second.exited()) return false;
        }
      }
      off.push_back(index);
      return true;
    });
    for (Item& item : TaskMessages(Kind::kReturnTasks, it->first, off))
      shard_leases_.SendToLeader(std::move(item));
    if (it->second.empty()) ended_held_tasks_.erase(it);
    it = next;
  }
  for (auto it = cluster_.machines.begin(); it != cluster_.machines.end();) {
    const auto next = std::next(it);
    const Machine& m = it->second;
    const bool empty =
        m.recall_requested && m.allocations.empty() && !m.command_in_flight && !m.awaits_recovery;
    if (m.lost || empty) {
      shard_leases_.SendToLeader(
          {.kind = Kind::kMachineReturned, .name = it->first, .count = m.lost ? uint64_t{1} : 0});
      cluster_.machines.erase(it);
    }
    it = next;
  }
  MigrateFromDraining(now);
  // What waits for room too long may find some elsewhere. Without a leader it stays.
  for (auto it = cluster_.jobs.begin(); it != cluster_.jobs.end();) {
    const auto next = std::next(it);
    Job& job = *it->second;
    if (leader_hears && !job.pending.empty() &&
        (now - job.last_delegated_at > patience_s || job.crash_looping)) {
      const std::vector<uint32_t> waiting = job.pending.ToVector();
      for (Item& item : TaskMessages(Kind::kReturnTasks, it->first, waiting)) {
        shard_leases_.SendToLeader(std::move(item));
      }
      job.pending.clear();
      for (const uint32_t index : waiting) job.tasks[index].phase = TaskPhase::kDelegated;
    }
    const bool held = !job.pending.empty() || !job.done_not_durable.empty() ||
                      now - job.last_delegated_at < settings_.agent_lease_s ||
                      std::any_of(job.tasks.begin(), job.tasks.end(),
                                  [](const auto& t) { return t.phase == TaskPhase::kPlaced; }) ||
                      !cluster_.delegated_tasks.OfJob(it->first).empty();
    if (!held) {
      placer_.ForgetJob(job);
      cluster_.jobs.erase(it);
    }
    it = next;
  }
}

Item Scheduler::MakeLoadMessage(uint64_t applied) const {
  Item item{.kind = Kind::kLoad, .count = applied};
  for (const auto& [id, job] : cluster_.jobs) {
    item.seconds += static_cast<double>(job->pending.size()) * job->spec.cpus;
  }
  return item;
}

Item Scheduler::MakeMachineStatus(const Machine& m, double now) const {
  Item item{.kind = Kind::kMachineStatus, .name = m.id};
  Item::MachineStatus told;
  told.address = m.address;
  told.type = m.type;
  told.zone = m.zone;
  told.spot = m.spot;
  told.schedulable = cluster_.IsSchedulable(m, now) && !m.recall_requested;
  told.unresponsive = now - m.last_contact_at > derived_.agent_suspect_s;
  told.used_cpus = m.used_cpus;
  told.used_gpus = m.used_gpus;
  told.used_memory_gb = m.used_memory_gb;
  told.idle = m.token_confirmed;
  for (const auto& [key, slot] : m.allocations) {
    const Job* job = slot.orphaned ? nullptr : cluster_.FindJob(key.first.job);
    if (!slot.exited() || job != nullptr) told.idle = false;
    if (slot.exited()) continue;
    told.has_on_demand_work =
        told.has_on_demand_work || (!m.spot && job != nullptr && !job->spec.spot_allowed);
    told.remaining_cpu_s += slot.cpus * RemainingRunS(slot, now);
  }
  told.idle_s = told.idle ? now - m.idle_since : 0;
  item.machine = std::move(told);
  return item;
}

}  // namespace mosspath::scheduler
