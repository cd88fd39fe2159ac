#include "mosspath/service/command_client.h"

#include <spdlog/spdlog.h>

#include <algorithm>

#include "mosspath/service/http_paths.h"
#include "mosspath/wire/json.h"

namespace mosspath::service {

size_t CommandClient::Capacity() const {
  const size_t limit = sockets_->limit(net::ConnectionClass::kCommand);
  const auto busy =
      static_cast<size_t>(std::count_if(connections_.begin(), connections_.end(),
                                        [](const Connection& l) { return !l.client->idle(); }));
  return limit - std::min(limit, busy);
}

net::HttpClient* CommandClient::ClientFor(const std::string& machine, const std::string& address) {
  if (auto found = by_machine_.find(machine); found != by_machine_.end()) {
    const auto it = found->second;
    if (it->address == address) {
      connections_.splice(connections_.begin(), connections_, it);
      if (!it->client->connected()) MakeRoom();
      return it->client.get();
    }
    if (!it->client->idle()) return nullptr;
    Drop(it);
  }
  MakeRoom();
  try {
    connections_.push_front(
        {machine, address,
         std::make_unique<net::HttpClient>(
             io_, address,
             net::HttpClient::Options{.max_connections = 1,
                                      .max_queue = 4,
                                      .sockets = sockets_,
                                      .connection_class = net::ConnectionClass::kCommand})});
  } catch (const std::exception& e) {
    spdlog::error("service: agent_address_unusable machine={} error={}", machine, e.what());
    return nullptr;
  }
  by_machine_[machine] = connections_.begin();
  return connections_.front().client.get();
}

void CommandClient::Send(scheduler::CommandBatch batch, double timeout_s,
                         net::OnMalformed on_malformed, Done done,
                         net::HttpClient::StillWanted still_wanted) {
  net::HttpClient* agent = ClientFor(batch.machine, batch.address);
  if (agent == nullptr) return done(batch, scheduler::CommandOutcome::kRefused, nullptr);
  std::string body =
      wire::DirectCommands(batch.fencing_token, batch.agent_epoch, batch.commands).dump();
  agent->Send(
      "POST", std::string(paths::kAgentCommands), std::move(body), timeout_s,
      [batch = std::move(batch), on_malformed = std::move(on_malformed),
       done = std::move(done)](const net::HttpResult& r) {
        auto outcome = scheduler::CommandOutcome::kUndetermined;
        wire::Heartbeat heartbeat;
        const bool has_heartbeat = r.status == 200 || r.status == 409;
        const bool understood =
            has_heartbeat && net::TryRead("worker", "commands", on_malformed,
                                          [&] { heartbeat = wire::ReadHeartbeat(r.body); });
        if (!r.sent || r.status == 409) {
          outcome = scheduler::CommandOutcome::kRefused;
        } else if (understood) {
          outcome = scheduler::CommandOutcome::kExecuted;
        }
        done(batch, outcome, &heartbeat);
      },
      std::move(still_wanted));
}

void CommandClient::MakeRoom() {
  if (sockets_->used(net::ConnectionClass::kCommand) <
      sockets_->limit(net::ConnectionClass::kCommand))
    return;
  for (auto it = connections_.rbegin(); it != connections_.rend(); ++it) {
    if (!it->client->idle()) continue;
    const bool connected = it->client->connected();
    Drop(std::prev(it.base()));
    if (connected) return;
    return MakeRoom();
  }
}

void CommandClient::Drop(Connections::iterator it) {
  by_machine_.erase(it->machine);
  connections_.erase(it);
}

void CommandClient::Clear() {
  by_machine_.clear();
  connections_.clear();
}

}  // namespace mosspath::service
