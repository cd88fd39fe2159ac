#include "mosspath/service/leader_command_sender.h"

#include <algorithm>
#include <string>
#include <utility>

#include "mosspath/net/timer.h"

namespace mosspath::service {
namespace {

// The event loop is late if its timers run later than this many heartbeat intervals.
constexpr double kMaxLoopDelayHeartbeats = 0.1;
// Number of command batches that are sent at once while the event loop is late.
constexpr size_t kMaxBatchesWhenLate = 8;

}  // namespace

LeaderCommandSender::LeaderCommandSender(const LeaderContext& context,
                                         std::shared_ptr<net::SocketBudget> sockets,
                                         net::OnMalformed on_malformed,
                                         std::function<void()> on_heartbeat)
    : context_(context),
      on_malformed_(std::move(on_malformed)),
      on_heartbeat_(std::move(on_heartbeat)),
      client_(context.io, std::move(sockets)) {}

// A command or a probe costs the event loop as much time as a heartbeat. While the event loop is
// late, heartbeats wait to be handled. Heartbeats come first, since they renew agent leases and
// carry the same information as the answers to probes. When a new leader probed all its machines
// first, agents that already sent their heartbeats to the leader got the answers too late, and
// their tasks were lost.
size_t LeaderCommandSender::Capacity() const {
  const size_t capacity = client_.Capacity();
  const bool late = loop_delay_s_ > kMaxLoopDelayHeartbeats * context_.settings.heartbeat_s;
  return late ? std::min(capacity, kMaxBatchesWhenLate) : capacity;
}

void LeaderCommandSender::SendCommands() {
  for (scheduler::CommandBatch& batch : context_.scheduler.TakeCommands(net::Now(), Capacity())) {
    SendBatch(std::move(batch));
  }
}

void LeaderCommandSender::SendBatch(scheduler::CommandBatch batch) {
  const bool is_probe = batch.commands.empty();
  const double timeout_s =
      is_probe ? context_.derived.probe_answer_s : context_.settings.heartbeat_s;
  client_.Send(
      std::move(batch), timeout_s, on_malformed_,
      context_.term.Guard(
          [this](const scheduler::CommandBatch& sent, scheduler::CommandOutcome outcome,
                 const wire::Heartbeat* heartbeat) { OnOutcome(sent, outcome, heartbeat); }),
      context_.term.MayStillAct());
}

void LeaderCommandSender::OnOutcome(const scheduler::CommandBatch& batch,
                                    scheduler::CommandOutcome outcome,
                                    const wire::Heartbeat* heartbeat) {
  context_.scheduler.OnCommandOutcome(batch, outcome, heartbeat, net::Now());
  if (heartbeat != nullptr) on_heartbeat_();
}

void LeaderCommandSender::CloseUnusedConnections() {
  client_.Forget(
      [this](const std::string& id) { return !context_.scheduler.machines().contains(id); });
}

}  // namespace mosspath::service
