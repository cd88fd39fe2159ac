#include "mosspath/service/public_routes.h"

#include <string>
#include <string_view>
#include <utility>

#include "mosspath/net/timer.h"
#include "mosspath/service/http_paths.h"

namespace mosspath::service {
namespace {

using net::HttpResponse;

// Idle timeout of an agent's connection, as a multiple of the time without
// contact after which an agent is suspected.
constexpr double kAgentIdleRatio = 1.5;
constexpr int kOk = 200;

Metrics::Route RouteOf(std::string_view path) {
  if (path == paths::kAgentHeartbeat) return Metrics::Route::kReport;
  if (path == paths::kJobs) return Metrics::Route::kSubmit;
  if (!path.starts_with(paths::kJobs)) return Metrics::Route::kOther;
  return path.ends_with(paths::kCancelSuffix) ? Metrics::Route::kCancel : Metrics::Route::kGet;
}

// Returns whether the request has the method `method`; if not, answers the
// request with an error.
bool RequireMethod(const net::HttpRequest& request, std::string_view method,
                   const PublicRoutes::Responder& respond) {
  if (request.method == method) return true;
  respond(ErrorResponse(405, "method not allowed"));
  return false;
}

}  // namespace

PublicRoutes::PublicRoutes(const config::DerivedSettings& derived, Metrics& metrics,
                           const PeerService& peers, UserApi& users,
                           AgentHeartbeatHandler& heartbeats, std::function<bool()> is_healthy)
    : derived_(derived),
      metrics_(metrics),
      peers_(peers),
      users_(users),
      heartbeats_(heartbeats),
      is_healthy_(std::move(is_healthy)) {}

PublicRoutes::Responder PublicRoutes::Observed(Metrics::Route route, Responder respond) {
  return [this, route, started_at = net::Now(), respond = std::move(respond)](HttpResponse answer) {
    metrics_.OnAnswered(route, answer.status, net::Now() - started_at);
    const bool from_agent = route == Metrics::Route::kReport;
    answer.connection_class =
        from_agent ? net::ConnectionClass::kAgent : net::ConnectionClass::kUser;
    // An agent whose heartbeat is refused connects to another controller, so the
    // connection is closed. A dead agent never closes its connection, so idle
    // connections of agents time out.
    answer.close = from_agent && answer.status != kOk;
    if (from_agent) answer.idle_s = kAgentIdleRatio * derived_.agent_suspect_s;
    respond(std::move(answer));
  };
}

void PublicRoutes::Answer(const net::HttpRequest& request, Responder respond) {
  const std::string_view path = request.path;
  respond = Observed(RouteOf(path), std::move(respond));
  if (path == paths::kAgentHeartbeat) {
    if (RequireMethod(request, "POST", respond)) heartbeats_.Answer(request, respond);
  } else if (path == paths::kHealth) {
    if (RequireMethod(request, "GET", respond)) AnswerHealth(respond);
  } else if (path == paths::kStatusPage || path == paths::kStatusJson) {
    if (RequireMethod(request, "GET", respond)) AnswerStatus(request, respond);
  } else if (path == paths::kJobs) {
    if (RequireMethod(request, "POST", respond)) users_.Submit(request, std::move(respond));
  } else if (path.starts_with(std::string(paths::kJobs) + "/")) {
    AnswerJob(request, std::move(respond));
  } else {
    respond(ErrorResponse(404, "no such path"));
  }
}

void PublicRoutes::AnswerHealth(const Responder& respond) const {
  respond(is_healthy_() ? HttpResponse{kOk, "{}"} : RetryLaterResponse("not ready"));
}

void PublicRoutes::AnswerStatus(const net::HttpRequest& request, const Responder& respond) const {
  const wire::Status status = peers_.Status();
  if (request.path == paths::kStatusJson) {
    respond({kOk, wire::StatusJson(status).dump()});
    return;
  }
  HttpResponse page{kOk, wire::StatusPage(status)};
  page.content_type = "text/plain; charset=utf-8";
  respond(std::move(page));
}

void PublicRoutes::AnswerJob(const net::HttpRequest& request, Responder respond) {
  std::string id = request.path.substr(paths::kJobs.size() + 1);
  const bool is_cancellation = id.ends_with(paths::kCancelSuffix);
  if (is_cancellation) id.resize(id.size() - paths::kCancelSuffix.size());
  if (!wire::IsJobId(id)) {
    respond(ErrorResponse(404, "no such job"));
  } else if (is_cancellation) {
    if (RequireMethod(request, "POST", respond)) users_.Cancel(id, std::move(respond));
  } else if (RequireMethod(request, "GET", respond)) {
    users_.Get(id, std::move(respond));
  }
}

}  // namespace mosspath::service
