// Blocks that other controllers hold: what the leader and a holder make of what the other tells
// (docs/blocks.md).
#include <spdlog/spdlog.h>

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

namespace {

constexpr size_t kLeastHanded = 8;        // machines at a time
constexpr double kMostHanded = 0.125;     // or this share
constexpr double kMostAskedBack = 0.125;  // of the machines that holders have

}  // namespace

bool Scheduler::IsReconciling(const wire::TaskId& task) const {
  const uint64_t key = cluster_.delegated_tasks.LeaseOf(task);
  return key != 0 && reconciliation_.IsActive(key);
}

// The machine is known, or has nothing: what was sought on it and the others, and is on none of
// them, waits again.
void Scheduler::EndReconciliations(const std::string& machine) {
  if (reconciliation_.empty()) return;
  for (const uint64_t key : reconciliation_.OnMachineKnown(machine)) {
    const auto nowhere = cluster_.delegated_tasks.UnderLease(key);
    for (const auto& task : nowhere) cluster_.ReturnDelegated(task, key);
    if (shard_leases_.is_leader()) {
      spdlog::info("blocks: all machines of lease {} are known, {} of its tasks wait again", key,
                   nowhere.size());
    }
  }
}

// ---------------------------------------------------------------------------- the leader

void Scheduler::OpenLease(uint64_t lease, size_t block, bool inherited) {
  shard_leases_.Open(lease, block);
  // Until its holder has told what it has, nobody knows what else may be started.
  if (inherited) failover_.AwaitHolder(lease);
}

void Scheduler::SetLeaseReady(uint64_t lease, bool ready) {
  ShardLeases::Lease* l = shard_leases_.Find(lease);
  if (l == nullptr || l->ready == ready) return;
  l->ready = ready;
  cluster_.changed_since_pass = true;
}

uint64_t Scheduler::LeaseOf(const std::string& machine) const {
  const auto it = cluster_.delegated_machines.find(machine);
  return it == cluster_.delegated_machines.end() ? 0 : it->second.shard_lease;
}

// A machine that comes back to the leader. Its holder's token is as high as the version of the
// record that assigned it, so nothing is said to it before a later write of that record.
//
// Until it is known, its entry goes on naming the lease that is over: a leader that begins
// meanwhile must know that a holder of the past may still be answering it. Counted from the
// election alone, such a machine was taken for lost while its holder, cut off with it, kept it
// alive: a task ran twice.
Machine& Scheduler::TakeBackMachine(const Machine& lent, uint64_t past_lease, double last_acted) {
  const std::string address = lent.recorded_address;
  Machine m;
  m.id = lent.id;
  m.recorded_address = address;
  m.fencing_token = token_;
  m.needs_new_token = true;
  m.lease_renewed_at = last_acted;
  m.first_contact_at = lent.first_contact_at;
  m.failed = lent.failed;
  m.missing_from_list = lent.missing_from_list;
  m.deleting = lent.deleting;
  m.handover_not_before = lent.handover_not_before;
  m.image_cache = lent.image_cache;
  cluster_.delegated_machines.erase(m.id);
  Machine& ours = cluster_.machines[m.id] = std::move(m);
  ours.expired_lease = past_lease;
  durable_state_.AssignMachine(ours, address, past_lease);
  return ours;
}

