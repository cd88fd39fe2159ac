#include "mosspath/service/peer_service.h"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <utility>

#include "mosspath/service/http_paths.h"
#include "mosspath/wire/promise_frame.h"

namespace mosspath::service {
namespace {

using net::HttpResponse;
using Responder = net::HttpServer::Responder;

HttpResponse FrameResponse(std::string body) {
  return {200, std::move(body), 0, "application/octet-stream"};
}

HttpResponse MalformedFrameResponse() { return {400, wire::ErrorAnswer("malformed frame").dump()}; }

}  // namespace

PeerService::PeerService(asio::io_context& io, const config::Settings& settings,
                         const config::DerivedSettings& derived, election::Elector& elector,
                         JobService& jobs, AdmissionService& admission, LocalState own,
                         const std::shared_ptr<net::SocketBudget>& sockets,
                         net::OnMalformed on_malformed)
    : settings_(settings),
      derived_(derived),
      elector_(elector),
      jobs_(jobs),
      admission_(admission),
      local_(std::move(own)),
      sockets_(sockets),
      on_malformed_(std::move(on_malformed)),
      failure_detector_(settings),
      heartbeat_timer_(io),
      snapshot_timer_(io),
      promise_timer_(io) {
  const net::HttpClient::Options options{.max_connections = 1, .max_queue = 2, .sockets = sockets};
  for (const auto& p : settings_.peers) {
    peers_.push_back(std::unique_ptr<PeerConnection>(
        new PeerConnection{p.name, {io, p.address, options}, {io, p.address, options}}));
  }
}

void PeerService::Start() {
  SendHeartbeat();
  SendSnapshot();
  RequestPromises();
}

bool PeerService::Answer(const net::HttpRequest& r, const Responder& respond) {
  if (r.method != "POST") return false;
  if (r.path == paths::kPeerHeartbeat) {
    OnHeartbeat(r, respond);
  } else if (r.path == paths::kPeerStatusSnapshot) {
    OnSnapshot(r, respond);
  } else if (r.path == paths::kPeerPromise) {
    OnPromiseRequest(r, respond);
  } else {
    return false;
  }
  return true;
}

wire::PeerHeartbeat PeerService::OwnHeartbeat() const {
  wire::PeerHeartbeat p = local_.heartbeat();
  p.node = settings_.name;
  p.peers = failure_detector_.PeerContacts(net::Now());
  return p;
}

void PeerService::SendHeartbeat() {
  heartbeat_timer_.After(failure_detector_.interval_s(), [this] { SendHeartbeat(); });
  wire::PeerHeartbeat own = OwnHeartbeat();
  const std::string frame = wire::Encode(own);
  const double now = net::Now();
  own.demand = admission_.Demand(now);
  const std::string with_demand = wire::Encode(own);
  // The leader applies a plan for itself at the same interval as its peers, but only while it may
  // act. Otherwise a leader whose store lease has lapsed would go on planning a share for itself
  // while the next leader plans the shares of all controllers.
  if (local_.may_act()) {
    admission_.OnPlan(admission_.PlanFor(settings_.name, *own.demand, now), now);
  }
  for (auto& connection : peers_) {
    connection->updates.Send(
        "POST", std::string(paths::kPeerHeartbeat),
        connection->supports_demand ? with_demand : frame, 2 * failure_detector_.interval_s(),
        [this, peer = connection.get(), requested_at = now](const net::HttpResult& r) {
          // A peer of an earlier version answers with an empty body and can't parse a
          // heartbeat with a demand. After an answer without a valid plan, no demand is
          // sent to the peer until the peer answers with a plan.
          peer->supports_demand = peer->supports_demand && r.status == 0;
          if (r.status != 200 || r.body.empty()) return;
          net::TryRead("peer", "plan", on_malformed_, [&] {
            const admission::AdmissionPlan plan = wire::DecodeAdmissionPlan(r.body);
            peer->supports_demand = true;
            admission_.OnPlan(plan, requested_at);
          });
        });
  }
}

void PeerService::OnHeartbeat(const net::HttpRequest& r, const Responder& respond) {
  wire::PeerHeartbeat p;
  const bool understood = net::TryRead("peer", "presence", on_malformed_,
                                       [&] { p = wire::DecodePeerHeartbeat(r.body); });
  if (!understood) return respond(MalformedFrameResponse());
  const double now = net::Now();
  failure_detector_.OnHeartbeat(p, now);
  admission::AdmissionPlan plan;
  if (local_.may_act() && p.demand) plan = admission_.PlanFor(p.node, *p.demand, now);
  respond(FrameResponse(wire::Encode(plan)));
}

void PeerService::SendSnapshot() {
  snapshot_timer_.After(std::max(1.0, settings_.heartbeat_s / 2), [this] { SendSnapshot(); });
  const auto own_snapshot = local_.snapshot();
  if (!own_snapshot) return;
  const std::string frame = wire::Encode(*own_snapshot);
  for (auto& connection : peers_) {
    connection->updates.Send("POST", std::string(paths::kPeerStatusSnapshot), frame,
                             settings_.heartbeat_s, [](const net::HttpResult&) {});
  }
}

void PeerService::OnSnapshot(const net::HttpRequest& r, const Responder& respond) {
  wire::StatusSnapshot d;
  const bool understood = net::TryRead("peer", "digest", on_malformed_,
                                       [&] { d = wire::DecodeStatusSnapshot(r.body); });
  if (!understood) return respond(MalformedFrameResponse());
  if (IsNewer(d, snapshot_)) {
    counts_.clear();
    for (const auto& j : d.jobs) counts_[j.id] = {j.done, j.running};
    snapshot_ = std::move(d);
    snapshot_at_ = net::Now();
  }
  respond(FrameResponse(""));
}

wire::Status PeerService::Status() const {
  const double now = net::Now();
  wire::Status s;
  s.served_by = settings_.name;
  s.controllers = failure_detector_.ControllerStates(OwnHeartbeat(), now);
  for (size_t i = 0; i < net::kConnectionClasses; ++i) {
    const auto p = static_cast<net::ConnectionClass>(i);
    s.sockets.push_back({net::Name(p), sockets_->used(p), sockets_->limit(p), sockets_->refused(p),
                         sockets_->closed_after_answer(p)});
  }
  s.admission = admission_.Usage(now);
  if (auto own = local_.snapshot()) {
    s.snapshot = std::move(*own);
    return s;
  }
  s.snapshot = snapshot_;
  s.snapshot_age_s = std::min(wire::kNeverS, now - snapshot_at_);
  return s;
}

scheduler::JobCounts PeerService::CountsOf(const std::string& id) const {
  const auto it = counts_.find(id);
  return it == counts_.end() ? scheduler::JobCounts{} : it->second;
}

// While the key-value store does not answer this leader, requests from each peer a promise not to
// lead.
void PeerService::RequestPromises() {
  promise_timer_.After(derived_.promise_s / 4, [this] { RequestPromises(); });
  const auto round = elector_.BeginPromiseRound(net::Now());
  if (!round) return;
  const std::string frame = wire::Encode(elector_.MakePromiseRequest());
  for (auto& connection : peers_) {
    connection->promises.Send(
        "POST", std::string(paths::kPeerPromise), frame, derived_.promise_s,
        [this, round = *round, peer = connection.get()](const net::HttpResult& r) {
          if (r.status == 200) OnPromiseResponse(round, *peer, r.body);
        });
  }
}

void PeerService::OnPromiseResponse(uint64_t round, PeerConnection& peer, const std::string& body) {
  // A malformed response is not counted as a promise. Promise requests are frequent, so for each
  // peer only the first malformed response since the last valid response is logged.
  const auto malformed = [&](const char* why) {
    if (!std::exchange(peer.bad_promise_logged, true)) {
      spdlog::error("service: promise_response_malformed node={} error={}", peer.node, why);
    }
    on_malformed_("peer", "vouch");
  };
  wire::PromiseResponse answer;
  try {
    answer = wire::DecodePromiseResponse(body);
  } catch (const std::exception& e) {
    return malformed(e.what());
  }
  std::vector<wire::CancellationLogSlice::Entry> learned;
  if (elector_.OnPromiseResponse(round, peer.node, answer, net::Now(), learned) ==
      election::PromiseResponseResult::kImplausible) {
    return malformed("a revision above any");
  }
  peer.bad_promise_logged = false;
  for (const auto& e : learned) {
    if (jobs_.FindLive(e.id) != nullptr) {
      spdlog::info("service: cancellation_learned job={} way=peer node={} revision={}", e.id,
                   peer.node, e.revision);
    }
    jobs_.OnJobCancelled(e.id, e.revision);
  }
}

void PeerService::OnPromiseRequest(const net::HttpRequest& r, const Responder& respond) {
  election::Leadership::PromiseDecision decision;
  wire::PromiseRequest request;
  try {
    request = wire::DecodePromiseRequest(r.body);
    decision = elector_.OnPromiseRequest(request, net::Now());
    if (decision.malformed()) throw wire::BadMessage("a node, token or revision that can't be");
  } catch (const std::exception& e) {
    // A leader may send several requests a second, so only the first malformed request since the
    // last valid request is logged.
    if (!std::exchange(bad_request_logged_, true))
      spdlog::error("service: promise_request_malformed error={}", e.what());
    on_malformed_("peer", "vouch");
    return respond(MalformedFrameResponse());
  }
  bad_request_logged_ = false;
  respond(FrameResponse(wire::Encode(wire::PromiseResponse{
      decision.promised(), jobs_.cancellations().Since(request.read_revision)})));
}

}  // namespace mosspath::service
