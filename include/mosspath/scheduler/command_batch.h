// Command batches: commands that go straight to agents, and what becomes of them.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "mosspath/wire/messages.h"

namespace mosspath::scheduler {

// Commands that are sent straight to an agent, so that they needn't wait for its next heartbeat. A
// batch without commands is a probe: it asks the agent for a heartbeat.
struct CommandBatch {
  std::string machine;
  std::string address;  // host and port of the agent
  // The agent executes the batch only under a token that is no lower than any that it has seen, and
  // only in this epoch.
  uint64_t fencing_token = 0;
  uint64_t agent_epoch = 0;
  std::vector<wire::Command> commands;
};

enum class CommandOutcome {
  // Status 200, with the agent's heartbeat after the commands.
  kExecuted,
  // Status 409, or the batch was never sent: nothing was executed, and nothing will be.
  kRefused,
  // The batch may have been executed, and may be until the machine's token or epoch rises.
  kUndetermined,
};

}  // namespace mosspath::scheduler
