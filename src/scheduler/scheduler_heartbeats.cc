// What reports and answers of workers tell, and what workers are told.
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

// Keeps an answer to a worker well below the 64 KiB that a line may have.
constexpr size_t kMaxCommands = 400;
// Answers whose commands had no effect, before a machine must show that it hears us.
constexpr int kIgnored = 2;

}  // namespace

// What it was told seems not to have reached it, though its reports arrive: it takes no new work
// until it has shown a token that it can only know from us. A report proves nothing about the way
// back, and one answer may be lost on any day.
void Scheduler::SuspectDelivery(Machine& m) {
  m.ignored_answers = 0;
  if (shard_leases_.is_holder()) {  // only the leader raises tokens
    m.recall_requested = m.draining = true;
    m.cordoned = false;
    return;
  }
  m.unheeded_token = m.fencing_token;
}

void Scheduler::OnAgentEpoch(Machine& m, uint64_t session, double now) {
  if (session == m.agent_epoch) return;
  // Its lease ended though it was answered all along.
  if (m.agent_epoch != 0 && m.token_confirmed && !m.lost &&
      now - m.lease_renewed_at < settings_.agent_lease_s) {
    spdlog::info("picture: machine {} began a session though it was answered", m.id);
    SuspectDelivery(m);
  }
  // The lease of the earlier session expired: the worker has killed all that it had, and refuses
  // late commands that were meant for it.
  for (auto it = m.allocations.begin(); it != m.allocations.end();) {
    auto next = std::next(it);
    if (it->second.state != Allocation::State::kPlanned) cluster_.RemoveAllocation(m, it, now);
    it = next;
  }
  if (m.agent_epoch != 0) spdlog::info("picture: machine {} begins session {}", m.id, session);
  m.agent_epoch = session;
  // A session lasts a lease from its beginning even if nobody ever answers its reports. Learned
  // from an answer to an order, it took starts and outlived what was counted from the last answer:
  // they ran twice.
  m.epoch_seen_at = now;
}

Machine& Scheduler::FindOrAddMachine(const wire::Heartbeat& r, double now) {
  Machine& m = cluster_.machines[r.machine];
  if (m.address.empty()) {
    // One that comes from another controller has a token already, higher than that one's.
    if (m.id.empty()) m.fencing_token = token_;
    m.id = r.machine;
    m.type = r.type;
    m.zone = r.zone;
    m.spot = r.spot;
    m.shard = placer_.ShardOf(m);
    m.first_contact_at = m.idle_since = now;
    cluster_.machine_types.ApplyTo(m);
    provisioning_.OnMachineUp(r.machine);
    spdlog::info("picture: machine {} type={} zone={} spot={}", m.id, m.type, m.zone, m.spot);
  }
  m.address = r.address;
  return m;
}

// Whether anything can be made of the report. One machine's raised token may have reached another
// that has its address now; higher than any that we gave, it is a later leader's.
bool Scheduler::AcceptsHeartbeat(const wire::Heartbeat& r) const {
  const uint64_t given = durable_state_.newest_revision();
  const auto it = cluster_.machines.find(r.machine);
  if (it == cluster_.machines.end()) return r.fencing_token <= given;
  const Machine& m = it->second;
  return !m.needs_new_token && !m.answers_suspended &&
         r.fencing_token <= std::max(m.fencing_token, given) &&
         m.IsNewer(r.agent_epoch, r.sequence);
}

