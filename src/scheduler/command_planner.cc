#include "mosspath/scheduler/command_planner.h"

#include <algorithm>
#include <utility>

#include "mosspath/scheduler/role.h"

namespace mosspath::scheduler {

using cluster::Allocation;
using cluster::Machine;
using jobs::Job;

namespace {

// Maximum number of commands in an answer or a batch. Keeps the message well below the 64 KiB limit
// on the length of a line.
constexpr size_t kMaxCommands = 400;
// No start is sent directly to a machine without contact for this many heartbeat intervals.
constexpr double kMaxContactAgeHeartbeats = 1.5;
// The value of Machine::ignored_answers_token while no answer is suspected to be without effect.
constexpr uint64_t kNoIgnoredAnswersToken = 0;

// Whether the attempt may be on the machine and is to be stopped.
bool AwaitsStop(const Allocation& allocation) {
  return allocation.stop_requested && !allocation.exited() &&
         allocation.state != Allocation::State::kPlanned;
}

bool IsUnconfirmedStart(const Allocation& allocation) {
  return allocation.start_unconfirmed && allocation.state == Allocation::State::kStartSent;
}

bool HasUnconfirmedStart(const Machine& machine) {
  return std::any_of(machine.allocations.begin(), machine.allocations.end(),
                     [](const auto& it) { return IsUnconfirmedStart(it.second); });
}

// Whether the machine may still execute a start that got no answer, and a heartbeat that lists the
// attempt or not would count as current.
bool HasUnconfirmedStartUnderCurrentToken(const Machine& machine) {
  return std::any_of(machine.allocations.begin(), machine.allocations.end(), [&](const auto& it) {
    return IsUnconfirmedStart(it.second) && machine.IsCurrentToken(it.second.start_sent_token);
  });
}

}  // namespace

// ---------------------------------------------------------------------------- answers

// Stops come first, because the answer renews the lease under which the tasks run. The limit on
// commands delays starts first, and then forget commands.
std::vector<wire::Command> CommandPlanner::TakeHeartbeatCommands(Machine& machine, double now) {
  RaiseTokenForForgets(machine);
  std::vector<wire::Command> commands;
  AppendStops(machine, now, commands);
  AppendForgets(machine, commands);
  AppendStarts(machine, now, commands);
  return commands;
}

void CommandPlanner::AppendStops(Machine& machine, double now,
                                 std::vector<wire::Command>& commands) {
  for (auto& [key, allocation] : machine.allocations) {
    if (commands.size() >= kMaxCommands) return;
    if (!AwaitsStop(allocation)) continue;
    allocation.stop_sent_at = now;
    commands.push_back({wire::CommandType::kStop, key.first, key.second, allocation.grace_s});
    OnSent(machine, commands.back(), CommandRoute::kHeartbeatAnswer);
  }
}

void CommandPlanner::AppendForgets(Machine& machine, std::vector<wire::Command>& commands) const {
  size_t kept = 0;
  bool needs_higher_token = false;
  for (auto& [key, allocation] : machine.allocations) {
    if (!allocation.exited()) continue;
    const bool forgettable = allocation.CanBeForgottenUnder(machine.fencing_token);
    needs_higher_token = needs_higher_token || !forgettable;
    if (!forgettable || commands.size() >= kMaxCommands ||
        AwaitsDurableCompletion(key.first, allocation)) {
      ++kept;
      continue;
    }
    allocation.forget_sent_sequence = machine.heartbeat_sequence;
    commands.push_back({wire::CommandType::kForget, key.first, key.second, 0});
    state_.command_monitor.OnForgetSent(machine, key, allocation);
  }
  machine.kept_attempts = kept;
  if (needs_higher_token) state_.command_monitor.OnForgetsLeftOut();
}

void CommandPlanner::AppendStarts(Machine& machine, double now,
                                  std::vector<wire::Command>& commands) {
  if (!machine.record_durable || !state_.cluster.IsSchedulable(machine, now)) return;
  for (auto& [key, allocation] : machine.allocations) {
    if (commands.size() >= kMaxCommands) return;
    if (allocation.state != Allocation::State::kPlanned) continue;
    allocation.state = Allocation::State::kStartSent;
    allocation.start_sent_sequence = machine.heartbeat_sequence;
    allocation.start_sent_token = machine.fencing_token;
    commands.push_back({wire::CommandType::kStart, key.first, key.second, 0});
    OnSent(machine, commands.back(), CommandRoute::kHeartbeatAnswer);
  }
}

// Does not mark the stops as sent: the heartbeat may be delayed, and then the agent ignores the
// answer. A stop of an attempt that is not on the machine has no effect.
std::vector<wire::Command> CommandPlanner::StopsUnderNewToken(
    const Machine& machine, const std::vector<wire::TaskStatus>& listed) const {
  std::vector<wire::Command> stops;
  for (const auto& [key, allocation] : machine.allocations) {
    if (!AwaitsStop(allocation)) continue;
    stops.push_back({wire::CommandType::kStop, key.first, key.second, allocation.grace_s});
  }
  for (const wire::TaskStatus& status : listed) {
    if (status.state == wire::TaskState::kExited) continue;
    if (machine.allocations.contains({status.task, status.attempt})) continue;
    if (state_.cluster.FindJobOf(status.task) != nullptr) continue;
    stops.push_back({wire::CommandType::kStop, status.task, status.attempt, /*grace_s=*/0});
  }
  if (stops.size() > kMaxCommands) stops.resize(kMaxCommands);
  return stops;
}

void CommandPlanner::OnSent(const Machine& machine, const wire::Command& command,
                            CommandRoute route) {
  const Job* job = state_.cluster.FindJobOf(command.task);
  const bool repeated = job != nullptr && job->tasks[command.task.index].attempts > 1;
  state_.command_monitor.OnCommandSent(machine, command, route, repeated);
}

// Whether the agent must keep a successful attempt because its completion is not durable yet.
bool CommandPlanner::AwaitsDurableCompletion(const wire::TaskId& task,
                                             const Allocation& allocation) const {
  if (allocation.orphaned || allocation.exit_reason != wire::ExitReason::kSucceeded) return false;
  const Job* job = state_.cluster.FindJob(task.job);
  return job != nullptr && !job->tasks[task.index].durable;
}

// ---------------------------------------------------------------------------- batches

std::vector<CommandBatch> CommandPlanner::TakeBatches(double now, size_t max_batches) {
  std::vector<CommandBatch> batches;
  if (NeedsProbes(now)) {
    state_.failover.TakeProbes(state_.cluster.machines, now, max_batches, batches);
  }
  for (auto& [id, machine] : state_.cluster.machines) {
    if (batches.size() >= max_batches) break;
    if (!machine.has_pending_commands || machine.command_in_flight || !machine.token_confirmed ||
        machine.lost || machine.deleting) {
      continue;
    }
    std::vector<wire::Command> commands = TakeDirectCommands(machine, now);
    if (commands.empty()) continue;
    state_.stop_monitor.OnBatchSent(machine, commands, now);
    for (const auto& command : commands) OnSent(machine, command, CommandRoute::kDirect);
    machine.command_in_flight = true;
    batches.push_back(
        {id, machine.address, machine.fencing_token, machine.agent_epoch, std::move(commands)});
  }
  return batches;
}

bool CommandPlanner::NeedsProbes(double now) const {
  return !state_.failover.recovery_complete() || state_.failover.agents_may_be_searching(now) ||
         !state_.reconciliation.empty() || state_.role->ProbesAtAllTimes();
}

std::vector<wire::Command> CommandPlanner::TakeDirectCommands(Machine& machine, double now) {
  const double max_contact_age_s = kMaxContactAgeHeartbeats * state_.settings.heartbeat_s;
  const bool may_start = machine.record_durable && state_.cluster.IsSchedulable(machine, now) &&
                         now - machine.last_contact_at < max_contact_age_s;
  machine.has_pending_commands = false;
  std::vector<wire::Command> commands;
  for (auto& [key, allocation] : machine.allocations) {
    const bool planned = allocation.state == Allocation::State::kPlanned;
    const bool to_stop = allocation.stop_requested && !allocation.exited();
    machine.has_pending_commands = machine.has_pending_commands || planned || to_stop;
    if (commands.size() >= kMaxCommands) {
      machine.has_pending_commands = true;
      break;
    }
    if (planned) {
      if (!may_start) continue;
      allocation.state = Allocation::State::kStartSent;
      allocation.start_sent_sequence = cluster::kNoHeartbeat;
      allocation.start_sent_directly = true;
      allocation.start_sent_at = now;
      allocation.start_sent_token = machine.fencing_token;
      commands.push_back({wire::CommandType::kStart, key.first, key.second, 0});
    } else if (to_stop && now - allocation.stop_sent_at > state_.settings.heartbeat_s) {
      allocation.stop_sent_at = now;
      commands.push_back({wire::CommandType::kStop, key.first, key.second, allocation.grace_s});
    }
  }
  return commands;
}

// ---------------------------------------------------------------------------- tokens

void CommandPlanner::RaiseTokens() {
  for (auto& [id, machine] : state_.cluster.machines) {
    const bool answers_ignored = machine.ignored_answers_token == machine.fencing_token;
    if (!machine.has_unconfirmed_starts && !answers_ignored) continue;
    machine.has_unconfirmed_starts = HasUnconfirmedStart(machine);
    if (answers_ignored || HasUnconfirmedStartUnderCurrentToken(machine)) RaiseToken(machine);
  }
  RequestTokenForForgets();
}

// One write gives a newer token to all machines.
void CommandPlanner::RequestTokenForForgets() {
  const uint64_t newest_revision = state_.durable_state.newest_revision();
  for (const auto& [id, machine] : state_.cluster.machines) {
    const bool waits = machine.awaits_newer_token && machine.fencing_token >= newest_revision;
    if (!waits || !machine.in_record) continue;
    state_.durable_state.RequestNewerRevision(id);
    return;
  }
}

// A copy of a direct start may reach the agent at any later time, and starts the attempt again if
// the agent has forgotten it. The answer that contains the forget command therefore raises the
// token, and from then on the agent refuses the copy. Heartbeats under the present token stay
// evidence of the machine's state, since no command under that token is outstanding: a direct batch
// in flight would be refused under the higher token, so the token is not raised meanwhile.
void CommandPlanner::RaiseTokenForForgets(Machine& machine) {
  const bool needs_higher_token =
      std::any_of(machine.allocations.begin(), machine.allocations.end(), [&](const auto& it) {
        const auto& [key, allocation] = it;
        return allocation.exited() && !allocation.CanBeForgottenUnder(machine.fencing_token) &&
               !AwaitsDurableCompletion(key.first, allocation);
      });
  const uint64_t newest_revision = state_.durable_state.newest_revision();
  machine.awaits_newer_token = needs_higher_token && newest_revision <= machine.fencing_token;
  const bool answers_ignored = machine.ignored_answers_token == machine.fencing_token;
  if (!needs_higher_token || machine.awaits_newer_token || machine.command_in_flight ||
      answers_ignored) {
    return;
  }
  const uint64_t earlier_token = std::exchange(machine.fencing_token, newest_revision);
  state_.command_monitor.OnTokenRaised(machine, earlier_token, TokenRaiseCause::kForget);
}

// Sets the machine's token to the store revision of the last write. If that revision is not higher
// than the present token, requests a write of the machine's record instead: the token is raised by
// a later call, when the record has been written.
void CommandPlanner::RaiseToken(Machine& machine) {
  const uint64_t newest_revision = state_.durable_state.newest_revision();
  if (newest_revision <= machine.fencing_token) {
    state_.durable_state.RewriteMachine(machine.id);
    return;
  }
  const uint64_t earlier_token = machine.fencing_token;
  machine.RequireToken(newest_revision);
  machine.token_unconfirmed_since = 0;
  const bool answers_ignored = machine.ignored_answers_token != kNoIgnoredAnswersToken;
  state_.command_monitor.OnTokenRaised(
      machine, earlier_token,
      answers_ignored ? TokenRaiseCause::kAnswersIgnored : TokenRaiseCause::kStartUnanswered);
  machine.ignored_answers_token = kNoIgnoredAnswersToken;
}

}  // namespace mosspath::scheduler
