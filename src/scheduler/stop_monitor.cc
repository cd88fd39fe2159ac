#include "mosspath/scheduler/stop_monitor.h"

#include <spdlog/spdlog.h>

#include <algorithm>

namespace mosspath::scheduler {

using cluster::Allocation;
using cluster::Machine;

namespace {

// A cancellation is late once this share of cancel_within_s has passed.
constexpr double kLateShare = 0.5;

// Whether the attempt may still run although its job has ended.
bool IsOutstanding(const Allocation& allocation) {
  return allocation.job_end_seen_at.has_value() && !allocation.exited();
}

size_t CountStops(const std::vector<wire::Command>& commands) {
  return static_cast<size_t>(std::count_if(
      commands.begin(), commands.end(),
      [](const wire::Command& command) { return command.type == wire::CommandType::kStop; }));
}

// Adds the machine's outstanding attempts to the summary.
void AddMachine(const Machine& machine, double now, double late_after_s, StopSummary& summary) {
  for (const auto& [key, allocation] : machine.allocations) {
    if (!IsOutstanding(allocation)) continue;
    const double age_s = now - *allocation.job_end_seen_at;
    ++summary.outstanding;
    summary.late += age_s > late_after_s ? 1 : 0;
    summary.oldest_s = std::max(summary.oldest_s, age_s);
  }
}

}  // namespace

StopMonitor::StopMonitor(const config::Settings& settings)
    : log_after_s_(settings.heartbeat_s), late_after_s_(kLateShare * settings.cancel_within_s) {}

// An outstanding attempt counts even if the answer has no stop for it: that would be a fault.
void StopMonitor::OnLeaseRenewed(const Machine& machine, uint64_t token_seen,
                                 const std::vector<wire::Command>& commands, double now) {
  const size_t stops = CountStops(commands);
  StopSummary summary;
  AddMachine(machine, now, late_after_s_, summary);
  if (stops == 0 && summary.outstanding == 0) return;
  const bool raises_token = !machine.IsCurrentToken(token_seen);
  if (summary.outstanding > 0 || raises_token) ++lease_renewals_;
  if (!raises_token && summary.oldest_s <= log_after_s_) return;
  spdlog::info(
      "scheduler: lease_renewed machine={} token_seen={} token={} stops={} outstanding={} "
      "oldest_s={:.1f}",
      machine.id, token_seen, machine.fencing_token, stops, summary.outstanding, summary.oldest_s);
}

void StopMonitor::OnBatchSent(const Machine& machine, const std::vector<wire::Command>& commands,
                              double now) const {
  const size_t stops = CountStops(commands);
  if (stops == 0) return;
  StopSummary summary;
  AddMachine(machine, now, late_after_s_, summary);
  if (summary.oldest_s <= log_after_s_) return;
  spdlog::info("scheduler: stops_sent machine={} token={} stops={} outstanding={} oldest_s={:.1f}",
               machine.id, machine.fencing_token, stops, summary.outstanding, summary.oldest_s);
}

void StopMonitor::OnExited(const Machine& machine, const wire::TaskId& task,
                           const Allocation& allocation, double now) const {
  if (!allocation.job_end_seen_at) return;
  const double age_s = now - *allocation.job_end_seen_at;
  if (age_s <= log_after_s_) return;
  spdlog::info("scheduler: late_stop_confirmed task={} machine={} after_s={:.1f}",
               wire::TaskName(task), machine.id, age_s);
}

StopSummary StopMonitor::Summarize(const cluster::Machines& machines, double now) const {
  StopSummary summary;
  for (const auto& [id, machine] : machines) AddMachine(machine, now, late_after_s_, summary);
  summary.lease_renewals = lease_renewals_;
  return summary;
}

}  // namespace mosspath::scheduler
