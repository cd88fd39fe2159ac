// Command batches, which are sent directly to agents, and their outcomes.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "mosspath/wire/messages.h"

namespace mosspath::scheduler {

// Commands that are sent directly to an agent instead of with the answer to its next heartbeat. A
// batch without commands is a probe: it requests a heartbeat from the agent.
struct CommandBatch {
  std::string machine;
  std::string address;  // host and port of the agent
  // The agent executes the batch only if `agent_epoch` is the agent's epoch and `fencing_token` is
  // no lower than any token that the agent has received.
  uint64_t fencing_token = 0;
  uint64_t agent_epoch = 0;
  std::vector<wire::Command> commands;
};

enum class CommandOutcome {
  // The agent answered with status 200 and a heartbeat from after the execution of the commands.
  kExecuted,
  // The agent answered with status 409, or the batch was never sent. No command of the batch has
  // been or will be executed.
  kRefused,
  // The agent may have executed the batch, or may still execute it until the machine's token or
  // epoch rises.
  kUndetermined,
};

}  // namespace mosspath::scheduler
