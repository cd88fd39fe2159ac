// Plans what is sent to agents: the commands in the answers to their heartbeats, the command
// batches that are sent directly to them, and the fencing tokens of both. Pure.
#pragma once

#include <cstddef>
#include <limits>
#include <vector>

#include "mosspath/scheduler/command_batch.h"
#include "mosspath/scheduler/command_monitor.h"
#include "mosspath/scheduler/scheduler_state.h"
#include "mosspath/wire/messages.h"

namespace mosspath::scheduler {

inline constexpr size_t kUnlimitedBatches = std::numeric_limits<size_t>::max();

// Not thread-safe.
class CommandPlanner {
 public:
  // `state` must outlive this object.
  explicit CommandPlanner(SchedulerState& state) : state_(state) {}

  // Returns the commands for the answer to the machine's periodic heartbeat, and marks their starts
  // as sent.
  std::vector<wire::Command> TakeHeartbeatCommands(cluster::Machine& machine, double now);
  // Returns the stops for the answer to a periodic heartbeat that does not carry the machine's
  // present token: the requested stops, and a stop for each listed attempt whose job has ended.
  std::vector<wire::Command> StopsUnderNewToken(const cluster::Machine& machine,
                                                const std::vector<wire::TaskStatus>& listed) const;
  // Returns the probes that are due, and the commands that can be sent directly instead of with the
  // answers to the machines' next heartbeats. Returns at most `max_batches` batches, and none for a
  // machine with a batch in flight.
  std::vector<CommandBatch> TakeBatches(double now, size_t max_batches);
  // Raises the token of each machine whose agent has not answered a start sent under the present
  // token, or on whose agent the answers to heartbeats have no effect. An agent may execute an
  // unanswered start until it receives a higher token. The new token is the store revision of a
  // later write by this leader, which is lower than the token of any later leader. Requests such a
  // write if attempts can't be forgotten without a higher token.
  void RaiseTokens();

 private:
  // Each of these functions appends the commands of one type for the answer to a heartbeat.
  void AppendStops(cluster::Machine& machine, double now, std::vector<wire::Command>& commands);
  void AppendForgets(cluster::Machine& machine, std::vector<wire::Command>& commands) const;
  void AppendStarts(cluster::Machine& machine, double now, std::vector<wire::Command>& commands);

  void OnSent(const cluster::Machine& machine, const wire::Command& command, CommandRoute route);
  bool NeedsProbes(double now) const;
  std::vector<wire::Command> TakeDirectCommands(cluster::Machine& machine, double now);
  bool AwaitsDurableCompletion(const wire::TaskId& task,
                               const cluster::Allocation& allocation) const;
  void RaiseToken(cluster::Machine& machine);
  void RaiseTokenForForgets(cluster::Machine& machine);
  void RequestTokenForForgets();

  SchedulerState& state_;
};

}  // namespace mosspath::scheduler