void Scheduler::CloseLease(uint64_t lease, double last_acted, double now) {
  ShardLeases::Lease* l = shard_leases_.Find(lease);
  if (l == nullptr) return;
  for (const auto& [job, tasks] : l->unsent_tasks) {  // never sent
    for (const uint32_t index : tasks) cluster_.ReturnDelegated({job, index}, lease);
  }
  const bool awaited = failover_.IsAwaiting(lease);
  std::vector<std::string> ids;
  for (const auto& [id, m] : cluster_.delegated_machines) {
    if (m.shard_lease == lease) ids.push_back(id);
  }
  for (const auto& id : ids) {
    Machine& m = TakeBackMachine(Machine(cluster_.delegated_machines.at(id)), lease, last_acted);
    failover_.AddMachine(m, awaited);
    m.lease_renewed_at = last_acted;
  }
  for (auto& [id, m] : cluster_.machines) {
    if (m.handover_lease != lease) continue;
    // The record may say already that it is the holder's, who may have spoken to it, and may have
    // started there what it was given.
    m.handover_lease = 0;
    m.answers_suspended = false;
    m.needs_new_token = true;
    m.recorded_address = m.address;
    m.expired_lease = lease;
    durable_state_.AssignMachine(m, m.address, lease);
    if (m.lost) continue;
    failover_.AddMachine(m, /*counted=*/false);
    m.lease_renewed_at = std::max(m.lease_renewed_at, last_acted);
    ids.push_back(id);
  }
  failover_.OnHolderSynced(lease);
  shard_leases_.Close(lease);
  const auto sought = cluster_.delegated_tasks.UnderLease(lease);
  spdlog::info("blocks: lease {} is over, {} machines are asked for {} tasks", lease, ids.size(),
               sought.size());
  if (!reconciliation_.Begin(lease, ids)) {
    for (const auto& task : sought) cluster_.ReturnDelegated(task, lease);
  }
  cluster_.changed_since_pass = wants_scaling_plan_ = true;
  (void)now;
}

std::set<uint64_t> Scheduler::ExpiredLeases() const {
  std::set<uint64_t> leases;
  for (const auto& [id, m] : cluster_.machines) {
    if (m.expired_lease != 0) leases.insert(m.expired_lease);
  }
  return leases;
}

void Scheduler::OnHolderCeased(uint64_t lease, double now) {
  for (auto& [id, m] : cluster_.machines) {
    if (m.expired_lease == lease) m.lease_renewed_at = std::min(m.lease_renewed_at, now);
  }
}

void Scheduler::OnRecordsWritten(uint64_t revision, double now) {
  for (const auto& id : durable_state_.OnBatchWritten(revision, cluster_)) {
    Machine& m = cluster_.machines.at(id);
    if (m.needs_new_token) {
      m.needs_new_token = m.token_confirmed = false;
      m.fencing_token = revision;
      m.next_probe_at = -1e18;
    }
    if (m.handover_lease != 0) CompleteHandover(m, now);
  }
  if (shard_leases_.is_leader()) SendDurableCompletions();
}

// From here on the machine and what it runs are its holder's, whose token for it is the version of
// the record just written, or a later one.
void Scheduler::CompleteHandover(Machine& m, double now) {
  const uint64_t lease = std::exchange(m.handover_lease, 0);
  ShardLeases::TasksByJob running;
  for (auto& [key, slot] : m.allocations) {
    if (slot.orphaned || slot.exited() || slot.state == Allocation::State::kPlanned) continue;
    if (cluster_.FindJob(key.first.job) != nullptr)
      running[key.first.job].push_back(key.first.index);
  }
  cluster_.RemoveAllAllocations(m, now);
  for (auto& [id, tasks] : running) {
    Job& job = *cluster_.FindJob(id);
    for (const uint32_t index : tasks) {
      if (job.tasks[index].phase == TaskPhase::kPending) cluster_.Delegate(job, index, lease);
    }
    std::sort(tasks.begin(), tasks.end());
    for (Item& item : TaskMessages(Kind::kHandOverTasks, id, tasks)) {
      item.job = std::exchange(item.name, m.id);
      item.count = m.handover_revision;
      shard_leases_.SendToHolder(lease, std::move(item));
    }
  }
  Machine lent = m;
  lent.allocations.clear();
  lent.answers_suspended = false;
  lent.shard_lease = lease;
  lent.recorded_address = m.address;
  lent.holder_status = {};
  lent.draining = lent.cordoned = false;
  if (const ShardLeases::Lease* l = shard_leases_.Find(lease)) lent.shard = l->shard;
  const std::string id = m.id;
  cluster_.machines.erase(id);
  cluster_.delegated_machines[id] = std::move(lent);
  cluster_.changed_since_pass = true;
}

