// Sends the leader's commands directly to the agents of machines. Not thread-safe.
#pragma once

#include <cstddef>
#include <functional>
#include <memory>

#include "mosspath/net/malformed_message.h"
#include "mosspath/net/socket_budget.h"
#include "mosspath/scheduler/command_batch.h"
#include "mosspath/service/command_client.h"
#include "mosspath/service/leader_context.h"
#include "mosspath/wire/messages.h"

namespace mosspath::service {

class LeaderCommandSender {
 public:
  // `on_heartbeat` is called after the heartbeat in an agent's answer was processed.
  LeaderCommandSender(const LeaderContext& context, std::shared_ptr<net::SocketBudget> sockets,
                      net::OnMalformed on_malformed, std::function<void()> on_heartbeat);

  // Sets how many seconds late the event loop runs its timers. If the event loop is late, few
  // commands are sent at once.
  void set_loop_delay(double seconds) { loop_delay_s_ = seconds; }
  // Sends the scheduler's pending command batches, up to the current capacity.
  void SendCommands();
  // Closes the connections to machines that the scheduler no longer has.
  void CloseUnusedConnections();
  void Stop() { client_.Clear(); }

 private:
  [[nodiscard]] size_t Capacity() const;
  void SendBatch(scheduler::CommandBatch batch);
  void OnOutcome(const scheduler::CommandBatch& batch, scheduler::CommandOutcome outcome,
                 const wire::Heartbeat* heartbeat);

  const LeaderContext context_;
  const net::OnMalformed on_malformed_;
  const std::function<void()> on_heartbeat_;
  CommandClient client_;
  double loop_delay_s_ = 0;
};

}  // namespace mosspath::service
