#include "mosspath/election/failure_detector.h"

#include <algorithm>

namespace mosspath::election {
namespace {

// The minimum interval between the heartbeats that controllers send to each other.
constexpr double kMinIntervalS = 0.5;
// Controllers send this many heartbeats to each other per agent heartbeat interval, if that keeps
// the minimum interval.
constexpr double kIntervalsPerAgentHeartbeat = 4;
// A peer is suspected after this many heartbeat intervals without a heartbeat.
constexpr double kSuspectIntervals = 3;
// A service is reported as unreachable after this many agent heartbeat intervals without contact.
constexpr double kUnreachableHeartbeats = 3;        // the key-value store, or the agents
constexpr double kUnreachableCloudHeartbeats = 20;  // the cloud, which is polled less often

// Texts that the status page shows.
constexpr const char* kStateService = "state service";
constexpr const char* kWorkers = "workers";
constexpr const char* kCloud = "cloud";
constexpr const char* kNoHeartbeat = "word from it here";

}  // namespace

FailureDetector::FailureDetector(const config::Settings& settings)
    : node_(settings.name),
      zone_(settings.zone),
      interval_s_(std::max(kMinIntervalS, settings.heartbeat_s / kIntervalsPerAgentHeartbeat)),
      agent_heartbeat_s_(settings.heartbeat_s) {
  for (const auto& peer : settings.peers) peers_[peer.name].zone = peer.zone;
}

void FailureDetector::OnHeartbeat(const wire::PeerHeartbeat& heartbeat, double now) {
  const auto it = peers_.find(heartbeat.node);
  if (it == peers_.end()) return;
  it->second.heard_at = now;
  it->second.heartbeat = heartbeat;
  state_contact_ = std::max(state_contact_, std::optional(now - heartbeat.state_ago_s));
}

void FailureDetector::OnProcessStall(double from, double now) {
  for (auto& [name, peer] : peers_) {
    if (!peer.heard_at || from - *peer.heard_at >= kSuspectIntervals * interval_s_) continue;
    *peer.heard_at += now - from;
  }
}

bool FailureDetector::IsSuspected(const std::string& node, double now) const {
  const auto it = peers_.find(node);
  if (it == peers_.end() || !it->second.heard_at) return false;
  return now - *it->second.heard_at > kSuspectIntervals * interval_s_;
}

bool FailureDetector::IsIsolated(double now) const {
  return !peers_.empty() && std::all_of(peers_.begin(), peers_.end(), [&](const auto& entry) {
    return IsSuspected(entry.first, now);
  });
}

bool FailureDetector::ShouldServeUsers(double state_contact, double contact_timeout_s,
                                       double now) const {
  if (now - state_contact < contact_timeout_s) return true;
  const bool peers_are_answered =
      state_contact_ && *state_contact_ >= state_contact + contact_timeout_s / 2;
  return !peers_are_answered && !IsIsolated(now);
}

double FailureDetector::SilenceOf(const Peer& peer, double now) {
  return peer.heard_at ? std::min(wire::kNeverS, now - *peer.heard_at) : wire::kNeverS;
}

std::vector<wire::PeerHeartbeat::PeerContact> FailureDetector::PeerContacts(double now) const {
  std::vector<wire::PeerHeartbeat::PeerContact> contacts;
  contacts.reserve(peers_.size());
  for (const auto& [name, peer] : peers_) contacts.push_back({name, SilenceOf(peer, now)});
  return contacts;
}

void FailureDetector::AddUnreachable(const wire::PeerHeartbeat& heartbeat, double age_s,
                                     wire::ControllerState& state) const {
  const double limit_s = kUnreachableHeartbeats * agent_heartbeat_s_;
  if (heartbeat.state_ago_s + age_s > limit_s) state.unreachable.emplace_back(kStateService);
  if (heartbeat.is_leader && heartbeat.workers_ago_s + age_s > limit_s) {
    state.unreachable.emplace_back(kWorkers);
  }
  const double cloud_limit_s = kUnreachableCloudHeartbeats * agent_heartbeat_s_;
  if (heartbeat.is_leader && heartbeat.cloud_ago_s + age_s > cloud_limit_s) {
    state.unreachable.emplace_back(kCloud);
  }
  for (const auto& contact : heartbeat.peers) {
    if (contact.ago_s + age_s > kSuspectIntervals * interval_s_) {
      state.unreachable.push_back(contact.node);
    }
  }
}

void FailureDetector::ApplyIndirectContacts(double now, wire::ControllerState& state) const {
  for (const auto& [witness_name, witness] : peers_) {
    if (witness_name == state.node || !witness.heard_at) continue;
    for (const auto& contact : witness.heartbeat.peers) {
      const double ago_s = contact.ago_s + now - *witness.heard_at;
      if (contact.node != state.node || ago_s >= state.heard_ago_s) continue;
      state.heard_ago_s = ago_s;
      state.heard_by = witness_name;
    }
  }
}

wire::ControllerState FailureDetector::StateOf(const std::string& name, const Peer& peer,
                                               double now) const {
  const double silence_s = SilenceOf(peer, now);
  wire::ControllerState state{name, peer.zone, peer.heartbeat.is_leader, silence_s, node_, {}};
  ApplyIndirectContacts(now, state);
  if (silence_s < wire::kNeverS) AddUnreachable(peer.heartbeat, silence_s, state);
  if (state.heard_ago_s >= wire::kNeverS) state.heard_by.clear();
  // A heartbeat describes the state of its sender only as of the heartbeat's arrival. Once the
  // sender is suspected, the present state of the sender is unknown.
  if (IsSuspected(name, now) || silence_s >= wire::kNeverS) state.unreachable = {kNoHeartbeat};
  return state;
}

std::vector<wire::ControllerState> FailureDetector::ControllerStates(const wire::PeerHeartbeat& own,
                                                                     double now) const {
  std::vector<wire::ControllerState> states;
  wire::ControllerState self{node_, zone_, own.is_leader, 0, node_, {}};
  AddUnreachable(own, 0, self);
  states.push_back(std::move(self));
  for (const auto& [name, peer] : peers_) states.push_back(StateOf(name, peer, now));
  std::sort(states.begin(), states.end(),
            [](const auto& left, const auto& right) { return left.node < right.node; });
  return states;
}

}  // namespace mosspath::election