HeartbeatAnswer Scheduler::OnHeartbeat(const wire::Heartbeat& r, double now) {
  if (provisioning_.is_deleted(r.machine)) return {};
  // Another controller's, or not to be spoken to before its token is raised.
  if (cluster_.delegated_machines.contains(r.machine)) return {};
  if (shard_leases_.is_holder() && !Owns(r.machine)) return {};
  // A higher token than ours is a later leader's. A late report's answer could never be used, and a
  // late copy tells nothing, not even an address.
  if (!AcceptsHeartbeat(r)) return {};
  Machine& m = FindOrAddMachine(r, now);
  m.fencing_token = std::max(m.fencing_token, r.fencing_token);
  OnAgentEpoch(m, r.agent_epoch, now);
  m.heartbeat_sequence = r.sequence;
  m.lease_renewed_at = now;
  m.lost = false;
  // A report made before our token was seen may be late, or an older leader's answer may still be
  // on its way: nothing is concluded from it, not even that the machine can be told anything. One
  // whose answers were lost kept a takeover waiting for as long as its reports came.
  if (r.fencing_token != m.fencing_token) {
    if (m.token_unconfirmed_since <= 0) m.token_unconfirmed_since = now;
    return {true, m.fencing_token, {}};
  }
  m.last_contact_at = now;
  m.token_unconfirmed_since = 0;
  m.missing_from_list = false;
  if (r.reclaim_notice_s && !m.reclaim_at) {
    spdlog::info("picture: machine {} will be taken in {}s", m.id, *r.reclaim_notice_s);
    activity_.AddIncident(now, "the cloud takes machine " + m.id + " back");
    cluster_.changed_since_pass = true;
  }
  m.reclaim_at = r.reclaim_notice_s ? std::optional(now + *r.reclaim_notice_s) : std::nullopt;
  if (!m.token_confirmed) {
    m.token_confirmed = true;
    cluster_.changed_since_pass = true;
  }
  Reconcile(m, r, /*regular=*/true, now);
  OnMachineKnown(m);
  placer_.Refill(m, now);
  return {true, m.fencing_token, MakeCommands(m, now)};
}

void Scheduler::OnProbeAnswer(Machine& m, const CommandBatch& order, CommandOutcome outcome,
                              const wire::Heartbeat* report, double now) {
  const int in_vain = m.failed_probes;
  if (!failover_.OnProbeAnswer(m, order, outcome, report, now)) {
    wants_scaling_plan_ =
        wants_scaling_plan_ || (m.failed_probes > in_vain && m.failed_probes >= kMaxFailedProbes);
    return;
  }
  FindOrAddMachine(*report, now);
  OnAgentEpoch(m, report->agent_epoch, now);
  m.heartbeat_sequence = report->sequence;
  m.last_contact_at = now;
  m.token_unconfirmed_since = 0;
  m.token_confirmed = true;
  cluster_.changed_since_pass = true;
  Reconcile(m, *report, /*regular=*/false, now);
  OnMachineKnown(m);
}

// An order was executed by another machine than it was meant for, which has its address now. What
// that one says under our token is as good as its answer to an order of its own; it may run what
// was meant for the other, and stands in nobody's record.
void Scheduler::OnUnexpectedMachine(const wire::Heartbeat& r, double now) {
  if (provisioning_.is_deleted(r.machine) || cluster_.delegated_machines.contains(r.machine))
    return;
  if (shard_leases_.is_holder() && !Owns(r.machine)) return;
  if (!AcceptsHeartbeat(r) || r.fencing_token < token_) return;
  Machine& m = FindOrAddMachine(r, now);
  if (r.fencing_token < m.fencing_token) return;
  m.fencing_token = r.fencing_token;
  OnAgentEpoch(m, r.agent_epoch, now);
  m.heartbeat_sequence = r.sequence;
  m.last_contact_at = now;
  m.token_unconfirmed_since = 0;
  m.token_confirmed = true;
  cluster_.changed_since_pass = true;
  Reconcile(m, r, /*regular=*/false, now);
  OnMachineKnown(m);
}