// Machines of blocks whose holders are ready go to them with what they run, some at a time: a
// machine that changes hands starts nothing for a moment.
void Scheduler::HandOverMachines(double now) {
  if (!recovery_complete()) return;
  // The leader keeps room for the work that only it places.
  double keep = 0;
  for (const auto& [id, job] : cluster_.jobs) {
    if (job->crash_looping || placer_.IsDelegable(*job)) continue;
    keep += (job->spec.tasks - job->done) * job->spec.cpus;
  }
  double have = 0;
  for (const auto& [id, m] : cluster_.machines) have += cluster_.IsSchedulable(m, now) ? m.cpus : 0;
  size_t left =
      std::max(kLeastHanded,
               static_cast<size_t>(kMostHanded * static_cast<double>(cluster_.machines.size())));
  for (auto& [id, m] : cluster_.machines) {
    left -= std::min<size_t>(left, m.handover_lease != 0 ? 1 : 0);
  }
  for (auto& [id, m] : cluster_.machines) {
    if (left == 0) return;
    if (m.handover_lease != 0 || m.needs_new_token || m.awaits_recovery || !m.record_durable ||
        !cluster_.IsSchedulable(m, now) || now < m.handover_not_before) {
      continue;
    }
    const uint64_t lease = shard_leases_.ReadyLeaseOf(placer_.shard_map().ShardOf(m.id, m.zone));
    if (lease == 0) continue;
    const bool ours = std::any_of(m.allocations.begin(), m.allocations.end(), [&](const auto& s) {
      const Job* job = cluster_.FindJob(s.first.first.job);
      return s.second.orphaned || (job != nullptr && !placer_.IsDelegable(*job));
    });
    if (ours || have - m.cpus < keep) continue;
    have -= m.cpus;
    m.handover_lease = lease;
    durable_state_.AssignMachine(m, m.address, lease);
    --left;
  }
}

// Work that only the leader places, and that finds no room, gets machines back from holders.
void Scheduler::RecallMachines(double now) {
  double need = 0;
  const Job* wants = nullptr;
  for (const auto& [id, job] : cluster_.jobs) {
    if (job->pending.empty() || job->crash_looping || placer_.IsDelegable(*job)) continue;
    if (now < job->not_before || !placer_.IsStartable(*job)) continue;
    if (cluster_.quota.Headroom(*job, recovery_complete()) == 0) continue;
    need += static_cast<double>(job->pending.size()) * job->spec.cpus;
    if (wants == nullptr || job->submitted_at < wants->submitted_at) wants = job.get();
  }
  if (wants == nullptr || now - wants->submitted_at < settings_.heartbeat_s / 2) return;
  std::vector<Machine*> able;
  size_t asked = 0;
  for (auto& [id, m] : cluster_.delegated_machines) {
    if (m.recall_requested) {
      ++asked;
      need -= m.cpus;
    } else if (cluster_.IsSchedulable(m, now) && placer_.IsAllowedOn(*wants, m, now)) {
      able.push_back(&m);
    }
  }
  const auto most = std::max<size_t>(
      1, static_cast<size_t>(kMostAskedBack *
                             static_cast<double>(cluster_.delegated_machines.size())));
  std::stable_sort(able.begin(), able.end(),
                   [](const Machine* a, const Machine* b) { return a->used_cpus < b->used_cpus; });
  for (Machine* m : able) {
    if (need <= 0 || asked >= most) return;
    m->recall_requested = true;
    m->handover_not_before = now + settings_.agent_lease_s;
    shard_leases_.SendToHolder(m->shard_lease, {.kind = Kind::kRecallMachine, .name = m->id});
    need -= m->cpus;
    ++asked;
  }
}

void Scheduler::SendDurableCompletions() {
  for (auto& [lease, l] : shard_leases_.leases()) {
    for (auto it = l.done_not_durable.begin(); it != l.done_not_durable.end();) {
      const auto next = std::next(it);
      const Job* job = cluster_.FindJob(it->first);
      std::vector<uint32_t> kept;
      if (job != nullptr) {
        for (const uint32_t index : it->second) {
          if (job->tasks[index].durable) kept.push_back(index);
        }
        for (const uint32_t index : kept) it->second.erase(index);
        for (Item& item : TaskMessages(Kind::kCompletionsDurable, it->first, kept))
          l.outbox.push_back(std::move(item));
      }
      // The holder hears of jobs that are over from the state service.
      if (job == nullptr || it->second.empty()) l.done_not_durable.erase(it);
      it = next;
    }
  }
}

