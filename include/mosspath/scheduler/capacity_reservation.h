// Free capacity on on-demand machines that is reserved for urgent jobs that may not use spot
// machines. No I/O; the time is an argument.
//
// Such jobs arrive all the time. Without a reservation, work that could have used spot machines
// fills the on-demand ones. The reservation equals the arrivals of such jobs within a machine's
// boot time: the next arrivals need that capacity before a machine that is rented on their arrival
// has booted. Without recent arrivals nothing is reserved.
#pragma once

#include <deque>

#include "mosspath/cluster/machine.h"
#include "mosspath/cluster/machine_type_catalog.h"
#include "mosspath/config/operator_settings.h"
#include "mosspath/jobs/job.h"

namespace mosspath::scheduler {

// Records arrivals, and accounts for the free capacity of on-demand machines during a pass. Not
// thread-safe.
class CapacityReservation {
 public:
  // Returns whether capacity is reserved for jobs of this spec.
  static bool AppliesTo(const wire::JobSpec& spec) {
    return !spec.spot_allowed && spec.priority >= wire::Priority::kHigh;
  }
  // Sets the window over which arrivals count, in boot times of the slowest machine type.
  void SetBootTimes(double boot_times) { boot_times_ = boot_times; }
  void OnSubmitted(const wire::JobSpec& spec, double submitted_at);
  struct Resources {
    double cpus = 0;
    double memory_gb = 0;
  };
  // Returns the resources of all tasks that arrived within the window.
  Resources Reserved(double now, const cluster::MachineTypeCatalog& types);

  // --- One placement pass ---
  void BeginPass(double now, const cluster::MachineTypeCatalog& types) {
    reserved_ = Reserved(now, types);
    free_ = {};
  }
  // Counts the free capacity of a machine that accepts new tasks.
  void AddMachine(const cluster::Machine& machine);
  // Returns whether a task may use capacity of the machine without cutting into the reservation.
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
  Resources free_;  // on on-demand machines
};

}  // namespace mosspath::scheduler
