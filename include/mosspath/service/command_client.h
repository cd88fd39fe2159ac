// Sends command batches to agents over direct connections, within the socket budget. Each machine
// has at most one connection. If the socket budget is used up, a new connection replaces the idle
// connection that was used least recently. Commands that can't be sent over a direct connection are
// delivered with the answer to the agent's next heartbeat. Owns the connections. Not thread-safe.
#pragma once

#include <asio/io_context.hpp>
#include <functional>
#include <list>
#include <memory>
#include <string>
#include <unordered_map>

#include "mosspath/net/http_client.h"
#include "mosspath/net/malformed_message.h"
#include "mosspath/net/socket_budget.h"
#include "mosspath/scheduler/command_batch.h"
#include "mosspath/wire/messages.h"

namespace mosspath::service {

class CommandClient {
 public:
  CommandClient(asio::io_context& io, std::shared_ptr<net::SocketBudget> sockets)
      : io_(io), sockets_(std::move(sockets)) {}

  // Returns how many batches can be sent now.
  size_t Capacity() const;
  // Returns the machine's connection, or null if the address is unusable or a batch to another
  // address of the machine is unanswered. This object owns the connection; the pointer is valid
  // until the next call of any function of this object.
  net::HttpClient* ClientFor(const std::string& machine, const std::string& address);
  // Receives the batch, its outcome and the heartbeat in the agent's answer. The heartbeat has
  // default values if there is no valid answer, and is null if the agent's address is unusable.
  using Done = std::function<void(const scheduler::CommandBatch&, scheduler::CommandOutcome,
                                  const wire::Heartbeat* heartbeat)>;
  // Sends the batch. `still_wanted` is evaluated right before the request is sent.
  void Send(scheduler::CommandBatch batch, double timeout_s, net::OnMalformed on_malformed,
            Done done, net::HttpClient::StillWanted still_wanted);
  // Closes the connections to the machines for which `is_unused` returns true. A connection with an
  // unanswered batch stays until the batch has ended: the caller counts batches in flight, and each
  // must have an outcome.
  template <typename F>
  void Forget(F is_unused) {
    for (auto it = connections_.begin(); it != connections_.end();) {
      const auto next = std::next(it);
      if (it->client->idle() && is_unused(it->machine)) Drop(it);
      it = next;
    }
  }
  void Clear();

 private:
  struct Connection {
    std::string machine;
    std::string address;
    std::unique_ptr<net::HttpClient> client;
  };
  using Connections = std::list<Connection>;
  void Drop(Connections::iterator it);
  // Closes the least recently used idle connection if the socket budget is used up.
  void MakeRoom();

  asio::io_context& io_;
  const std::shared_ptr<net::SocketBudget> sockets_;
  Connections connections_;  // most recently used first
  std::unordered_map<std::string, Connections::iterator> by_machine_;
};

}  // namespace mosspath::service
