// Orders that go straight to workers, and what becomes of them.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "mosspath/wire/messages.h"

namespace mosspath::scheduler {

// Commands to go straight to a worker, so that they needn't wait for its next report. Without
// commands: a question what it has.
struct CommandBatch {
  std::string machine;
  std::string address;
  uint64_t fencing_token = 0;
  uint64_t agent_epoch = 0;
  std::vector<wire::Command> commands;
};

enum class CommandOutcome {
  kExecuted,      // 200, with the worker's report after the commands
  kRefused,       // 409, or never sent: nothing was executed and nothing will be
  kUndetermined,  // executed, or not, or later, until the token or the session rises
};

}  // namespace mosspath::scheduler
