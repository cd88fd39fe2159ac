#include "mosspath/scheduler/unplaceable_specs.h"

#include <algorithm>

namespace mosspath::scheduler {
namespace {

bool IsUrgent(const wire::JobSpec& spec) { return spec.priority >= wire::Priority::kHigh; }

bool HasNoConstraints(const jobs::Job& job) {
  const wire::JobSpec& spec = job.spec;
  return spec.kind == wire::JobKind::kArray && !spec.single_zone && !spec.spread_over_zones &&
         !spec.zone && !spec.types && job.failed_on.empty();
}

// Returns whether tasks of `spec` don't fit because those of `failed` don't. Jobs of high priority
// and above may also use cordoned machines, so the failure of a job of lower priority doesn't rule
// such jobs out.
bool NeedsAtLeast(const wire::JobSpec& spec, const wire::JobSpec& failed) {
  return failed.spot_allowed == spec.spot_allowed && spec.cpus >= failed.cpus &&
         spec.gpus >= failed.gpus && spec.memory_gb >= failed.memory_gb &&
         (IsUrgent(failed) || !IsUrgent(spec));
}

}  // namespace

void UnplaceableSpecs::Add(const jobs::Job& job) {
  if (HasNoConstraints(job)) specs_.push_back(&job.spec);
}

bool UnplaceableSpecs::Covers(const wire::JobSpec& spec) const {
  return std::any_of(specs_.begin(), specs_.end(),
                     [&](const wire::JobSpec* failed) { return NeedsAtLeast(spec, *failed); });
}

}  // namespace mosspath::scheduler
