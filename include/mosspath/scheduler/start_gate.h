// Decides whether, and how many, tasks of a job may be started now, before any machine is
// considered. Pure.
//
// A new leader must not start a task that an earlier leader may have started already. A job was
// certainly never started if it was accepted under the present leader, or if every controller
// writes a durable start marker before a job's first start and the job has no marker.
#pragma once

#include <cstddef>
#include <cstdint>

#include "mosspath/cluster/quota_usage.h"
#include "mosspath/jobs/job.h"
#include "mosspath/scheduler/durable_state.h"
#include "mosspath/scheduler/failover.h"
#include "mosspath/scheduler/quota_reservation.h"

namespace mosspath::scheduler {

// Belongs to one term of leadership or one shard lease. Not thread-safe.
class StartGate {
 public:
  // Means that not all controllers write start markers.
  static constexpr uint64_t kNever = ~uint64_t{0};

  // The references must outlive the gate. `token` is the fencing token of the term, or the number
  // of the shard lease.
  StartGate(const cluster::QuotaUsage& quota, const QuotaReservation& reservation,
            const Failover& failover, DurableState& durable_state, uint64_t token);

  // Sets the version above which jobs get a durable start marker before any of their tasks is
  // started, whichever controller leads. A leader that has begun to write markers goes on even if
  // kNever is set: while the leader reloads its view (what the leader has read of the key-value
  // store), the view contains no controller that writes markers. If the leader then started a job
  // without a marker, its successor would treat the job as never started.
  void SetMarkersSince(uint64_t version);

  // Returns whether the job's pending tasks may be started: it is certain that none of them still
  // runs because an earlier leader started it.
  bool IsStartable(const jobs::Job& job) const;
  // Returns whether the job's start marker is durable or not needed. If neither is the case,
  // requests the write of the marker; callers therefore make this check last before a start.
  bool HasDurableStartMarker(jobs::Job& job);
  // Returns how many of the job's pending tasks the team's limit allows to be placed now.
  size_t PlaceableTasks(const jobs::Job& job) const;
  // Returns by how much the team would exceed its limit if all RunnableTasks ran.
  cluster::QuotaAmount QuotaExcess(const jobs::Job& job) const;

 private:
  bool NeedsStartMarker(const jobs::Job& job) const;

  const cluster::QuotaUsage& quota_;
  const QuotaReservation& reservation_;
  const Failover& failover_;
  DurableState& durable_state_;
  const uint64_t token_;
  uint64_t markers_since_ = kNever;
  bool markers_in_use_ = false;
};

// Returns whether tasks of the job may be delegated to the holders of shards. Only the leader
// places jobs whose placement must take all machines into account: gangs, services, jobs with tasks
// that must be in one zone or spread over zones, and crash looping jobs.
bool IsDelegable(const jobs::Job& job);

}  // namespace mosspath::scheduler