std::vector<CommandBatch> Scheduler::TakeCommands(double now, size_t most) {
  std::vector<CommandBatch> out;
  if (!recovery_complete() || failover_.agents_may_be_searching(now) || !reconciliation_.empty() ||
      shard_leases_.is_holder())
    failover_.TakeProbes(cluster_.machines, now, most, out);
  for (auto& [id, m] : cluster_.machines) {
    if (out.size() >= most) break;
    if (!m.has_pending_commands || m.command_in_flight || !m.token_confirmed || m.lost ||
        m.deleting)
      continue;
    m.has_pending_commands = false;
    const bool may_start = m.record_durable && cluster_.IsSchedulable(m, now) &&
                           now - m.last_contact_at < 1.5 * settings_.heartbeat_s;
    std::vector<wire::Command> commands;
    for (auto& [key, slot] : m.allocations) {
      m.has_pending_commands = m.has_pending_commands ||
                               slot.state == Allocation::State::kPlanned ||
                               (slot.stop_requested && !slot.exited());
      if (commands.size() >= kMaxCommands) {
        m.has_pending_commands = true;
        break;
      }
      if (slot.state == Allocation::State::kPlanned) {
        if (!may_start) continue;
        slot.state = Allocation::State::kStartSent;
        slot.start_sent_sequence = cluster::kNoHeartbeat;
        slot.start_sent_directly = true;
        slot.start_sent_at = now;
        slot.start_sent_token = m.fencing_token;
        commands.push_back({wire::CommandType::kStart, key.first, key.second, 0});
      } else if (slot.stop_requested && !slot.exited() &&
                 now - slot.stop_sent_at > settings_.heartbeat_s) {
        slot.stop_sent_at = now;
        commands.push_back({wire::CommandType::kStop, key.first, key.second, slot.grace_s});
      }
    }
    if (commands.empty()) continue;
    m.command_in_flight = true;
    out.push_back({id, m.address, m.fencing_token, m.agent_epoch, std::move(commands)});
  }
  return out;
}

void Scheduler::OnCommandOutcome(const CommandBatch& order, CommandOutcome outcome,
                                 const wire::Heartbeat* report, double now) {
  auto found = cluster_.machines.find(order.machine);
  if (found == cluster_.machines.end()) {
    if (order.commands.empty()) failover_.OnProbeEnded();
    return;
  }
  if (outcome == CommandOutcome::kExecuted && report != nullptr &&
      report->machine != order.machine) {
    OnUnexpectedMachine(*report, now);
  }
  Machine& m = found->second;
  m.command_in_flight = false;
  if (order.commands.empty()) {
    failover_.OnProbeEnded();
    return OnProbeAnswer(m, order, outcome, report, now);
  }
  if (outcome == CommandOutcome::kExecuted &&
      (report == nullptr || report->machine != order.machine ||
       report->agent_epoch != order.agent_epoch)) {
    outcome = CommandOutcome::kUndetermined;  // contradicts itself: no answer
  }
  for (const wire::Command& c : order.commands) {
    auto it = m.allocations.find({c.task, c.attempt});
    if (c.type != wire::CommandType::kStart || it == m.allocations.end()) continue;
    Allocation& slot = it->second;
    if (slot.state != Allocation::State::kStartSent) continue;
    switch (outcome) {
      case CommandOutcome::kExecuted:
        slot.start_sent_sequence = report->sequence - 1;  // this report tells already
        break;
      case CommandOutcome::kRefused:
        cluster_.RemoveAllocation(m, it, now);
        break;
      case CommandOutcome::kUndetermined:
        slot.start_unconfirmed = m.has_unconfirmed_starts = true;
        break;
    }
  }
  // Answers to commands don't renew the lease, but are as good as reports otherwise.
  if (outcome != CommandOutcome::kExecuted || !m.IsNewer(report->agent_epoch, report->sequence) ||
      report->fencing_token != m.fencing_token) {
    return;
  }
  m.heartbeat_sequence = report->sequence;
  m.last_contact_at = now;
  Reconcile(m, *report, /*regular=*/false, now);
}

// A start that got no answer can be executed until the worker sees a higher token. The revision of
// a later write of ours is one, and is lower than the token of any later leader.
void Scheduler::RaiseTokens() {
  for (auto& [id, m] : cluster_.machines) {
    if (!m.has_unconfirmed_starts && m.unheeded_token != m.fencing_token) continue;
    m.has_unconfirmed_starts =
        std::any_of(m.allocations.begin(), m.allocations.end(), [](const auto& s) {
          return s.second.start_unconfirmed && s.second.state == Allocation::State::kStartSent;
        });
    const bool needed = m.unheeded_token == m.fencing_token ||
                        std::any_of(m.allocations.begin(), m.allocations.end(), [&](const auto& s) {
                          return s.second.start_unconfirmed &&
                                 s.second.state == Allocation::State::kStartSent &&
                                 s.second.start_sent_token == m.fencing_token;
                        });
    if (!needed) continue;
    if (durable_state_.newest_revision() <= m.fencing_token) {
      durable_state_.RewriteMachine(id);
      continue;
    }
    m.fencing_token = durable_state_.newest_revision();
    m.token_confirmed = false;
    m.token_unconfirmed_since = 0;
    spdlog::info(
        "picture: machine {} goes on under token {}: {}", id, m.fencing_token,
        m.unheeded_token != 0 ? "what it was told had no effect" : "a start got no answer");
    m.unheeded_token = 0;
  }
}

