// Observes the commands that are sent to agents and the tokens that are raised: logs them, and
// counts them for the metrics. Changes no decision. No I/O except logging.
#pragma once

#include <cstdint>

#include "mosspath/cluster/machine.h"
#include "mosspath/wire/messages.h"

namespace mosspath::scheduler {

// How commands reach an agent.
enum class CommandRoute { kHeartbeatAnswer, kDirect };

// Why the fencing token of a machine is raised.
enum class TokenRaiseCause { kStartUnanswered, kAnswersIgnored, kForget };

// Counts of one term of leadership or of one shard lease.
struct CommandCounts {
  uint64_t direct_starts = 0;
  uint64_t heartbeat_starts = 0;
  uint64_t stops = 0;
  uint64_t forgets = 0;
  // Heartbeat answers that left out a forget command, because it needs a higher token.
  uint64_t answers_without_forgets = 0;
  uint64_t tokens_raised_for_starts = 0;   // a start got no answer
  uint64_t tokens_raised_for_answers = 0;  // answers had no effect
  uint64_t tokens_raised_for_forgets = 0;
  // Attempts that an agent listed although this controller had no allocation for them.
  uint64_t recovered_attempts = 0;
};

// Not thread-safe.
class CommandMonitor {
 public:
  // `repeated`: the command is the start of a task that this controller has started before.
  void OnCommandSent(const cluster::Machine& machine, const wire::Command& command,
                     CommandRoute route, bool repeated);
  // A forget command for the attempt is sent in the answer to a heartbeat.
  void OnForgetSent(const cluster::Machine& machine, const cluster::AllocationKey& key,
                    const cluster::Allocation& allocation);
  void OnForgetsLeftOut() { ++counts_.answers_without_forgets; }
  void OnTokenRaised(const cluster::Machine& machine, uint64_t from, TokenRaiseCause cause);
  // The agent listed an attempt for which this controller had no allocation.
  void OnAttemptRecovered(const cluster::Machine& machine, const wire::TaskStatus& status);

  const CommandCounts& counts() const { return counts_; }

 private:
  CommandCounts counts_;
};

}  // namespace mosspath::scheduler
