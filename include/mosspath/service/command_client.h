// Connections straight to workers, as few as the socket budget allows: one to a machine while it is
// used, closed when another machine needs its place. What gets none waits for the next report.
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

  // How many orders can leave now.
  size_t Capacity() const;
  // The link to a machine. Owned here, valid until the next call; null: its address is unusable.
  net::HttpClient* ClientFor(const std::string& machine, const std::string& address);
  // Sends the order, and tells what became of it with the worker's report; null: it never left.
  using Done = std::function<void(const scheduler::CommandBatch&, scheduler::CommandOutcome,
                                  const wire::Heartbeat* report)>;
  void Send(scheduler::CommandBatch order, double timeout_s, net::OnMalformed on_malformed,
            Done done, net::HttpClient::StillWanted still_wanted);
  // Ends the links that `gone` says are of no use any more.
  template <typename F>
  void Forget(F gone) {
    for (auto it = links_.begin(); it != links_.end();) {
      const auto next = std::next(it);
      if (gone(it->machine)) Drop(it);
      it = next;
    }
  }
  void Clear();

 private:
  struct Link {
    std::string machine;
    std::string address;
    std::unique_ptr<net::HttpClient> client;
  };
  using Links = std::list<Link>;
  void Drop(Links::iterator it);
  // Closes the link that has rested longest, if the budget has no room for one more.
  void MakeRoom();

  asio::io_context& io_;
  const std::shared_ptr<net::SocketBudget> sockets_;
  Links links_;  // the most recently used first
  std::unordered_map<std::string, Links::iterator> by_machine_;
};

}  // namespace mosspath::service