void Scheduler::Reconcile(Machine& m, const wire::Heartbeat& r, bool regular, double now) {
  const uint64_t seen = ++reconciled_heartbeats_;
  bool took = false;     // some of what the last answer told
  bool ignored = false;  // or not
  for (const wire::TaskStatus& t : r.tasks) {
    const AllocationKey key{t.task, t.attempt};
    auto it = m.allocations.find(key);
    if (it == m.allocations.end()) {
      RecoverAllocation(m, t, now);
      if (it = m.allocations.find(key); it != m.allocations.end()) it->second.last_listed_in = seen;
      continue;
    }
    Allocation& slot = it->second;
    slot.last_listed_in = seen;
    took = took || slot.state == Allocation::State::kStartSent;
    if (slot.forget_sent_sequence != 0 && regular && r.sequence > slot.forget_sent_sequence) {
      ignored = true;
      slot.forget_sent_sequence = 0;
    }
    const bool was_exited = slot.exited();
    if (slot.reported != wire::TaskState::kRunning && t.state == wire::TaskState::kRunning) {
      slot.running_since = now;
      if (Job* job = slot.orphaned ? nullptr : cluster_.FindJob(t.task.job)) {
        if (!std::exchange(job->has_started, true)) {
          spdlog::debug("jobs: {} of {} with {} tasks begins after {:.1f} s", t.task.job,
                        job->spec.job_class, job->spec.tasks, now - job->submitted_at);
        }
        activity_.OnTaskStarted(*job, t.task.index, now);
      }
    }
    slot.state = Allocation::State::kReported;
    slot.reported = t.state;
    slot.exit_reason = t.exit_reason;
    if (slot.exited() && !was_exited) OnTaskExited(m, key, slot, now);
  }
  for (auto it = m.allocations.begin(); it != m.allocations.end();) {
    auto next = std::next(it);
    const Allocation& slot = it->second;
    // An answer to direct commands can be made while the answer to a report is still on its way,
    // so it tells nothing about starts that went with that.
    const bool told =
        slot.state == Allocation::State::kReported ||
        (slot.state == Allocation::State::kStartSent && (regular || slot.start_sent_directly) &&
         (r.sequence > slot.start_sent_sequence ||
          (slot.start_unconfirmed && r.fencing_token > slot.start_sent_token)));
    // The worker sends its next report only after the answer to the last one was taken or given
    // up, so a start that is missing here was never taken and never will be.
    if (told && slot.last_listed_in != seen) {
      took = took || slot.forget_sent_sequence != 0;
      ignored =
          ignored || (slot.state == Allocation::State::kStartSent && !slot.start_sent_directly);
      if (slot.state == Allocation::State::kStartSent) {
        spdlog::debug("place: start of {} on {} was lost", wire::TaskName(it->first.first), m.id);
      }
      cluster_.RemoveAllocation(m, it, now);
    }
    it = next;
  }
  if (took) m.ignored_answers = 0;
  if (regular && ignored && !took && ++m.ignored_answers >= kIgnored) SuspectDelivery(m);
}

