// Room on ordinary machines that is kept for work that may run nowhere else: urgent jobs that allow
// no cheap machines come all the time, and find no room where work that could have gone to a cheap
// one fills whatever is free. Pure.
//
// What is kept is what came of such work in the time that a machine takes to boot: it is needed
// before a machine that is rented when it comes could be up. Nothing came lately: nothing is kept.
#pragma once

#include <deque>

#include "mosspath/cluster/machine.h"
#include "mosspath/cluster/machine_type_catalog.h"
#include "mosspath/config/operator_settings.h"
#include "mosspath/jobs/job.h"

namespace mosspath::scheduler {

class CapacityReservation {
 public:
  // Whether room is kept for such jobs.
  static bool AppliesTo(const wire::JobSpec& spec) {
    return !spec.spot_allowed && spec.priority >= wire::Priority::kHigh;
  }
  // Boot times over which arrivals count.
  void SetBootTimes(double boots) { boot_times_ = boots; }
  // A job was submitted then.
  void OnSubmitted(const wire::JobSpec& spec, double submitted);
  // CPUs, and the memory in GB of as many tasks.
  struct Resources {
    double cpus = 0;
    double memory_gb = 0;
  };
  Resources Reserved(double now, const cluster::MachineTypeCatalog& types);

  // --- Through one pass of placing ---
  void BeginPass(double now, const cluster::MachineTypeCatalog& types) {
    reserved_ = Reserved(now, types);
    free_ = {};
  }
  // A machine that takes new work.
  void AddMachine(const cluster::Machine& m);
  // Whether a task may take its room on the machine.
  bool MayTake(const wire::JobSpec& spec, const cluster::Machine& m) const;
  // It did. Or, negative, room came free.
  void OnAllocated(const wire::JobSpec& spec, const cluster::Machine& m);

 private:
  struct Arrival {
    double at = 0;
    Resources size;
  };
  double boot_times_ = config::OperatorSettings().ordinary_boots;
  std::deque<Arrival> arrivals_;
  Resources reserved_;
  Resources free_;  // on ordinary machines
};

}  // namespace mosspath::scheduler
