#include "mosspath/scheduler/start_gate.h"

#include <algorithm>

namespace mosspath::scheduler {

using jobs::Job;

StartGate::StartGate(const cluster::QuotaUsage& quota, const QuotaReservation& reservation,
                     const Failover& failover, DurableState& durable_state, uint64_t token)
    : quota_(quota),
      reservation_(reservation),
      failover_(failover),
      durable_state_(durable_state),
      token_(token) {}

void StartGate::SetMarkersSince(uint64_t version) {
  markers_since_ = version;
  markers_in_use_ = markers_in_use_ || version != kNever;
}

// Jobs of high priority and above get no marker: they rarely wait for capacity, so waiting for the
// write of a marker would delay the start of nearly every such job.
bool StartGate::NeedsStartMarker(const Job& job) const {
  return job.spec.priority < wire::Priority::kHigh && job.version > markers_since_;
}

bool StartGate::IsStartable(const Job& job) const {
  return failover_.recovery_complete() || job.version > token_ ||
         (NeedsStartMarker(job) && !job.inherited_start_marker);
}

bool StartGate::HasDurableStartMarker(Job& job) {
  if (!markers_in_use_ || job.spec.priority >= wire::Priority::kHigh ||
      job.start_marker == Job::StartMarker::kDurable) {
    return true;
  }
  durable_state_.RequestStartMarker(job);
  return false;
}

size_t StartGate::PlaceableTasks(const Job& job) const {
  const size_t headroom =
      quota_.Headroom(job, failover_.recovery_complete(), reservation_.ReservedAgainst(job));
  return std::min(headroom, RunnableTasks(job));
}

cluster::QuotaAmount StartGate::QuotaExcess(const Job& job) const {
  return quota_.Excess(job, RunnableTasks(job), failover_.recovery_complete());
}

bool IsDelegable(const Job& job) {
  const wire::JobSpec& spec = job.spec;
  return spec.kind == wire::JobKind::kArray && !spec.single_zone && !spec.spread_over_zones &&
         !job.crash_looping;
}

}  // namespace mosspath::scheduler