// A task that we didn't start: an earlier leader's, or one whose job is over.
void Scheduler::RecoverAllocation(Machine& m, const wire::TaskStatus& t, double now) {
  Job* job = cluster_.FindJob(t.task.job);
  if (job != nullptr && t.task.index >= job->spec.tasks) job = nullptr;
  Allocation slot;
  slot.state = Allocation::State::kReported;
  slot.reported = t.state;
  slot.exit_reason = t.exit_reason;
  slot.placed_at = slot.running_since = now;
  slot.recovered = true;
  const AllocationKey key{t.task, t.attempt};
  if (job != nullptr) {
    slot.image = job->spec.image;
    slot.team = job->spec.team;
    slot.expected_run_s = ExpectedRunS(*job);
    m.image_cache.MarkUsed(job->spec.image, job->spec.image_gb, m.cache_gb);
  }
  if (slot.exited()) {
    slot.orphaned = true;
    if (job != nullptr && t.exit_reason == wire::ExitReason::kSucceeded) {
      slot.orphaned = false;
      if (IsReconciling(t.task))
        cluster_.ReturnDelegated(t.task, cluster_.delegated_tasks.LeaseOf(t.task));
      if (job->tasks[t.task.index].phase == TaskPhase::kPlaced) {
        spdlog::debug("place: {} is done on {} by an earlier attempt", wire::TaskName(t.task),
                      m.id);
      }
      OnTaskDone(*job, t.task.index);
    }
    m.allocations.emplace(key, std::move(slot));
    return;
  }
  if (job != nullptr && job->tasks[t.task.index].phase == TaskPhase::kPlaced) {
    // Only a start that was not sent yet can be given up for it.
    for (auto& [id, other] : cluster_.machines) {
      for (auto it = other.allocations.lower_bound({t.task, 0});
           it != other.allocations.end() && it->first.first == t.task; ++it) {
        if (it->second.state == Allocation::State::kPlanned) {
          cluster_.RemoveAllocation(other, it, now);
          break;
        }
      }
    }
  }
  if (job != nullptr) {
    if (IsReconciling(t.task)) {
      cluster_.ReturnDelegated(t.task, cluster_.delegated_tasks.LeaseOf(t.task));
    } else if (shard_leases_.is_holder() &&
               job->tasks[t.task.index].phase == TaskPhase::kDelegated) {
      // It is on a machine of this block, so no other controller can have it.
      job->tasks[t.task.index].phase = TaskPhase::kPending;
      job->pending.insert(t.task.index);
      shard_leases_.SendToLeader({.kind = wire::ShardMessage::Kind::kClaimTasks,
                                  .name = t.task.job,
                                  .tasks = {t.task.index}});
    }
    slot.cpus = job->spec.cpus;
    slot.gpus = job->spec.gpus;
    slot.memory_gb = job->spec.memory_gb;
  } else {
    cluster_.quota.AddUnknownTask();
  }
  bool found = false;
  if (job == nullptr || job->tasks[t.task.index].phase != TaskPhase::kPending) {
    slot.orphaned = true;
    if (job != nullptr) cluster_.AddDuplicate(t.task, m.id);
    found = job != nullptr;
    cluster::RequestStop(m, slot, 0);
    spdlog::info("place: stopping {} on {}: {}", wire::TaskName(t.task), m.id,
                 job == nullptr ? "its job is over" : "it is elsewhere or done");
  }
  cluster_.Allocate(m, key, std::move(slot));
  if (found) {
    // What was sought is here.
    unconfirmed_starts_.Forget(t.task);
    cluster_.ReleaseWithheld(t.task);
  }
}

void Scheduler::OnTaskExited(Machine& m, const AllocationKey& key, Allocation& slot, double now) {
  const auto& [task, attempt] = key;
  Job* job = slot.orphaned ? nullptr : cluster_.FindJob(task.job);
  cluster_.changed_since_pass = true;
  if (job != nullptr && slot.exit_reason == wire::ExitReason::kSucceeded) {
    cluster_.ReleaseResources(m, slot, task);
    OnTaskDone(*job, task.index);
    if (slot.running_since > 0 && !slot.recovered) {
      ReportVerdict(m, *job, machine_health_.OnTaskTimed(m, *job, now - slot.running_since), now);
    }
    if (machine_health_.OnTaskSucceeded(m, *job) && !shard_leases_.is_holder())
      durable_state_.ClearCrashLoop(job->spec.id);
  } else {
    cluster_.ReleaseResources(m, slot, task);
    if (job != nullptr && slot.exit_reason == wire::ExitReason::kFailed) {
      ReportVerdict(m, *job, machine_health_.OnTaskFailed(m, *job, cluster_.machines, now), now);
    }
    if (job != nullptr && slot.exit_reason == wire::ExitReason::kUnknownJob) {
      job->not_before = std::max(job->not_before, now + settings_.heartbeat_s);
    }
    if (slot.exit_reason != wire::ExitReason::kStopped &&
        slot.exit_reason != wire::ExitReason::kSucceeded &&
        slot.exit_reason != wire::ExitReason::kGangMemberEnded) {
      spdlog::info("place: {} ended on {} why={}", wire::TaskName(task), m.id,
                   static_cast<int>(slot.exit_reason));
    }
  }
  const bool empty = std::all_of(m.allocations.begin(), m.allocations.end(),
                                 [](const auto& s) { return s.second.exited(); });
  if (empty) m.idle_since = now;
}

