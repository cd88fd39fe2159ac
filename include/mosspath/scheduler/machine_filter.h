// The filter stage of placement. No I/O; the time is an argument.
#pragma once

#include <optional>

#include "mosspath/cluster/machine.h"
#include "mosspath/config/settings.h"
#include "mosspath/jobs/job.h"
#include "mosspath/scheduler/capacity_reservation.h"

namespace mosspath::scheduler {

// Machines in service are tried first. Cordoned machines are the last resort of jobs of high
// priority and above.
enum class MachineTier { kInService, kCordoned, kInServiceOrCordoned };

// Why a machine may not run a task of a job.
enum class MachineRejection {
  kNotInTier,
  kInsufficientResources,
  kSpotNotAllowed,
  kOtherZone,
  kOtherMachineType,
  kRecentFailure,     // a task of the job failed on the machine within the last agent lease time
  kReservedCapacity,  // the capacity is reserved for urgent jobs that may not use spot machines
};

// Decides which machines may run a task of a job.
class MachineFilter {
 public:
  // The arguments outlive the filter.
  MachineFilter(const config::Settings& settings, const CapacityReservation& reservation)
      : settings_(settings), reservation_(reservation) {}

  // Returns the constraint or recent failure of the job that excludes the machine, or nullopt if
  // none does. Ignores the machine's free capacity.
  std::optional<MachineRejection> CheckConstraints(const jobs::Job& job,
                                                   const cluster::Machine& machine,
                                                   double now) const;
  // Applies all filters: tier, free capacity for one task, CheckConstraints, the reservation.
  // Returns the first rejection; nullopt if the machine may run a task.
  std::optional<MachineRejection> Check(const jobs::Job& job, const cluster::Machine& machine,
                                        MachineTier tier, double now) const;

  bool IsAllowedOn(const jobs::Job& job, const cluster::Machine& machine, double now) const {
    return !CheckConstraints(job, machine, now);
  }
  // Returns whether the reservation leaves the machine's free capacity to the job.
  bool MayTakeUnreserved(const jobs::Job& job, const cluster::Machine& machine) const {
    return reservation_.MayTake(job.spec, machine);
  }

 private:
  const config::Settings& settings_;
  const CapacityReservation& reservation_;
};

// Returns whether the machine is of the tier.
bool IsInTier(const cluster::Machine& machine, MachineTier tier);
// Returns whether the machine is of the tier and has free capacity for one task.
bool FitsInTier(const wire::JobSpec& spec, const cluster::Machine& machine, MachineTier tier);

}  // namespace mosspath::scheduler
