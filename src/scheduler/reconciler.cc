#include "mosspath/scheduler/reconciler.h"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <iterator>
#include <utility>

#include "mosspath/scheduler/role.h"

namespace mosspath::scheduler {

using cluster::Allocation;
using cluster::AllocationKey;
using cluster::Machine;
using jobs::Job;
using jobs::TaskPhase;
using wire::ExitReason;
using wire::TaskState;

namespace {

// After this many consecutive answers without effect, this controller suspects that its answers do
// not reach the machine.
constexpr int kMaxIgnoredAnswers = 2;

// The value of Allocation::forget_sent_sequence while no answer contains a forget command for the
// attempt.
constexpr uint64_t kForgetNotSent = 0;

}  // namespace

void Reconciler::Reconcile(Machine& machine, const wire::Heartbeat& heartbeat, HeartbeatKind kind,
                           double now) {
  Pass pass{machine, heartbeat, kind, ++reconciled_heartbeats_, now};
  for (const wire::TaskStatus& status : heartbeat.tasks) ReconcileListedTask(pass, status);
  RemoveUnlistedAllocations(pass);
  if (pass.answer_had_effect) machine.ignored_answers = 0;
  const bool ignored =
      kind == HeartbeatKind::kPeriodic && pass.answer_was_ignored && !pass.answer_had_effect;
  if (ignored && ++machine.ignored_answers >= kMaxIgnoredAnswers) {
    lifecycle_.OnDeliveryFailureSuspected(machine);
  }
}

// ---------------------------------------------------------------------------- listed attempts

void Reconciler::ReconcileListedTask(Pass& pass, const wire::TaskStatus& status) {
  std::map<AllocationKey, Allocation>& allocations = pass.machine.allocations;
  const AllocationKey key{status.task, status.attempt};
  auto it = allocations.find(key);
  if (it == allocations.end()) {
    state_.command_monitor.OnAttemptRecovered(pass.machine, status);
    RecoverAllocation(pass.machine, status, pass.now);
    it = allocations.find(key);
    if (it != allocations.end()) it->second.last_listed_in = pass.pass_number;
    return;
  }
  UpdateAllocation(pass, key, it->second, status);
}

void Reconciler::UpdateAllocation(Pass& pass, const AllocationKey& key, Allocation& allocation,
                                  const wire::TaskStatus& status) {
  allocation.last_listed_in = pass.pass_number;
  pass.answer_had_effect =
      pass.answer_had_effect || allocation.state == Allocation::State::kStartSent;
  if (allocation.forget_sent_sequence != kForgetNotSent && pass.kind == HeartbeatKind::kPeriodic &&
      pass.heartbeat.sequence > allocation.forget_sent_sequence) {
    pass.answer_was_ignored = true;
    allocation.forget_sent_sequence = kForgetNotSent;
  }
  const bool had_exited = allocation.exited();
  if (allocation.reported != TaskState::kRunning && status.state == TaskState::kRunning) {
    OnTaskRunning(status.task, allocation, pass.now);
  }
  allocation.state = Allocation::State::kReported;
  allocation.reported = status.state;
  allocation.exit_reason = status.exit_reason;
  if (allocation.exited() && !had_exited) {
    OnTaskExited(pass.machine, key.first, allocation, pass.now);
  }
}

void Reconciler::OnTaskRunning(const wire::TaskId& task, Allocation& allocation, double now) {
  allocation.running_since = now;
  Job* job = allocation.orphaned ? nullptr : state_.cluster.FindJob(task.job);
  if (job == nullptr) return;
  const bool had_started = std::exchange(job->has_started, true);
  if (!had_started) {
    spdlog::debug("scheduler: job_started job={} class={} tasks={} waited_s={:.1f}", task.job,
                  job->spec.job_class, job->spec.tasks, now - job->submitted_at);
  }
  state_.activity.OnTaskStarted(*job, task.index, now);
}

// ---------------------------------------------------------------------------- unlisted attempts

void Reconciler::RemoveUnlistedAllocations(Pass& pass) {
  Machine& machine = pass.machine;
  for (auto it = machine.allocations.begin(); it != machine.allocations.end();) {
    const auto next = std::next(it);
    const Allocation& allocation = it->second;
    if (allocation.last_listed_in != pass.pass_number && WouldBeListed(pass, allocation)) {
      const bool start_was_lost = allocation.state == Allocation::State::kStartSent;
      pass.answer_had_effect =
          pass.answer_had_effect || allocation.forget_sent_sequence != kForgetNotSent;
      pass.answer_was_ignored =
          pass.answer_was_ignored || (start_was_lost && !allocation.start_sent_directly);
      if (start_was_lost) {
        spdlog::debug("scheduler: start_lost task={} machine={}", wire::TaskName(it->first.first),
                      machine.id);
      }
      state_.cluster.RemoveAllocation(machine, it, pass.now);
    }
    it = next;
  }
}

// Returns whether the absence of the attempt from the heartbeat proves that the attempt is not on
// the machine and that its start can't be executed any more. The agent makes its next periodic
// heartbeat only after the answer to the previous one has arrived or timed out, so a periodic
// heartbeat proves the absence of attempts whose start was sent in an earlier answer. The heartbeat
// in the answer to a command batch can be made while the answer to a periodic heartbeat is still in
// flight, so the heartbeat in the answer to the batch proves nothing about starts in the answer
// that is in flight.
bool Reconciler::WouldBeListed(const Pass& pass, const Allocation& allocation) {
  if (allocation.state == Allocation::State::kReported) return true;
  if (allocation.state != Allocation::State::kStartSent) return false;
  if (pass.kind != HeartbeatKind::kPeriodic && !allocation.start_sent_directly) return false;
  return pass.heartbeat.sequence > allocation.start_sent_sequence ||
         (allocation.start_unconfirmed &&
          pass.heartbeat.fencing_token > allocation.start_sent_token);
}

// ---------------------------------------------------------------------------- recovery

// Adds an attempt that this scheduler did not start: an earlier leader started it, or its job is
// over.
void Reconciler::RecoverAllocation(Machine& machine, const wire::TaskStatus& status, double now) {
  Job* job = state_.cluster.FindJobOf(status.task);
  Allocation allocation;
  allocation.state = Allocation::State::kReported;
  allocation.reported = status.state;
  allocation.exit_reason = status.exit_reason;
  allocation.placed_at = allocation.running_since = now;
  allocation.recovered = true;
  allocation.start_sent_directly = true;
  allocation.start_sent_token = machine.fencing_token;
  if (job != nullptr) {
    allocation.image = job->spec.image;
    allocation.team = job->spec.team;
    allocation.expected_run_s = ExpectedRunS(*job);
    machine.image_cache.MarkUsed(job->spec.image, job->spec.image_gb, machine.cache_gb);
  }
  const AllocationKey key{status.task, status.attempt};
  if (allocation.exited()) return RecoverExited(machine, job, key, std::move(allocation));
  RecoverRunning(machine, job, key, std::move(allocation), now);
}

// `job` is null if the job or the task does not exist any more.
void Reconciler::RecoverExited(Machine& machine, Job* job, const AllocationKey& key,
                               Allocation allocation) {
  const wire::TaskId& task = key.first;
  const bool succeeded = job != nullptr && allocation.exit_reason == ExitReason::kSucceeded;
  allocation.orphaned = !succeeded;
  if (succeeded) {
    EndReconciliationOf(task);
    if (job->tasks[task.index].phase == TaskPhase::kPlaced) {
      spdlog::debug("scheduler: earlier_attempt_succeeded task={} machine={}", wire::TaskName(task),
                    machine.id);
    }
    OnTaskDone(*job, task.index);
  }
  machine.allocations.emplace(key, std::move(allocation));
}

// `job` is null if the job or the task does not exist any more.
void Reconciler::RecoverRunning(Machine& machine, Job* job, const AllocationKey& key,
                                Allocation allocation, double now) {
  const wire::TaskId& task = key.first;
  if (job != nullptr) {
    if (job->tasks[task.index].phase == TaskPhase::kPlaced) RemovePlannedStart(task, now);
    if (state_.IsReconciling(task)) {
      EndReconciliationOf(task);
    } else {
      state_.role->OnAttemptRecovered(*job, task.index);
    }
    allocation.cpus = job->spec.cpus;
    allocation.gpus = job->spec.gpus;
    allocation.memory_gb = job->spec.memory_gb;
  } else {
    state_.cluster.quota.AddUnknownTask();
  }
  const bool is_pending = job != nullptr && job->tasks[task.index].phase == TaskPhase::kPending;
  const bool is_duplicate = job != nullptr && !is_pending;
  if (!is_pending) {
    allocation.orphaned = true;
    if (is_duplicate) state_.cluster.AddDuplicate(task, machine.id);
    if (job == nullptr) allocation.job_end_seen_at = now;
    cluster::RequestStop(machine, allocation, /*grace_s=*/0);
    spdlog::info("scheduler: stopping_task task={} machine={} cause={}", wire::TaskName(task),
                 machine.id, is_duplicate ? "elsewhere_or_done" : "job_over");
  }
  state_.cluster.Allocate(machine, key, std::move(allocation));
  if (is_duplicate) {
    // If the task was withheld because a start may have reached another machine, this attempt is
    // the result of that start, and the task need not be withheld any more.
    state_.unconfirmed_starts.Forget(task);
    state_.cluster.ReleaseWithheld(task);
  }
}

// Withdraws a planned start of the task on another machine. A start that was sent can't be
// withdrawn.
void Reconciler::RemovePlannedStart(const wire::TaskId& task, double now) {
  for (auto& [id, machine] : state_.cluster.machines) {
    for (auto it = machine.allocations.lower_bound({task, 0});
         it != machine.allocations.end() && it->first.first == task; ++it) {
      if (it->second.state != Allocation::State::kPlanned) continue;
      state_.cluster.RemoveAllocation(machine, it, now);
      break;
    }
  }
}

void Reconciler::EndReconciliationOf(const wire::TaskId& task) {
  if (!state_.IsReconciling(task)) return;
  state_.cluster.ReturnDelegated(task, state_.cluster.delegated_tasks.LeaseOf(task));
}

// ---------------------------------------------------------------------------- ended attempts

void Reconciler::OnTaskExited(Machine& machine, const wire::TaskId& task, Allocation& allocation,
                              double now) {
  Job* job = allocation.orphaned ? nullptr : state_.cluster.FindJob(task.job);
  state_.stop_monitor.OnExited(machine, task, allocation, now);
  state_.cluster.changed_since_pass = true;
  state_.cluster.ReleaseResources(machine, allocation, task);
  if (job != nullptr && allocation.exit_reason == ExitReason::kSucceeded) {
    OnTaskSucceeded(machine, *job, task, allocation, now);
  } else {
    OnTaskStoppedOrFailed(machine, job, task, allocation, now);
  }
  const bool is_idle = std::all_of(machine.allocations.begin(), machine.allocations.end(),
                                   [](const auto& it) { return it.second.exited(); });
  if (is_idle) machine.idle_since = now;
}

void Reconciler::OnTaskSucceeded(Machine& machine, Job& job, const wire::TaskId& task,
                                 const Allocation& allocation, double now) {
  OnTaskDone(job, task.index);
  const bool run_time_known = allocation.running_since > 0 && !allocation.recovered;
  if (run_time_known) {
    const double ran_s = now - allocation.running_since;
    OnHealthVerdict(machine, job, state_.machine_health.OnTaskTimed(machine, job, ran_s), now);
  }
  const bool was_crash_looping = state_.machine_health.OnTaskSucceeded(machine, job);
  if (was_crash_looping) state_.role->OnCrashLoopEnded(job);
}

// `job` is null if the job is over, or if the attempt is orphaned and was only to be stopped.
void Reconciler::OnTaskStoppedOrFailed(Machine& machine, Job* job, const wire::TaskId& task,
                                       const Allocation& allocation, double now) {
  const ExitReason reason = allocation.exit_reason;
  if (job != nullptr && reason == ExitReason::kFailed) {
    const auto verdict =
        state_.machine_health.OnTaskFailed(machine, *job, state_.cluster.machines, now);
    OnHealthVerdict(machine, *job, verdict, now);
  }
  if (job != nullptr && reason == ExitReason::kUnknownJob) {
    job->not_before = std::max(job->not_before, now + state_.settings.heartbeat_s);
  }
  if (reason != ExitReason::kStopped && reason != ExitReason::kSucceeded &&
      reason != ExitReason::kGangMemberEnded) {
    spdlog::info("scheduler: task_ended task={} machine={} exit_reason={}", wire::TaskName(task),
                 machine.id, static_cast<int>(reason));
  }
}

void Reconciler::OnTaskDone(Job& job, uint32_t index) {
  if (job.MarkDone(index)) state_.role->OnTaskDone(job, index);
}

// Logs a verdict, adds it to the incidents of the status page, and passes crash loops to the role.
void Reconciler::OnHealthVerdict(const Machine& machine, const Job& job,
                                 MachineHealth::Verdict verdict, double now) {
  switch (verdict) {
    case MachineHealth::Verdict::kNone:
      return;
    case MachineHealth::Verdict::kMachineSlow:
      state_.activity.AddIncident(now,
                                  "machine " + machine.id + " is far too slow and is put aside");
      spdlog::info("scheduler: machine_quarantined machine={} cause=slow slowdown={:.1f}",
                   machine.id, machine.slowdown);
      return;
    case MachineHealth::Verdict::kMachineFaulty:
      state_.activity.AddIncident(now,
                                  "machine " + machine.id + " fails its tasks and is put aside");
      spdlog::info("scheduler: machine_quarantined machine={} cause=faulty", machine.id);
      return;
    case MachineHealth::Verdict::kJobCrashLooping:
      spdlog::info("scheduler: job_crash_looping job={}", job.spec.id);
      state_.activity.AddIncident(now, job.spec.id + " fails on every machine");
      state_.role->OnCrashLoop(job);
      return;
    case MachineHealth::Verdict::kJobStillCrashLooping:
      state_.role->OnCrashLoop(job);
      return;
  }
}

}  // namespace mosspath::scheduler