void Scheduler::OnHolderMessage(uint64_t lease, const Item& item, double now) {
  ShardLeases::Lease* l = shard_leases_.Find(lease);
  if (l == nullptr) return;
  switch (item.kind) {
    case Kind::kClaimTasks:
      return OnClaim(lease, item, now);
    case Kind::kSyncComplete:
      // All that its machines ran when this leader was elected is told.
      if (item.count >= token_ && failover_.OnHolderSynced(lease)) {
        spdlog::info("takeover: settled, every holder has told what it has");
      }
      cluster_.changed_since_pass = true;
      return;
    case Kind::kTasksDone:
      return OnTasksDone(lease, item, now);
    case Kind::kReturnTasks:
      for (const uint32_t index : item.tasks) cluster_.ReturnDelegated({item.name, index}, lease);
      return;
    case Kind::kMachineStatus:
      return OnMachineStatus(lease, item, now);
    case Kind::kMachineReturned:
      return OnMachineReturned(lease, item, now);
    case Kind::kLoad:
      l->waiting_cpus = item.seconds;
      l->applied_batch = item.count;
      l->ahead_cpus_by_batch.erase(l->ahead_cpus_by_batch.begin(),
                                   l->ahead_cpus_by_batch.upper_bound(l->applied_batch));
      l->cpus = 0;
      for (auto& [id, m] : cluster_.delegated_machines) {
        if (m.shard_lease != lease) continue;
        // Told once, it goes on being idle: without this no machine of a block was ever returned.
        if (m.holder_status.idle) m.holder_status.idle_s += now - m.holder_status_at;
        m.holder_status_at = now;
        if (!m.holder_status.unresponsive) m.last_contact_at = now;
        if (cluster_.IsSchedulable(m, now)) l->cpus += m.cpus;
      }
      return;
    case Kind::kCrashLoop:
      if (Job* job = cluster_.FindJob(item.name); job != nullptr && job->done == 0) {
        job->crash_looping = true;
        job->retries = static_cast<uint32_t>(std::min<uint64_t>(item.count, 1000));
        job->not_before = now + settings_.agent_lease_s;
        durable_state_.RecordCrashLoop(item.name, job->retries);
      }
      return;
    default:
      return;  // a leader's
  }
}

// The holder has tasks that this leader has not given: an earlier one did, or its machines ran them
// when it got them.
void Scheduler::OnClaim(uint64_t lease, const Item& item, double now) {
  Job* job = cluster_.FindJob(item.name);
  std::vector<uint32_t> elsewhere;
  for (const uint32_t index : item.tasks) {
    const wire::TaskId task{item.name, index};
    if (job == nullptr) {
      // Its job is over: this leader's view holds all that was accepted before it was elected. It
      // may still run, and nobody knows what it takes of which team's limit.
      if (cluster_.delegated_tasks.LeaseOf(task) != 0) continue;
      cluster_.delegated_tasks.Add(task, lease, {});
      cluster_.quota.Add("", 0, 0);
      cluster_.quota.AddUnknownTask();
      continue;
    }
    if (index >= job->spec.tasks) continue;
    if (IsReconciling(task)) cluster_.ReturnDelegated(task, cluster_.delegated_tasks.LeaseOf(task));
    if (job->tasks[index].phase == TaskPhase::kPending) {
      cluster_.Delegate(*job, index, lease);
    } else if (cluster_.delegated_tasks.LeaseOf(task) != lease && !IsBeingHandedOver(task, lease)) {
      elsewhere.push_back(index);
    }
  }
  for (Item& drop : TaskMessages(Kind::kStopTasks, item.name, elsewhere)) {
    spdlog::info("blocks: {} tasks of {} are elsewhere or done", drop.tasks.size(), item.name);
    shard_leases_.SendToHolder(lease, std::move(drop));
  }
  (void)now;
}

