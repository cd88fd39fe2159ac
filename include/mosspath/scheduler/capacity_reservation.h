// Free capacity on on-demand machines that is reserved for urgent jobs that may not use spot
// machines. No I/O; the time is an argument.
//
// Such jobs arrive all the time. Without a reservation, jobs that could use spot machines would
// fill the on-demand machines. The reservation equals the resources of the urgent jobs that arrived
// within the last boot time of a machine (or a configured multiple of it): the next such jobs will
// need about as much before a machine that is rented on their arrival has booted. Without recent
// arrivals nothing is reserved.
#pragma once

#include <deque>

#include "mosspath/cluster/machine.h"
#include "mosspath/cluster/machine_type_catalog.h"
#include "mosspath/config/operator_settings.h"
#include "mosspath/jobs/job.h"

namespace mosspath::scheduler {

// Records the arrivals of urgent jobs that may not use spot machines, and counts the free capacity
// of on-demand machines during a placement pass. Not thread-safe.
class CapacityReservation {
 public:
  // Returns whether capacity is reserved for jobs of this spec.
  static bool AppliesTo(const wire::JobSpec& spec) {
    return !spec.spot_allowed && spec.priority >= wire::Priority::kHigh;
  }
  // Sets the window within which arrivals count towards the reservation, in boot times of the
  // machine type that boots slowest.
  void SetBootTimes(double boot_times) { boot_times_ = boot_times; }
  void OnSubmitted(const wire::JobSpec& spec, double submitted_at);
  struct Resources {
    double cpus = 0;
    double memory_gb = 0;
  };
  // Returns the resources of all tasks of the jobs that arrived within the window, and removes
  // earlier arrivals.
  Resources Reserved(double now, const cluster::MachineTypeCatalog& types);

  // --- One placement pass ---
  void BeginPass(double now, const cluster::MachineTypeCatalog& types) {
    reserved_ = Reserved(now, types);
    free_ = {};
  }
  // Adds the free capacity of a machine that accepts new tasks, if it is an on-demand machine.
  void AddMachine(const cluster::Machine& machine);
  // Returns whether a task may be placed on the machine. Refuses only a task that may use spot
  // machines, if the machine is an on-demand machine and the task would leave less free capacity
  // on such machines than is reserved.
  bool MayTake(const wire::JobSpec& spec, const cluster::Machine& machine) const;
  // Counts a task that was allocated on the machine.
  void OnAllocated(const wire::JobSpec& spec, const cluster::Machine& machine);

 private:
  struct Arrival {
    double submitted_at = 0;
    Resources resources;
  };
  double boot_times_ = config::OperatorSettings().ordinary_boots;
  std::deque<Arrival> arrivals_;
  Resources reserved_;
  Resources free_;  // free capacity of on-demand machines
};

}  // namespace mosspath::scheduler
