// Heartbeats between controllers. A heartbeat carries the sender's admission demand; the leader's
// answer carries the admission plan.
#include <algorithm>

#include "simulation/controller.h"

namespace mosspath::simulation {
namespace {

constexpr double kMinIntervalS = 0.5;

}  // namespace

void SimulatedController::PeerHeartbeatLoop() {
  if (!alive_) return;
  After(std::max(kMinIntervalS, settings_.heartbeat_s / 4), [this] { PeerHeartbeatLoop(); });
  wire::PeerHeartbeat heartbeat;
  heartbeat.node = name_;
  heartbeat.demand = admission_->Demand(Now());
  const std::string text = wire::Encode(heartbeat);
  if (leading()) {
    admission_->OnPlan(admission_->PlanFor(name_, *heartbeat.demand, Now()), Now());
  }
  for (const auto& peer : environment_.nodes) {
    if (peer != name_) SendPeerHeartbeat(peer, text);
  }
}

void SimulatedController::SendPeerHeartbeat(const std::string& peer, const std::string& text) {
  const double sent_at = Now();
  environment_.network.Send(name_, peer, [this, peer, text, sent_at, process = process_] {
    if (!environment_.on_peer_heartbeat.contains(peer)) return;
    const auto answer = environment_.on_peer_heartbeat[peer](text);
    environment_.RepeatLater([this, peer, text] { environment_.on_peer_heartbeat[peer](text); });
    if (!answer) return;
    environment_.network.Send(peer, name_, [this, answer, sent_at, process] {
      // A restarted process must ignore answers to requests of the previous process.
      if (!IsProcess(process)) return;
      RunUnlessFrozen([this, answer, sent_at] {
        admission_->OnPlan(wire::DecodeAdmissionPlan(*answer), sent_at);
      });
    });
  });
}

std::optional<std::string> SimulatedController::OnPeerHeartbeat(const std::string& text) {
  if (!up()) return std::nullopt;
  const wire::PeerHeartbeat heartbeat = wire::DecodePeerHeartbeat(text);
  failure_detector_->OnHeartbeat(heartbeat, Now());
  admission::AdmissionPlan plan;
  if (leading()) plan = admission_->PlanFor(heartbeat.node, *heartbeat.demand, Now());
  return wire::Encode(plan);
}

}  // namespace mosspath::simulation
