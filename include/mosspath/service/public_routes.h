// Routes the requests to the public address: agents' heartbeats, health, status
// and jobs. Not thread-safe.
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

  // The referenced objects outlive the routes. `is_healthy` returns whether this
  // controller should serve users.
  PublicRoutes(const config::DerivedSettings& derived, Metrics& metrics, const PeerService& peers,
               UserApi& users, AgentHeartbeatHandler& heartbeats, std::function<bool()> is_healthy);

  // Calls the responder exactly once, during this call or later.
  void Answer(const net::HttpRequest& request, Responder respond);

 private:
  // Wraps the responder: records the metrics of the answer, and sets the class
  // of the connection and when the connection is closed.
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
