#include "mosspath/scheduler/machine_filter.h"

#include <algorithm>

namespace mosspath::scheduler {

bool IsInTier(const cluster::Machine& machine, MachineTier tier) {
  const bool in_service = !machine.draining && !machine.cordoned;
  const bool cordoned = machine.draining && machine.cordoned;
  switch (tier) {
    case MachineTier::kInService:
      return in_service;
    case MachineTier::kCordoned:
      return cordoned;
    case MachineTier::kInServiceOrCordoned:
      return in_service || cordoned;
  }
  return false;
}

bool FitsInTier(const wire::JobSpec& spec, const cluster::Machine& machine, MachineTier tier) {
  return IsInTier(machine, tier) && machine.Fits(spec);
}

std::optional<MachineRejection> MachineFilter::CheckConstraints(const jobs::Job& job,
                                                                const cluster::Machine& machine,
                                                                double now) const {
  const wire::JobSpec& spec = job.spec;
  if (machine.spot && !spec.spot_allowed) return MachineRejection::kSpotNotAllowed;
  if (spec.zone && *spec.zone != machine.zone) return MachineRejection::kOtherZone;
  if (spec.types &&
      std::find(spec.types->begin(), spec.types->end(), machine.type) == spec.types->end()) {
    return MachineRejection::kOtherMachineType;
  }
  if (job.failed_on.empty()) return std::nullopt;
  const auto failed = job.failed_on.find(machine.id);
  if (failed == job.failed_on.end() || now - failed->second > settings_.agent_lease_s) {
    return std::nullopt;
  }
  return MachineRejection::kRecentFailure;
}

std::optional<MachineRejection> MachineFilter::Check(const jobs::Job& job,
                                                     const cluster::Machine& machine,
                                                     MachineTier tier, double now) const {
  if (!IsInTier(machine, tier)) return MachineRejection::kNotInTier;
  if (!machine.Fits(job.spec)) {
    return MachineRejection::kInsufficientResources;
  }
  if (const auto rejection = CheckConstraints(job, machine, now)) return rejection;
  if (!reservation_.MayTake(job.spec, machine)) return MachineRejection::kReservedCapacity;
  return std::nullopt;
}

}  // namespace mosspath::scheduler
