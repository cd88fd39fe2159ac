#include "mosspath/service/peer_routes.h"

#include <utility>

#include "mosspath/service/http_paths.h"
#include "mosspath/service/user_api.h"

namespace mosspath::service {

using net::HttpResponse;

PeerRoutes::PeerRoutes(std::string node, PeerService& peers, Metrics& metrics,
                       OperatorSettingsApi& operator_settings, net::OnMalformed on_malformed,
                       OnShardFrame on_shard_frame, GetCommandFigures command_figures)
    : node_(std::move(node)),
      peers_(peers),
      metrics_(metrics),
      operator_settings_(operator_settings),
      on_malformed_(std::move(on_malformed)),
      on_shard_frame_(std::move(on_shard_frame)),
      command_figures_(std::move(command_figures)) {}

void PeerRoutes::Answer(const net::HttpRequest& request, Responder respond) {
  if (peers_.Answer(request, respond)) return;
  if (request.path == paths::kMetrics && request.method == "GET") {
    AnswerMetrics(respond);
  } else if (request.path == paths::kPeerShardFrame && request.method == "POST") {
    AnswerShardFrame(request, respond);
  } else if (request.path == paths::kOperatorSettings) {
    operator_settings_.Answer(request, std::move(respond));
  } else {
    respond(ErrorResponse(404, "no such path"));
  }
}

void PeerRoutes::AnswerMetrics(const Responder& respond) {
  metrics_.Update(peers_.Status());
  metrics_.Update(command_figures_());
  HttpResponse answer{200, metrics_.Text()};
  answer.content_type = "text/plain; version=0.0.4";
  respond(std::move(answer));
}

void PeerRoutes::AnswerShardFrame(const net::HttpRequest& request, const Responder& respond) {
  std::optional<wire::ShardFrame> answer;
  const bool understood = net::TryRead("peer", "block", on_malformed_, [&] {
    answer = on_shard_frame_(wire::DecodeShardFrame(request.body));
  });
  if (!understood) return respond(ErrorResponse(400, "malformed frame"));
  if (!answer) return respond(ErrorResponse(409, "of another leadership or lease"));
  answer->node = node_;
  respond({200, wire::Encode(*answer), 0, "application/octet-stream"});
}

}  // namespace mosspath::service
