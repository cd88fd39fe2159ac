#include "mosspath/scheduler/failover.h"

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

Failover::Failover(const config::Settings& settings, const config::DerivedSettings& derived,
                   double now)
    : began_at_(now),
      report_s_(settings.heartbeat_s),
      search_s_(derived.agents_try_all_s),
      ask_s_(derived.probe_answer_s),
      find_s_(derived.agents_find_leader_s),
      silent_s_(derived.agent_suspect_s),
      gone_s_(derived.agent_lease_over_s),
      listening_since_(now) {}

void Failover::AddMachine(Machine& m, bool counted) {
  m.awaits_recovery = true;
  m.blocks_recovery = counted;
  if (!counted) return;
  m.lease_renewed_at = began_at_;
  ++machines_left_;
  ++machines_total_;
}

bool Failover::OnMachineKnown(Machine& m) {
  if (!m.awaits_recovery) return false;
  m.awaits_recovery = false;
  if (!std::exchange(m.blocks_recovery, false)) return false;
  if (--machines_left_ > 0 || !recovery_complete()) return false;
  spdlog::info("takeover: settled, every inherited machine is known or ruled out");
  return true;
}

void Failover::TakeProbes(cluster::Machines& machines, double now, size_t most,
                          std::vector<CommandBatch>& out) {
  for (auto& [id, m] : machines) {
    if (probes_in_flight_ >= kMostAsked || out.size() >= most) return;
    if (m.command_in_flight || m.deleting || m.lost || m.needs_new_token ||
        m.recorded_address.empty())
      continue;
    // Again until its worker has found us, so that what ends there is known and refilled meanwhile.
    const bool due = m.token_confirmed
                         ? m.lease_renewed_at <= began_at_ && now - m.last_contact_at > report_s_
                         : m.awaits_recovery && now >= m.next_probe_at;
    if (!due) continue;
    m.command_in_flight = true;
    ++probes_in_flight_;
    out.push_back({id, m.recorded_address, m.fencing_token, m.probe_epoch, {}});
  }
}

bool Failover::OnProbeAnswer(Machine& m, const CommandBatch& order, CommandOutcome outcome,
                             const wire::Heartbeat* report, double now) const {
  const bool told = report != nullptr && report->machine == order.machine;
  if (!told || outcome == CommandOutcome::kUndetermined) {
    ++m.failed_probes;
    m.next_probe_at = now + ask_s_;
    return false;
  }
  if (outcome == CommandOutcome::kRefused) {
    // In another session, or a later leader's.
    m.next_probe_at = now + ask_s_;
    if (report->fencing_token <= m.fencing_token)
      m.probe_epoch = std::max(m.probe_epoch, report->agent_epoch);
    return false;
  }
  return report->fencing_token == m.fencing_token && report->agent_epoch == order.agent_epoch &&
         m.IsNewer(report->agent_epoch, report->sequence);
}

// A successor starts nothing of earlier jobs before it has heard from every machine it took over.
// At any time some of many machines have just been taken by the cloud, so once nearly all have been
// heard the others are deleted: that is answered at once, and rules them out.
std::vector<std::string> Failover::Stragglers(const cluster::Machines& machines,
                                              const TaskReconciliation& search, double now) const {
  std::vector<std::string> late;
  const bool few = static_cast<double>(machines_left_) <=
                   std::max(1.0, kStragglers * static_cast<double>(machines_total_));
  const bool found = now - listening_since_ > find_s_;
  for (const auto& [id, m] : machines) {
    if (m.deleting || !m.awaits_recovery || now - m.last_contact_at <= find_s_) continue;
    const bool nearly = m.blocks_recovery ? few : search.IsNearlyComplete(id, kStragglers);
    // Its reports come, but nothing reaches it: while that is new it may yet. What it had has ended
    // once that has lasted for a lease.
    if (m.token_unconfirmed_since > 0) {
      const double deaf = m.TokenUnconfirmedFor(now);
      if (deaf > gone_s_ || (nearly && deaf > silent_s_)) late.push_back(id);
      continue;
    }
    if (nearly && ((m.blocks_recovery && found) || m.failed_probes >= kMaxFailedProbes))
      late.push_back(id);
  }
  return late;
}

bool Failover::IsPartitionedFromAgents(const cluster::Machines& machines, double now) {
  size_t known = 0;
  size_t heard = 0;
  // A successor that asks in vain can't do the work either. What answered it is within reach,
  // though its worker may take long to find it: that tries the nodes one by one.
  const bool looked = now - listening_since_ > search_s_;
  for (const auto& [id, m] : machines) {
    if (m.lost || m.deleting || m.missing_from_list || m.failed) continue;
    if (m.awaits_recovery && !m.blocks_recovery)
      continue;  // a holder that is gone couldn't reach it either
    const bool reported = m.lease_renewed_at > began_at_;
    if (!reported && (m.token_confirmed || !m.awaits_recovery)) continue;
    // It has just found us, and may not have had the time to show it.
    if (!m.token_confirmed && m.token_unconfirmed_since > 0 &&
        m.TokenUnconfirmedFor(now) <= silent_s_)
      continue;
    if (!reported && !looked && m.failed_probes < kMaxFailedProbes) continue;
    ++known;
    heard += reported && now - m.last_contact_at < kBlindReports * report_s_ ? 1 : 0;
  }
  if (known < 2 || heard * 4 > known) {
    partitioned_since_ = -1;
    return false;
  }
  if (partitioned_since_ < 0) partitioned_since_ = now;
  return now - partitioned_since_ > report_s_ / 2;
}

void Failover::OnProcessStall(double now) {
  partitioned_since_ = -1;
  listening_since_ = now;
}

}  // namespace mosspath::scheduler
