// What agents are told: the commands in the answers to their heartbeats, the command batches that
// go straight to them, and the fencing tokens that these are given under. Pure.
#pragma once

#include <cstddef>
#include <limits>
#include <vector>

#include "mosspath/scheduler/command_batch.h"
#include "mosspath/scheduler/scheduler_state.h"
#include "mosspath/wire/messages.h"

namespace mosspath::scheduler {

inline constexpr size_t kUnlimitedBatches = std::numeric_limits<size_t>::max();

class CommandPlanner {
 public:
  // `state` outlives this object.
  explicit CommandPlanner(SchedulerState& state) : state_(state) {}

  // Returns the commands for the answer to the machine's periodic heartbeat, and counts their
  // starts as sent.
  std::vector<wire::Command> TakeAnswer(cluster::Machine& machine, double now);
  // Returns probes that are due and commands that need not wait for the machines' next heartbeats,
  // at most `max_batches`; at most one batch is in flight to each machine.
  std::vector<CommandBatch> TakeBatches(double now, size_t max_batches);
  // Gives a higher token to machines where a start got no answer, or where answers have no effect.
  // A start without an answer can be executed until the agent sees a higher token. The revision of
  // a later write of ours is one, and is lower than the token of any later leader.
  void RaiseTokens();

 private:
  bool NeedsProbes(double now) const;
  std::vector<wire::Command> TakeDirectCommands(cluster::Machine& machine, double now);
  bool MustKeep(const wire::TaskId& task, const cluster::Allocation& allocation) const;
  void RaiseToken(cluster::Machine& machine);

  SchedulerState& state_;
};

}  // namespace mosspath::scheduler
