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
  // The agent executes the batch only in this epoch, and only if the token is no lower than any
  // token that it has seen.
  uint64_t fencing_token = 0;
  uint64_t agent_epoch = 0;
  std::vector<wire::Command> commands;
};

enum class CommandOutcome {
  // Status 200, with the agent's heartbeat after the commands.
  kExecuted,
  // Status 409, or the batch was never sent: nothing was executed, and nothing will be.
  kRefused,
  // The batch may have been executed, or may still be until the machine's token or epoch rises.
  kUndetermined,
};

}  // namespace mosspath::scheduler
