#include "mosspath/service/command_client.h"

#include <spdlog/spdlog.h>

#include <algorithm>

#include "mosspath/wire/json.h"

namespace mosspath::service {

size_t CommandClient::Capacity() const {
  const size_t limit = sockets_->limit(net::ConnectionClass::kCommand);
  const auto busy = static_cast<size_t>(
      std::count_if(links_.begin(), links_.end(), [](const Link& l) { return !l.client->idle(); }));
  return limit - std::min(limit, busy);
}

net::HttpClient* CommandClient::ClientFor(const std::string& machine, const std::string& address) {
  if (auto found = by_machine_.find(machine); found != by_machine_.end()) {
    const auto it = found->second;
    if (it->address == address) {
      links_.splice(links_.begin(), links_, it);
      if (!it->client->connected()) MakeRoom();
      return it->client.get();
    }
    Drop(it);
  }
  MakeRoom();
  try {
    links_.push_front(
        {machine, address,
         std::make_unique<net::HttpClient>(
             io_, address,
             net::HttpClient::Options{.max_connections = 1,
                                      .max_queue = 4,
                                      .sockets = sockets_,
                                      .connection_class = net::ConnectionClass::kCommand})});
  } catch (const std::exception& e) {
    spdlog::error("worker: {} has an unusable address: {}", machine, e.what());
    return nullptr;
  }
  by_machine_[machine] = links_.begin();
  return links_.front().client.get();
}

void CommandClient::Send(scheduler::CommandBatch order, double timeout_s,
                         net::OnMalformed on_malformed, Done done,
                         net::HttpClient::StillWanted still_wanted) {
  net::HttpClient* worker = ClientFor(order.machine, order.address);
  if (worker == nullptr) return done(order, scheduler::CommandOutcome::kRefused, nullptr);
  std::string body =
      wire::DirectCommands(order.fencing_token, order.agent_epoch, order.commands).dump();
  worker->Send(
      "POST", "/commands", std::move(body), timeout_s,
      [order = std::move(order), on_malformed = std::move(on_malformed),
       done = std::move(done)](const net::HttpResult& r) {
        auto outcome = scheduler::CommandOutcome::kUndetermined;
        wire::Heartbeat report;
        const bool told = r.status == 200 || r.status == 409;
        const bool understood = told && net::TryRead("worker", "commands", on_malformed,
                                                     [&] { report = wire::ReadHeartbeat(r.body); });
        if (!r.sent || r.status == 409) {
          outcome = scheduler::CommandOutcome::kRefused;
        } else if (understood) {
          outcome = scheduler::CommandOutcome::kExecuted;
        }
        done(order, outcome, &report);
      },
      std::move(still_wanted));
}

void CommandClient::MakeRoom() {
  if (sockets_->used(net::ConnectionClass::kCommand) <
      sockets_->limit(net::ConnectionClass::kCommand))
    return;
  for (auto it = links_.rbegin(); it != links_.rend(); ++it) {
    if (!it->client->idle()) continue;
    const bool connected = it->client->connected();
    Drop(std::prev(it.base()));
    if (connected) return;
    return MakeRoom();
  }
}

void CommandClient::Drop(Links::iterator it) {
  by_machine_.erase(it->machine);
  links_.erase(it);
}

void CommandClient::Clear() {
  by_machine_.clear();
  links_.clear();
}

}  // namespace mosspath::service
