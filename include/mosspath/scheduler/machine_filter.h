// The filter stage of placement: which machines may take a task of a job. Pure.
#pragma once

#include <optional>

#include "mosspath/cluster/machine.h"
#include "mosspath/config/settings.h"
#include "mosspath/jobs/job.h"
#include "mosspath/scheduler/capacity_reservation.h"

namespace mosspath::scheduler {

// Machines in service come first. Cordoned ones are the last resort of urgent work.
enum class MachineTier { kInService, kCordoned };

// Why a machine may not take a task of a job.
enum class MachineRejection {
  kNotInTier,
  kNoRoom,
  kSpotNotAllowed,
  kOtherZone,
  kOtherMachineType,
  kFailedThereLately,  // a task of the job failed on the machine within the last lease time
  kReservedCapacity,   // the room is kept for urgent work that may run nowhere else
};

class MachineFilter {
 public:
  // The arguments outlive the filter.
  MachineFilter(const config::Settings& settings, const CapacityReservation& reservation)
      : settings_(settings), reservation_(reservation) {}

  // What the job itself rules out, whatever room the machine has. Empty: nothing.
  std::optional<MachineRejection> CheckConstraints(const jobs::Job& job,
                                                   const cluster::Machine& machine,
                                                   double now) const;
  // All filters: tier, room for one task, the job's constraints, the reservation.
  std::optional<MachineRejection> Check(const jobs::Job& job, const cluster::Machine& machine,
                                        MachineTier tier, double now) const;

  bool IsAllowedOn(const jobs::Job& job, const cluster::Machine& machine, double now) const {
    return !CheckConstraints(job, machine, now);
  }

 private:
  const config::Settings& settings_;
  const CapacityReservation& reservation_;
};

// The machine is of the tier and has room for one task.
bool FitsInTier(const wire::JobSpec& spec, const cluster::Machine& machine, MachineTier tier);

}  // namespace mosspath::scheduler
