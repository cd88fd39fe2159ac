#include "mosspath/scheduler/takeover.h"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <utility>

namespace mosspath::scheduler {

using cluster::Machine;

namespace {

constexpr double kBlindReports = 2;   // report intervals
constexpr size_t kMostAsked = 128;    // machines taken over, at once
constexpr double kStragglers = 0.03;  // of the machines taken over

}  // namespace

Takeover::Takeover(const config::Settings& settings, const config::Derived& derived, double now)
    : begun_(now),
      report_s_(settings.report_s),
      search_s_(derived.search_s),
      ask_s_(derived.ask_s),
      find_s_(derived.find_s),
      silent_s_(derived.silent_s),
      gone_s_(derived.gone_s),
      listening_since_(now) {}

void Takeover::Inherit(Machine& m, bool counted) {
  m.inherited = true;
  m.counted = counted;
  if (!counted) return;
  m.last_answered = begun_;
  ++inherited_;
  ++total_;
}

bool Takeover::RuleOut(Machine& m) {
  if (!m.inherited) return false;
  m.inherited = false;
  if (!std::exchange(m.counted, false)) return false;
  if (--inherited_ > 0 || !settled()) return false;
  spdlog::info("takeover: settled, every inherited machine is known or ruled out");
  return true;
}

void Takeover::Ask(cluster::Machines& machines, double now, size_t most,
                   std::vector<DirectOrder>& out) {
  for (auto& [id, m] : machines) {
    if (asking_ >= kMostAsked || out.size() >= most) return;
    if (m.calling || m.deleting || m.lost || m.retoken || m.recorded_address.empty()) continue;
    // Again until its worker has found us, so that what ends there is known and refilled meanwhile.
    const bool due = m.confirmed ? m.last_answered <= begun_ && now - m.last_heard > report_s_
                                 : m.inherited && now >= m.ask_after;
    if (!due) continue;
    m.calling = true;
    ++asking_;
    out.push_back({id, m.recorded_address, m.token, m.ask_session, {}});
  }
}

bool Takeover::Learned(Machine& m, const DirectOrder& order, DirectOutcome outcome,
                       const wire::Report* report, double now) const {
  const bool told = report != nullptr && report->machine == order.machine;
  if (!told || outcome == DirectOutcome::kUnsure) {
    ++m.asked_in_vain;
    m.ask_after = now + ask_s_;
    return false;
  }
  if (outcome == DirectOutcome::kRefused) {
    // In another session, or a later leader's.
    m.ask_after = now + ask_s_;
    if (report->token <= m.token) m.ask_session = std::max(m.ask_session, report->session);
    return false;
  }
  return report->token == m.token && report->session == order.session &&
         m.Newer(report->session, report->seq);
}

// A successor starts nothing of earlier jobs before it has heard from every machine it took over.
// At any time some of many machines have just been taken by the cloud, so once nearly all have been
// heard the others are deleted: that is answered at once, and rules them out.
std::vector<std::string> Takeover::Stragglers(const cluster::Machines& machines,
                                              const Search& search, double now) const {
  std::vector<std::string> late;
  const bool few =
      static_cast<double>(inherited_) <= std::max(1.0, kStragglers * static_cast<double>(total_));
  const bool found = now - listening_since_ > find_s_;
  for (const auto& [id, m] : machines) {
    if (m.deleting || !m.inherited || now - m.last_heard <= find_s_) continue;
    const bool nearly = m.counted ? few : search.NearlyOver(id, kStragglers);
    // Its reports come, but nothing reaches it: while that is new it may yet. What it had has ended
    // once that has lasted for a lease.
    if (m.told_at > 0) {
      const double deaf = m.DeafFor(now);
      if (deaf > gone_s_ || (nearly && deaf > silent_s_)) late.push_back(id);
      continue;
    }
    if (nearly && ((m.counted && found) || m.asked_in_vain >= kAskedInVain)) late.push_back(id);
  }
  return late;
}

bool Takeover::Blind(const cluster::Machines& machines, double now) {
  size_t known = 0;
  size_t heard = 0;
  // A successor that asks in vain can't do the work either. What answered it is within reach,
  // though its worker may take long to find it: that tries the nodes one by one.
  const bool looked = now - listening_since_ > search_s_;
  for (const auto& [id, m] : machines) {
    if (m.lost || m.deleting || m.unlisted || m.failed) continue;
    if (m.inherited && !m.counted) continue;  // a holder that is gone couldn't reach it either
    const bool reported = m.last_answered > begun_;
    if (!reported && (m.confirmed || !m.inherited)) continue;
    // It has just found us, and may not have had the time to show it.
    if (!m.confirmed && m.told_at > 0 && m.DeafFor(now) <= silent_s_) continue;
    if (!reported && !looked && m.asked_in_vain < kAskedInVain) continue;
    ++known;
    heard += reported && now - m.last_heard < kBlindReports * report_s_ ? 1 : 0;
  }
  if (known < 2 || heard * 4 > known) {
    blind_since_ = -1;
    return false;
  }
  if (blind_since_ < 0) blind_since_ = now;
  return now - blind_since_ > report_s_ / 2;
}

void Takeover::StoodStill(double now) {
  blind_since_ = -1;
  listening_since_ = now;
}

}  // namespace mosspath::scheduler
