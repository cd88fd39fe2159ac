// The picture that the leader keeps: takeover, jobs, slots, machines, records and the passing of
// time.
#include "mosspath/scheduler/scheduler.h"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <cmath>
#include <utility>

namespace mosspath::scheduler {

using cluster::Allocation;
using cluster::AllocationKey;
using cluster::Machine;
using jobs::Job;
using jobs::TaskPhase;

namespace {

constexpr double kNoticeError = 2;  // a notice may be half as long as it says

}  // namespace

// ---------------------------------------------------------------------------- taking over

Scheduler::Scheduler(const config::Settings& settings, const config::DerivedSettings& derived,
                     uint64_t token, double now)
    : settings_(settings),
      derived_(derived),
      token_(token),
      objectives_(settings),
      activity_(settings),
      cluster_(settings, derived),
      failover_(settings, derived, now),
      durable_state_(settings, token),
      provisioning_(settings, derived),
      unconfirmed_starts_(settings),
      machine_health_(settings),
      placer_(settings_, cluster_, objectives_, failover_, durable_state_, shard_leases_, token) {
  cluster_.began_at = now;
}

void Scheduler::LoadProgressPack(int pack, const wire::Json& value, uint64_t version) {
  if (value.is_object()) durable_state_.LoadProgressPack(pack, value, version);
}

void Scheduler::LoadMachinesPack(int pack, const wire::Json& value, uint64_t version) {
  if (!value.is_object()) return;
  durable_state_.LoadMachinesPack(pack, value, version);
  for (const auto& [id, entry] : value.items()) {
    const auto [address, lease, handed] = DecodeMachineRecord(entry);
    if (const ShardLeases::Lease* l = shard_leases_.Find(lease)) {
      // Its holder says what is on it. Never a machine of ours as well: an entry stands in one
      // pack.
      Machine& m = cluster_.delegated_machines[id];
      m.id = id;
      m.shard_lease = lease;
      m.handover_revision = handed;
      m.shard = l->shard;
      m.in_record = m.record_durable = true;
      m.recorded_address = address;
      m.first_contact_at = m.last_contact_at = failover_.began_at();
      continue;
    }
    Machine& m = cluster_.machines[id];
    m.in_record = m.record_durable = true;
    if (m.awaits_recovery) continue;
    m.id = id;
    m.fencing_token = token_;
    m.recorded_address = address;
    failover_.AddMachine(m);
    // A holder of the past, whose lease we don't see, acts for as long as its view is fresh.
    if (lease != 0) m.lease_renewed_at += derived_.shard_hold_s;
    m.expired_lease = lease;
  }
}

void Scheduler::SetMachineTypes(std::vector<wire::MachineType> types) {
  cluster_.machine_types.Set(std::move(types));
  for (auto& [id, m] : cluster_.machines) cluster_.machine_types.ApplyTo(m);
  for (auto& [id, m] : cluster_.delegated_machines) cluster_.machine_types.ApplyTo(m);
  cluster_.changed_since_pass = true;
}

void Scheduler::OnMachineKnown(Machine& m) {
  const bool inherited = m.awaits_recovery;
  failover_.OnMachineKnown(m);
  cluster_.changed_since_pass = cluster_.changed_since_pass || inherited;
  if (const uint64_t past = std::exchange(m.expired_lease, 0); past != 0 && m.in_record) {
    durable_state_.ClearExpiredLease(m.id, m.recorded_address);
  }
  EndReconciliations(m.id);
}

// ---------------------------------------------------------------------------- jobs

void Scheduler::AddJob(wire::JobSpec spec, uint64_t version, double submitted) {
  auto& entry = cluster_.jobs[spec.id];
  if (entry) return;
  entry = std::make_unique<Job>(std::move(spec), version, submitted);
  Job& job = *entry;
  if (const auto retries = durable_state_.RestoreJob(job); retries && job.done == 0) {
    job.crash_looping = true;
    job.retries = *retries;
    job.not_before = failover_.began_at() + settings_.agent_lease_s;
  }
  if (job.spec.kind == wire::JobKind::kArray && job.spec.priority >= wire::Priority::kHigh) {
    provisioning_.OnUrgentJob(submitted, job.spec.tasks * job.spec.cpus);
  }
  placer_.reservation().OnSubmitted(job.spec, submitted);
  cluster_.changed_since_pass = wants_scaling_plan_ = true;
}

void Scheduler::RemoveJob(const std::string& id, double now) {
  auto it = cluster_.jobs.find(id);
  if (it == cluster_.jobs.end()) return;
  durable_state_.ForgetJob(*it->second);
  placer_.ForgetJob(*it->second);
  cluster_.ForgetDuplicates(id);
  // What holders still have of it counts towards its team until they say that it is gone. A holder
  // goes on seeking what may be on machines that it was handed: told that such a task was back, a
  // leader that had not heard of the cancellation started it elsewhere.
  if (!shard_leases_.is_holder() && cluster_.quota.IsUnlimited(it->second->spec.team)) {
    for (const auto& task : cluster_.delegated_tasks.OfJob(id)) {
      cluster_.ReturnDelegated(task, cluster_.delegated_tasks.LeaseOf(task));
    }
  }
  if (shard_leases_.is_holder()) {
    std::vector<uint32_t> held;
    for (uint32_t i = 0; i < it->second->spec.tasks; ++i) {
      const auto phase = it->second->tasks[i].phase;
      const bool sought = cluster_.delegated_tasks.LeaseOf({id, i}) != 0;
      if (phase == TaskPhase::kPlaced || phase == TaskPhase::kPending || sought) held.push_back(i);
    }
    if (!held.empty()) ended_held_tasks_[id] = std::move(held);
  }
  cluster_.jobs.erase(it);
  for (auto& [mid, m] : cluster_.machines) {
    auto slot = m.allocations.lower_bound({{id, 0}, 0});
    while (slot != m.allocations.end() && slot->first.first.job == id) {
      auto next = std::next(slot);
      slot->second.orphaned = true;
      if (slot->second.state == Allocation::State::kPlanned) {
        cluster_.RemoveAllocation(m, slot, now);
      } else {
        cluster::RequestStop(m, slot->second, 0);
      }
      slot = next;
    }
  }
  cluster_.changed_since_pass = true;
}

JobCounts Scheduler::Counts(const std::string& id) const {
  const Job* job = cluster_.FindJob(id);
  if (job == nullptr) return {};
  return {job->done, job->placed()};
}

std::vector<std::string> Scheduler::TakeCompletedJobs() {
  std::vector<std::string> out;
  for (auto& [id, job] : cluster_.jobs) {
    if (!job->complete() || job->completion_in_flight) continue;
    job->completion_in_flight = true;
    out.push_back(id);
  }
  return out;
}

void Scheduler::OnCompletionFailed(const std::string& id) {
  if (Job* job = cluster_.FindJob(id)) job->completion_in_flight = false;
}

// ---------------------------------------------------------------------------- machines

void Scheduler::OnMachineDeleting(const std::string& id) {
  if (Machine* m = FindMachine(id)) m->deleting = true;
}

void Scheduler::OnDeletionFailed(const std::string& id) {
  if (Machine* m = FindMachine(id)) m->deleting = false;
}

Machine* Scheduler::FindMachine(const std::string& id) {
  if (auto it = cluster_.machines.find(id); it != cluster_.machines.end()) return &it->second;
  if (auto it = cluster_.delegated_machines.find(id); it != cluster_.delegated_machines.end())
    return &it->second;
  return nullptr;
}

void Scheduler::OnMachineDeleted(const std::string& id, double now) {
  provisioning_.OnMachineDeleted(id, now);
  if (auto lent = cluster_.delegated_machines.find(id); lent != cluster_.delegated_machines.end()) {
    wire::ShardMessage item{.kind = wire::ShardMessage::Kind::kMachineDeleted, .name = id};
    shard_leases_.SendToHolder(lent->second.shard_lease, std::move(item));
    cluster_.delegated_machines.erase(lent);
    durable_state_.RemoveMachine(id);
    cluster_.changed_since_pass = true;
    return;
  }
  auto it = cluster_.machines.find(id);
  if (it == cluster_.machines.end()) return EndReconciliations(id);
  OnMachineKnown(it->second);
  EndAllocations(it->second, now);
  cluster_.machines.erase(it);
  durable_state_.RemoveMachine(id);
  cluster_.changed_since_pass = true;
}

// What went straight to it and was not answered may be with another machine that has its address:
// started elsewhere at once, it ran twice.
void Scheduler::EndAllocations(Machine& m, double now) {
  for (const auto& [key, slot] : m.allocations) {
    const auto& [task, attempt] = key;
    // A holder hears of no lists; docs/blocks.md tells what that leaves.
    if (shard_leases_.is_holder() || slot.orphaned || slot.state != Allocation::State::kStartSent ||
        !slot.start_sent_directly)
      continue;
    if (cluster_.FindJob(task.job) == nullptr || cluster_.HasDuplicate(task)) continue;
    spdlog::debug("place: {} may be with another machine at {}", wire::TaskName(task), m.address);
    cluster_.Withhold(task);
    unconfirmed_starts_.Add(task, {m.id, m.address, slot.start_sent_token, slot.start_sent_at});
  }
  cluster_.RemoveAllAllocations(m, now);
  ReleaseRuledOutStarts();
}

void Scheduler::ReleaseRuledOutStarts() {
  if (unconfirmed_starts_.empty()) return;
  std::set<std::string> doubted;
  for (const auto& task : unconfirmed_starts_.TakeRuledOut(cluster_, doubted)) {
    spdlog::debug("place: {} is with no other machine", wire::TaskName(task));
    cluster_.ReleaseWithheld(task);
  }
  for (const auto& id : doubted) {
    Machine& m = cluster_.machines.at(id);
    if (m.token_confirmed) SuspectDelivery(m);
  }
}

// ---------------------------------------------------------------------------- time

void Scheduler::Tick(double now) {
  for (auto it = cluster_.machines.begin(); it != cluster_.machines.end();) {
    auto& [id, m] = *it;
    const auto next = std::next(it);
    if (!m.lost &&
        now - std::max(m.lease_renewed_at, m.epoch_seen_at) > derived_.agent_lease_over_s) {
      // Its worker's lease is over, whoever answered it last.
      spdlog::info("picture: machine {} is lost with {} tasks", id, m.allocations.size());
      activity_.AddIncident(now, "machine " + id + " was lost with " +
                                     std::to_string(m.allocations.size()) + " tasks");
      m.lost = true;
      m.token_confirmed = false;
      m.min_agent_epoch = m.agent_epoch + 1;
      EndAllocations(m, now);
      OnMachineKnown(m);
      if (!shard_leases_.is_holder()) {
        m.in_record = m.record_durable = false;
        durable_state_.RemoveMachine(id);
        if (m.address.empty()) cluster_.machines.erase(it);
      }
    }
    it = next;
  }
  for (auto& [id, m] : cluster_.machines) {
    // Starts that were meant for a machine that can't take them any more go elsewhere.
    if (cluster_.IsSchedulable(m, now)) continue;
    for (auto it = m.allocations.begin(); it != m.allocations.end();) {
      auto next = std::next(it);
      if (it->second.state == Allocation::State::kPlanned) cluster_.RemoveAllocation(m, it, now);
      it = next;
    }
    if (m.reclaim_at || m.quarantined) {
      for (auto& [key, slot] : m.allocations) {
        const Job* job = slot.orphaned ? nullptr : cluster_.FindJob(key.first.job);
        if (job == nullptr || slot.stop_requested || slot.exited()) continue;
        const double ran = slot.running_since > 0 ? now - slot.running_since : 0;
        if (machine_health_.ShouldRestartElsewhere(m, *job, ran))
          cluster::RequestStop(m, slot, job->spec.checkpoint_duration_s);
        if (m.reclaim_at && job->spec.checkpoint_interval_s > 0) {
          if ((*m.reclaim_at - now) / kNoticeError <
              job->spec.checkpoint_duration_s + 2 * settings_.heartbeat_s) {
            cluster::RequestStop(m, slot, job->spec.checkpoint_duration_s);
          }
        }
      }
    }
  }
  ReleaseRuledOutStarts();
  RaiseTokens();
  if (shard_leases_.is_leader()) HandOverMachines(now);
  cluster_.changed_since_pass = true;
  Place(now);
  if (tuning_.preemption) placer_.Preempt(now);
  if (shard_leases_.is_leader()) RecallMachines(now);
  LogLoad(now);
}

// Why a job's waiting tasks wait, for people.
const char* Scheduler::WaitingReason(const Job& job, double now) const {
  if (!placer_.IsStartable(job)) return "a new leader is finding out where tasks are";
  if (job.crash_looping)
    return "its tasks fail on every machine; tried now and then until it is cancelled";
  if (now < job.not_before) return "workers do not know it yet";
  if (cluster_.quota.Headroom(job, recovery_complete()) == 0) return "its team is at its limit";
  if (cluster_.machine_types.empty()) return "the machine types are not known yet";
  const auto usable = [&](const auto& m) {
    return cluster_.IsSchedulable(m.second, now) && placer_.IsAllowedOn(job, m.second, now);
  };
  const auto& own = cluster_.machines;
  const auto& lent = cluster_.delegated_machines;
  const bool any =
      std::any_of(own.begin(), own.end(), usable) || std::any_of(lent.begin(), lent.end(), usable);
  return any ? "all machines that it may use are busy" : "no machine that it may use is up";
}

wire::StatusSnapshot Scheduler::MakeSnapshot(double now) const {
  wire::StatusSnapshot d;
  d.token = token_;
  d.recovery_complete = recovery_complete();
  d.leader_for_s = now - failover_.began_at();
  struct Group {
    wire::StatusSnapshot::Queue queue;
    std::map<const char*, size_t> whys;
  };
  std::map<std::string, Group> classes;
  std::map<std::string, Group> teams;
  for (const auto& [name, a] : activity_.classes()) classes[name];
  for (const auto& [name, a] : activity_.teams()) teams[name];
  for (const auto& [id, job] : cluster_.jobs) {
    const char* why = job->pending.empty() ? nullptr : WaitingReason(*job, now);
    for (Group* g : {&classes[job->spec.job_class], &teams[job->spec.team]}) {
      ++g->queue.jobs;
      g->queue.waiting += job->pending.size();
      g->queue.running += job->placed();
      if (why == nullptr) continue;
      g->queue.oldest_s = std::max(g->queue.oldest_s, now - job->submitted_at);
      g->whys[why] += job->pending.size();
    }
    if (job->done > 0 || job->placed() > 0) d.jobs.push_back({id, job->done, job->placed()});
  }
  const auto tell = [now](std::map<std::string, Group>& groups,
                          const std::map<std::string, ActivityTracker::LastActivity>& activity,
                          std::vector<wire::StatusSnapshot::Queue>& out) {
    for (auto& [name, g] : groups) {
      wire::StatusSnapshot::Queue& q = g.queue;
      q.job_class = name;
      if (const auto a = activity.find(name); a != activity.end()) {
        q.started_ago_s = std::min(wire::kNeverS, now - a->second.started_at);
        q.finished_ago_s = std::min(wire::kNeverS, now - a->second.finished_at);
      }
      size_t most = 0;
      for (const auto& [why, n] : g.whys) {
        if (n <= most) continue;
        most = n;
        q.waiting_reason = why;
      }
      out.push_back(std::move(q));
    }
  };
  tell(classes, activity_.classes(), d.queues);
  tell(teams, activity_.teams(), d.teams);
  std::map<autoscaler::MachineOffer, wire::StatusSnapshot::Machines> groups;
  const auto group = [&](const std::string& type, const std::string& zone, bool spot) -> auto& {
    auto& g = groups[{type, zone, spot}];
    g.type = type;
    g.zone = zone;
    g.spot = spot;
    return g;
  };
  std::vector<const Machine*> usable;
  for (const auto* machines : {&cluster_.machines, &cluster_.delegated_machines}) {
    for (const auto& [id, m] : *machines) {
      if (cluster_.IsSchedulable(m, now)) usable.push_back(&m);
    }
  }
  for (const Machine* each : usable) {
    const Machine& m = *each;
    auto& g = group(m.type, m.zone, m.spot);
    ++g.up;
    g.draining += m.draining ? 1 : 0;
    g.cpus += m.cpus;
    g.used_cpus += m.used_cpus;
  }
  for (const auto& [id, b] : provisioning_.booting())
    ++group(b.offer.type, b.offer.zone, b.offer.spot).booting;
  for (auto& [offer, g] : groups) d.machines.push_back(std::move(g));
  activity_.FillSnapshot(now, d);
  return d;
}

void Scheduler::Apply(const config::OperatorSettings& s) {
  placer_.SetPolicy({s.gamma, s.epsilon}, s.give_ahead);
  placer_.fair_share().Configure(s.turn_share, s.weights);
  placer_.reservation().SetBootTimes(s.ordinary_boots);
  placer_.SetFirstTaskShare(s.begin_share);
  tuning_.scaling.max_machines = static_cast<int>(s.max_machines);
  tuning_.scaling.horizon_boots = s.horizon_boots;
  tuning_.scaling.keep_idle_boots = s.keep_idle_boots;
  tuning_.scaling.reserve = s.reserve;
  tuning_.preemption = s.preemption;
  cluster_.changed_since_pass = true;
}

void Scheduler::OnJobFinished(const std::string& id, double now) {
  if (const Job* job = cluster_.FindJob(id)) activity_.OnJobFinished(*job, now);
}

void Scheduler::OnProcessStall(double from, double now) {
  const double gap = now - from;
  failover_.OnProcessStall(now);
  for (auto& [id, m] : cluster_.machines) {
    // What it was heard before tells as much as then. What it was answered is a promise to it, and
    // counts as it is.
    if (from - m.last_contact_at < derived_.agent_suspect_s) m.last_contact_at += gap;
    m.failed_probes = 0;
    // Whatever ended meanwhile ended at a time that nobody saw, so its run time tells nothing.
    for (auto& [key, slot] : m.allocations) slot.recovered = true;
  }
  cluster_.changed_since_pass = true;
}

// One line now and then from which a day's load can be followed.
void Scheduler::LogLoad(double now) {
  if (!activity_.IsLogDue(now)) return;
  int up = 0, dear = 0, draining = 0;
  double cpus = 0, used = 0;
  for (const auto* machines : {&cluster_.machines, &cluster_.delegated_machines}) {
    for (const auto& [id, m] : *machines) {
      if (!cluster_.IsSchedulable(m, now)) continue;
      ++up;
      dear += m.spot ? 0 : 1;
      draining += m.draining ? 1 : 0;
      cpus += m.cpus;
      used += m.used_cpus;
    }
  }
  std::map<std::string, std::pair<size_t, double>> waiting;
  for (const auto& [id, job] : cluster_.jobs) {
    auto& [n, c] = waiting[job->spec.job_class];
    n += job->pending.size();
    c += static_cast<double>(job->pending.size()) * job->spec.cpus;
  }
  std::string queues;
  for (const auto& [name, w] : waiting) {
    queues += " " + name + "=" + std::to_string(w.first) + "/" +
              std::to_string(static_cast<int>(w.second));
  }
  spdlog::info("load: machines={} (ordinary {}, draining {}) booting={} cpus={}/{} waiting{}", up,
               dear, draining, provisioning_.booting().size(), used, cpus, queues);
}

}  // namespace mosspath::scheduler
