// Routes the requests of the public address: agents' heartbeats, health, status
// and jobs.
#pragma once

#include <functional>

#include "mosspath/config/settings.h"
#include "mosspath/net/http_server.h"
#include "mosspath/service/agent_heartbeat_handler.h"
#include "mosspath/service/metrics.h"
#include "mosspath/service/peer_service.h"
#include "mosspath/service/user_api.h"

namespace mosspath::service {

class PublicRoutes {
 public:
  using Responder = net::HttpServer::Responder;

  // All that it refers to outlives it. `is_healthy` tells whether this node
  // should serve users.
  PublicRoutes(const config::DerivedSettings& derived, Metrics& metrics, const PeerService& peers,
               UserApi& users, AgentHeartbeatHandler& heartbeats, std::function<bool()> is_healthy);

  // Calls the responder once, at once or later.
  void Answer(const net::HttpRequest& request, Responder respond);

 private:
  // Adds the measurements and the connection's treatment to an answer.
  Responder Observed(Metrics::Route route, Responder respond);
  void AnswerHealth(const Responder& respond) const;
  void AnswerStatus(const net::HttpRequest& request, const Responder& respond) const;
  void AnswerJob(const net::HttpRequest& request, Responder respond);

  const config::DerivedSettings& derived_;
  Metrics& metrics_;
  const PeerService& peers_;
  UserApi& users_;
  AgentHeartbeatHandler& heartbeats_;
  const std::function<bool()> is_healthy_;
};

}  // namespace mosspath::service