// The task is on a machine that the holder has got already, though we have not been answered yet
// that the record says so. Taken for a copy, it was stopped there and started elsewhere before it
// had ended: it ran twice.
bool Scheduler::IsBeingHandedOver(const wire::TaskId& task, uint64_t lease) const {
  return std::any_of(cluster_.machines.begin(), cluster_.machines.end(), [&](const auto& it) {
    const Machine& m = it.second;
    if (m.handover_lease != lease) return false;
    const auto slot = m.allocations.lower_bound({task, 0});
    return slot != m.allocations.end() && slot->first.first == task;
  });
}

void Scheduler::OnTasksDone(uint64_t lease, const Item& item, double now) {
  Job* job = cluster_.FindJob(item.name);
  ShardLeases::Lease* l = shard_leases_.Find(lease);
  for (const uint32_t index : item.tasks) {
    cluster_.ReturnDelegated({item.name, index}, lease);
    if (job == nullptr || index >= job->spec.tasks) continue;
    OnTaskDone(*job, index);
    if (!job->tasks[index].start_counted) activity_.OnTaskStarted(*job, index, now);
    l->done_not_durable[item.name].insert(index);
  }
  if (job != nullptr) {
    job->consecutive_failures = 0;
    job->timed_run_s += item.seconds;
    job->timed_tasks += static_cast<uint32_t>(item.count);
  }
  SendDurableCompletions();
  cluster_.changed_since_pass = true;
}

void Scheduler::OnMachineStatus(uint64_t lease, const Item& item, double now) {
  const auto it = cluster_.delegated_machines.find(item.name);
  if (it == cluster_.delegated_machines.end() || it->second.shard_lease != lease || !item.machine)
    return;
  Machine& m = it->second;
  const Item::MachineStatus& told = *item.machine;
  if (m.address.empty() || m.type != told.type) {
    m.address = m.recorded_address = told.address;
    m.type = told.type;
    m.zone = told.zone;
    m.spot = told.spot;
    cluster_.machine_types.ApplyTo(m);
    provisioning_.OnMachineUp(m.id);
  }
  cluster::MachineStatusUpdate news;
  news.schedulable = told.schedulable;
  news.idle = told.idle;
  news.has_on_demand_work = told.has_on_demand_work;
  news.unresponsive = told.unresponsive;
  news.idle_s = told.idle_s;
  news.remaining_cpu_s = told.remaining_cpu_s;
  news.used_cpus = told.used_cpus;
  news.used_gpus = told.used_gpus;
  news.used_memory_gb = told.used_memory_gb;
  const ShardLeases::Lease* l = shard_leases_.Find(lease);
  shard_leases_.OnMachineStatus(m, news, l->applied_batch, now);
  if (!news.unresponsive) m.last_contact_at = now;
  cluster_.changed_since_pass = true;
}

void Scheduler::OnMachineReturned(uint64_t lease, const Item& item, double now) {
  const auto it = cluster_.delegated_machines.find(item.name);
  if (it == cluster_.delegated_machines.end() || it->second.shard_lease != lease) return;
  // A new leader is told of all that was given back, also of what its holder does not know yet that
  // it got again, with tasks.
  if (item.count >> 1 < it->second.handover_revision) return;
  const Machine lent = it->second;
  Machine& m = TakeBackMachine(lent, 0, now);
  // Known to be empty: nobody needs to ask it.
  m.address = lent.recorded_address;
  m.type = lent.type;
  m.zone = lent.zone;
  m.spot = lent.spot;
  m.shard = shard_leases_.own_shard();
  m.last_contact_at = lent.last_contact_at;
  m.idle_since = now;
  m.lost = (item.count & 1) != 0;
  cluster_.machine_types.ApplyTo(m);
  cluster_.changed_since_pass = wants_scaling_plan_ = true;
}

}  // namespace mosspath::scheduler
