// Observes the stops of attempts whose jobs have ended: logs the stops that are not executed at
// once, and counts them for the metrics. Changes no decision. No I/O except logging.
#pragma once

#include <cstddef>
#include <cstdint>
#include <vector>

#include "mosspath/cluster/cluster_state.h"
#include "mosspath/cluster/machine.h"
#include "mosspath/config/settings.h"
#include "mosspath/wire/messages.h"

namespace mosspath::scheduler {

// Times are measured from when this controller learned that the job has ended.
struct StopSummary {
  size_t outstanding = 0;  // attempts that may still run
  size_t late = 0;         // of these, attempts that are past half of cancel_within_s
  double oldest_s = 0;     // the longest time for which an attempt has been outstanding
  // Answers that renewed the lease of an agent with an outstanding attempt, in this term.
  uint64_t lease_renewals = 0;
};

// Not thread-safe.
class StopMonitor {
 public:
  explicit StopMonitor(const config::Settings& settings);

  // An answer with `commands` to a heartbeat under `token_seen` renews the lease of the machine's
  // agent.
  void OnLeaseRenewed(const cluster::Machine& machine, uint64_t token_seen,
                      const std::vector<wire::Command>& commands, double now);
  // A batch with `commands` is sent directly to the machine's agent.
  void OnBatchSent(const cluster::Machine& machine, const std::vector<wire::Command>& commands,
                   double now) const;
  // The agent reports that the attempt has exited.
  void OnExited(const cluster::Machine& machine, const wire::TaskId& task,
                const cluster::Allocation& allocation, double now) const;

  StopSummary Summarize(const cluster::Machines& machines, double now) const;

 private:
  // Stops that are outstanding for longer than this are logged.
  const double log_after_s_;
  const double late_after_s_;
  uint64_t lease_renewals_ = 0;
};

}  // namespace mosspath::scheduler
