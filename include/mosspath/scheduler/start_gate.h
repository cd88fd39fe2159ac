// Whether, and how many, tasks of a job may be started now, before any machine is looked at. Pure.
//
// A new leader must not start what an earlier leader may have started already. It knows that a job
// was never started when it accepted the job itself, or when every controller marks jobs in the
// durable record before their first start and the job has no such marker.
#pragma once

#include <cstddef>
#include <cstdint>

#include "mosspath/cluster/quota_usage.h"
#include "mosspath/jobs/job.h"
#include "mosspath/scheduler/durable_state.h"
#include "mosspath/scheduler/failover.h"

namespace mosspath::scheduler {

class StartGate {
 public:
  // Not all controllers write start markers.
  static constexpr uint64_t kNever = ~uint64_t{0};

  // The arguments outlive the gate. `token`: fencing token of this leadership.
  StartGate(const cluster::QuotaUsage& quota, const Failover& failover, DurableState& durable_state,
            uint64_t token);

  // Jobs of a later version than this are marked in the record before any of their tasks is
  // started, whoever leads. A leader that has begun to write markers goes on after kNever: its view
  // of who writes them is empty for a moment while it is loaded anew, and a successor would take
  // what it started then for unstarted.
  void SetMarkersSince(uint64_t version);

  // No earlier leader can have started what waits of the job.
  bool IsStartable(const jobs::Job& job) const;
  // Whether the job's start marker, if it needs one, is durable. Requests it if not, so this is the
  // last check before a start.
  bool HasDurableStartMarker(jobs::Job& job);
  // How many of the job's pending tasks may be placed now as far as its team's limit goes. A job in
  // a crash loop runs one task at a time.
  size_t PlaceableTasks(const jobs::Job& job) const;

 private:
  bool NeedsStartMarker(const jobs::Job& job) const;

  const cluster::QuotaUsage& quota_;
  const Failover& failover_;
  DurableState& durable_state_;
  const uint64_t token_;
  uint64_t markers_since_ = kNever;
  bool markers_in_use_ = false;
};

// Whether tasks of the job may be delegated to the holders of shards. What needs one view of all
// machines stays with the leader: gangs, services, tasks that must be together or apart, and jobs
// that fail everywhere.
bool IsDelegable(const jobs::Job& job);

}  // namespace mosspath::scheduler