void Scheduler::OnTaskDone(Job& job, uint32_t index) {
  if (!job.MarkDone(index)) return;
  if (!shard_leases_.is_holder()) return durable_state_.OnTaskDone(job, index);
  // The leader writes what is done.
  shard_leases_.SendToLeader(
      {.kind = wire::ShardMessage::Kind::kTasksDone, .name = job.spec.id, .tasks = {index}});
}

// What people and successors are told of a verdict.
void Scheduler::ReportVerdict(const Machine& m, const Job& job, MachineHealth::Verdict verdict,
                              double now) {
  switch (verdict) {
    case MachineHealth::Verdict::kNone:
      return;
    case MachineHealth::Verdict::kMachineSlow:
      activity_.AddIncident(now, "machine " + m.id + " is far too slow and is put aside");
      spdlog::info("fleet: machine {} is put aside: {:.1f} times slower than others", m.id,
                   m.slowdown);
      return;
    case MachineHealth::Verdict::kMachineFaulty:
      activity_.AddIncident(now, "machine " + m.id + " fails its tasks and is put aside");
      spdlog::info("fleet: machine {} is put aside: it fails what does well elsewhere", m.id);
      return;
    case MachineHealth::Verdict::kJobCrashLooping:
      spdlog::info("jobs: {} fails everywhere, its tasks are held back", job.spec.id);
      activity_.AddIncident(now, job.spec.id + " fails on every machine");
      [[fallthrough]];
    case MachineHealth::Verdict::kJobStillCrashLooping:
      if (shard_leases_.is_holder()) {
        shard_leases_.SendToLeader({.kind = wire::ShardMessage::Kind::kCrashLoop,
                                    .name = job.spec.id,
                                    .count = std::max<uint32_t>(1, job.retries)});
        return;
      }
      durable_state_.RecordCrashLoop(job.spec.id, job.retries);
      return;
  }
}

std::vector<wire::Command> Scheduler::MakeCommands(Machine& m, double now) {
  std::vector<wire::Command> out;
  const bool may_start = m.record_durable && cluster_.IsSchedulable(m, now);
  for (auto& [key, slot] : m.allocations) {
    if (out.size() >= kMaxCommands) break;
    const auto& [task, attempt] = key;
    if (slot.exited()) {
      const Job* job = slot.orphaned ? nullptr : cluster_.FindJob(task.job);
      const bool keep = job != nullptr && slot.exit_reason == wire::ExitReason::kSucceeded &&
                        !job->tasks[task.index].durable;
      if (keep) continue;
      slot.forget_sent_sequence = m.heartbeat_sequence;
      out.push_back({wire::CommandType::kForget, task, attempt, 0});
    } else if (slot.stop_requested && slot.state != Allocation::State::kPlanned) {
      slot.stop_sent_at = now;
      out.push_back({wire::CommandType::kStop, task, attempt, slot.grace_s});
    }
  }
  for (auto& [key, slot] : m.allocations) {
    if (out.size() >= kMaxCommands) break;
    if (slot.state != Allocation::State::kPlanned || !may_start) continue;
    slot.state = Allocation::State::kStartSent;
    slot.start_sent_sequence = m.heartbeat_sequence;
    slot.start_sent_token = m.fencing_token;
    out.push_back({wire::CommandType::kStart, key.first, key.second, 0});
  }
  return out;
}

}  // namespace mosspath::scheduler
