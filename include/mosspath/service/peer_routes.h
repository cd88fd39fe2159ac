// Routes the requests to the peer address, from other controllers and from operators. Not
// thread-safe.
#pragma once

#include <functional>
#include <optional>
#include <string>

#include "mosspath/net/http_server.h"
#include "mosspath/net/malformed_message.h"
#include "mosspath/service/metrics.h"
#include "mosspath/service/operator_settings_api.h"
#include "mosspath/service/peer_service.h"
#include "mosspath/wire/shard_frame.h"

namespace mosspath::service {

class PeerRoutes {
 public:
  using Responder = net::HttpServer::Responder;
  // Processes a frame about a shard and returns the answer; nothing if the
  // frame belongs to another term or lease.
  using OnShardFrame = std::function<std::optional<wire::ShardFrame>(const wire::ShardFrame&)>;

  // Returns the figures of the commands to the machines that this controller commands.
  using GetCommandFigures = std::function<CommandFigures()>;

  // The referenced objects outlive the routes. `node`: the name of this controller.
  PeerRoutes(std::string node, PeerService& peers, Metrics& metrics,
             OperatorSettingsApi& operator_settings, net::OnMalformed on_malformed,
             OnShardFrame on_shard_frame, GetCommandFigures command_figures);

  // Calls the responder exactly once, during this call or later.
  void Answer(const net::HttpRequest& request, Responder respond);

 private:
  void AnswerMetrics(const Responder& respond);
  void AnswerShardFrame(const net::HttpRequest& request, const Responder& respond);

  const std::string node_;
  PeerService& peers_;
  Metrics& metrics_;
  OperatorSettingsApi& operator_settings_;
  const net::OnMalformed on_malformed_;
  const OnShardFrame on_shard_frame_;
  const GetCommandFigures command_figures_;
};

}  // namespace mosspath::service
