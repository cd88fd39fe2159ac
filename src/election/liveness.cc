#include "mosspath/election/liveness.h"

#include <algorithm>

namespace mosspath::election {
namespace {

constexpr double kSilentIntervals = 3;
constexpr double kLackReports = 3;        // report intervals without the state service or a worker
constexpr double kLackCloudReports = 20;  // the cloud is asked less often

}  // namespace

Liveness::Liveness(const config::Settings& settings)
    : node_(settings.node),
      zone_(settings.zone),
      interval_s_(std::max(0.5, settings.report_s / 4)),
      report_s_(settings.report_s) {
  for (const auto& p : settings.peers) peers_[p.node].zone = p.zone;
}

void Liveness::Heard(const wire::Presence& p, double now) {
  const auto it = peers_.find(p.node);
  if (it == peers_.end()) return;  // not one of ours
  it->second.at = now;
  it->second.said = p;
  state_contact_ = std::max(state_contact_, now - p.state_ago_s);
}

void Liveness::StoodStill(double from, double now) {
  for (auto& [name, p] : peers_) {
    if (from - p.at < kSilentIntervals * interval_s_) p.at += now - from;
  }
}

bool Liveness::Silent(const std::string& node, double now) const {
  const auto it = peers_.find(node);
  return it != peers_.end() && it->second.at > 0 &&
         now - it->second.at > kSilentIntervals * interval_s_;
}

bool Liveness::Deserted(double now) const {
  return !peers_.empty() && std::all_of(peers_.begin(), peers_.end(),
                                        [&](const auto& p) { return Silent(p.first, now); });
}

bool Liveness::FitForUsers(double state_contact, double patience_s, double now) const {
  if (now - state_contact < patience_s) return true;
  return state_contact_ < state_contact + patience_s / 2 && !Deserted(now);
}

std::vector<wire::Presence::Heard> Liveness::HeardAgo(double now) const {
  std::vector<wire::Presence::Heard> out;
  for (const auto& [name, p] : peers_) out.push_back({name, std::min(wire::kNever, now - p.at)});
  return out;
}

void Liveness::Lacks(const wire::Presence& p, double later_s, wire::ControllerState& out) const {
  if (p.state_ago_s + later_s > kLackReports * report_s_) out.lacks.emplace_back("state service");
  if (p.leads && p.workers_ago_s + later_s > kLackReports * report_s_) {
    out.lacks.emplace_back("workers");
  }
  if (p.leads && p.cloud_ago_s + later_s > kLackCloudReports * report_s_) {
    out.lacks.emplace_back("cloud");
  }
  for (const auto& heard : p.peers) {
    if (heard.ago_s + later_s > kSilentIntervals * interval_s_) out.lacks.push_back(heard.node);
  }
}

std::vector<wire::ControllerState> Liveness::States(const wire::Presence& own, double now) const {
  std::vector<wire::ControllerState> out;
  wire::ControllerState self{node_, zone_, own.leads, 0, node_, {}};
  Lacks(own, 0, self);
  out.push_back(std::move(self));
  for (const auto& [name, p] : peers_) {
    wire::ControllerState s{name,  p.zone, p.said.leads, std::min(wire::kNever, now - p.at),
                            node_, {}};
    for (const auto& [other, q] : peers_) {
      for (const auto& heard : q.said.peers) {
        const double ago = heard.ago_s + now - q.at;
        if (other == name || heard.node != name || ago >= s.heard_ago_s) continue;
        s.heard_ago_s = ago;
        s.heard_by = other;
      }
    }
    const double here = now - p.at;
    if (here < wire::kNever) Lacks(p.said, here, s);
    if (s.heard_ago_s >= wire::kNever) s.heard_by.clear();
    // What it said of itself is of when it was heard: later it may be anything.
    if (Silent(name, now) || here >= wire::kNever) s.lacks = {"word from it here"};
    out.push_back(std::move(s));
  }
  std::sort(out.begin(), out.end(), [](const auto& a, const auto& b) { return a.node < b.node; });
  return out;
}

}  // namespace mosspath::election
