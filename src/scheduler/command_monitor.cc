#include "mosspath/scheduler/command_monitor.h"

#include <spdlog/spdlog.h>

#include "mosspath/wire/json.h"

namespace mosspath::scheduler {

using cluster::Allocation;
using cluster::AllocationKey;
using cluster::Machine;

namespace {

const char* Name(CommandRoute route) {
  return route == CommandRoute::kDirect ? "direct" : "heartbeat_answer";
}

const char* Name(TokenRaiseCause cause) {
  switch (cause) {
    case TokenRaiseCause::kStartUnanswered:
      return "start_unanswered";
    case TokenRaiseCause::kAnswersIgnored:
      return "answers_ignored";
    case TokenRaiseCause::kForget:
      break;
  }
  return "forget";
}

// Starts of tasks that were started before and forgets of unsuccessful attempts are few, and are
// what an incident with two copies of a task turns on. All others are logged for debugging only.
spdlog::level::level_enum LevelOf(bool notable) {
  return notable ? spdlog::level::info : spdlog::level::debug;
}

}  // namespace

void CommandMonitor::OnCommandSent(const Machine& machine, const wire::Command& command,
                                   CommandRoute route, bool repeated) {
  const bool is_start = command.type == wire::CommandType::kStart;
  if (!is_start) {
    ++counts_.stops;
  } else if (route == CommandRoute::kDirect) {
    ++counts_.direct_starts;
  } else {
    ++counts_.heartbeat_starts;
  }
  const auto level = LevelOf(is_start && repeated);
  if (!spdlog::should_log(level)) return;
  spdlog::log(level,
              "scheduler: {} task={} attempt={} machine={} token={} epoch={} route={} repeated={}",
              is_start ? "start_sent" : "stop_sent", wire::TaskName(command.task), command.attempt,
              machine.id, machine.fencing_token, machine.agent_epoch, Name(route), repeated);
}

void CommandMonitor::OnForgetSent(const Machine& machine, const AllocationKey& key,
                                  const Allocation& allocation) {
  ++counts_.forgets;
  const auto level = LevelOf(allocation.exit_reason != wire::ExitReason::kSucceeded);
  if (!spdlog::should_log(level)) return;
  spdlog::log(level,
              "scheduler: forget_sent task={} attempt={} machine={} token={} epoch={} "
              "start_token={} started_directly={} exit_reason={}",
              wire::TaskName(key.first), key.second, machine.id, machine.fencing_token,
              machine.agent_epoch, allocation.start_sent_token, allocation.start_sent_directly,
              static_cast<int>(allocation.exit_reason));
}

void CommandMonitor::OnTokenRaised(const Machine& machine, uint64_t from, TokenRaiseCause cause) {
  const bool for_forget = cause == TokenRaiseCause::kForget;
  if (for_forget) {
    ++counts_.tokens_raised_for_forgets;
  } else if (cause == TokenRaiseCause::kAnswersIgnored) {
    ++counts_.tokens_raised_for_answers;
  } else {
    ++counts_.tokens_raised_for_starts;
  }
  spdlog::log(LevelOf(!for_forget),
              "scheduler: token_raised machine={} token={} from={} epoch={} cause={}", machine.id,
              machine.fencing_token, from, machine.agent_epoch, Name(cause));
}

void CommandMonitor::OnAttemptRecovered(const Machine& machine, const wire::TaskStatus& status) {
  ++counts_.recovered_attempts;
  if (!spdlog::should_log(spdlog::level::debug)) return;
  spdlog::debug("scheduler: attempt_recovered task={} attempt={} machine={} token={} epoch={}",
                wire::TaskName(status.task), status.attempt, machine.id, machine.fencing_token,
                machine.agent_epoch);
}

}  // namespace mosspath::scheduler
