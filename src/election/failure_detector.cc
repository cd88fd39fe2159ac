#include "mosspath/election/failure_detector.h"

#include <algorithm>

namespace mosspath::election {
namespace {

constexpr double kSilentIntervals = 3;
constexpr double kLackReports = 3;        // report intervals without the state service or a worker
constexpr double kLackCloudReports = 20;  // the cloud is asked less often

}  // namespace

FailureDetector::FailureDetector(const config::Settings& settings)
    : node_(settings.name),
      zone_(settings.zone),
      interval_s_(std::max(0.5, settings.heartbeat_s / 4)),
      report_s_(settings.heartbeat_s) {
  for (const auto& p : settings.peers) peers_[p.name].zone = p.zone;
}

void FailureDetector::OnHeartbeat(const wire::PeerHeartbeat& p, double now) {
  const auto it = peers_.find(p.node);
  if (it == peers_.end()) return;  // not one of ours
  it->second.heard_at = now;
  it->second.heartbeat = p;
  state_contact_ = std::max(state_contact_, now - p.state_ago_s);
}

void FailureDetector::OnProcessStall(double from, double now) {
  for (auto& [name, p] : peers_) {
    if (from - p.heard_at < kSilentIntervals * interval_s_) p.heard_at += now - from;
  }
}

bool FailureDetector::IsSuspected(const std::string& node, double now) const {
  const auto it = peers_.find(node);
  return it != peers_.end() && it->second.heard_at > 0 &&
         now - it->second.heard_at > kSilentIntervals * interval_s_;
}

bool FailureDetector::IsIsolated(double now) const {
  return !peers_.empty() && std::all_of(peers_.begin(), peers_.end(),
                                        [&](const auto& p) { return IsSuspected(p.first, now); });
}

bool FailureDetector::ShouldServeUsers(double state_contact, double patience_s, double now) const {
  if (now - state_contact < patience_s) return true;
  return state_contact_ < state_contact + patience_s / 2 && !IsIsolated(now);
}

std::vector<wire::PeerHeartbeat::PeerContact> FailureDetector::PeerContacts(double now) const {
  std::vector<wire::PeerHeartbeat::PeerContact> out;
  for (const auto& [name, p] : peers_)
    out.push_back({name, std::min(wire::kNeverS, now - p.heard_at)});
  return out;
}

void FailureDetector::AddUnreachable(const wire::PeerHeartbeat& p, double later_s,
                                     wire::ControllerState& out) const {
  if (p.state_ago_s + later_s > kLackReports * report_s_)
    out.unreachable.emplace_back("state service");
  if (p.is_leader && p.workers_ago_s + later_s > kLackReports * report_s_) {
    out.unreachable.emplace_back("workers");
  }
  if (p.is_leader && p.cloud_ago_s + later_s > kLackCloudReports * report_s_) {
    out.unreachable.emplace_back("cloud");
  }
  for (const auto& heard : p.peers) {
    if (heard.ago_s + later_s > kSilentIntervals * interval_s_)
      out.unreachable.push_back(heard.node);
  }
}

std::vector<wire::ControllerState> FailureDetector::ControllerStates(const wire::PeerHeartbeat& own,
                                                                     double now) const {
  std::vector<wire::ControllerState> out;
  wire::ControllerState self{node_, zone_, own.is_leader, 0, node_, {}};
  AddUnreachable(own, 0, self);
  out.push_back(std::move(self));
  for (const auto& [name, p] : peers_) {
    wire::ControllerState s{
        name, p.zone, p.heartbeat.is_leader, std::min(wire::kNeverS, now - p.heard_at), node_, {}};
    for (const auto& [other, q] : peers_) {
      for (const auto& heard : q.heartbeat.peers) {
        const double ago = heard.ago_s + now - q.heard_at;
        if (other == name || heard.node != name || ago >= s.heard_ago_s) continue;
        s.heard_ago_s = ago;
        s.heard_by = other;
      }
    }
    const double here = now - p.heard_at;
    if (here < wire::kNeverS) AddUnreachable(p.heartbeat, here, s);
    if (s.heard_ago_s >= wire::kNeverS) s.heard_by.clear();
    // What it said of itself is of when it was heard: later it may be anything.
    if (IsSuspected(name, now) || here >= wire::kNeverS) s.unreachable = {"word from it here"};
    out.push_back(std::move(s));
  }
  std::sort(out.begin(), out.end(), [](const auto& a, const auto& b) { return a.node < b.node; });
  return out;
}

}  // namespace mosspath::election
