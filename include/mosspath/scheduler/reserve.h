// Room on ordinary machines that is kept for work that may run nowhere else: urgent jobs that allow
// no cheap machines come all the time, and find no room where work that could have gone to a cheap
// one fills whatever is free. Pure.
//
// What is kept is what came of such work in the time that a machine takes to boot: it is needed
// before a machine that is rented when it comes could be up. Nothing came lately: nothing is kept.
#pragma once

#include <deque>

#include "mosspath/config/operator_settings.h"
#include "mosspath/jobs/job.h"
#include "mosspath/cluster/machine.h"
#include "mosspath/cluster/types.h"

namespace mosspath::scheduler {

class Reserve {
 public:
  // Whether room is kept for such jobs.
  static bool For(const wire::JobSpec& spec) {
    return !spec.spot && spec.rank >= wire::Rank::kHigh;
  }
  // Boot times over which arrivals count.
  void Apply(double boots) { boots_ = boots; }
  // A job was submitted then.
  void Came(const wire::JobSpec& spec, double submitted);
  // CPUs, and the memory in GB of as many tasks.
  struct Size {
    double cpus = 0;
    double memory_gb = 0;
  };
  Size Kept(double now, const cluster::Types& types);

  // --- Through one pass of placing ---
  void Begin(double now, const cluster::Types& types) {
    kept_ = Kept(now, types);
    free_ = {};
  }
  // A machine that takes new work.
  void Add(const cluster::Machine& m);
  // Whether a task may take its room on the machine.
  bool MayTake(const wire::JobSpec& spec, const cluster::Machine& m) const;
  // It did. Or, negative, room came free.
  void Took(const wire::JobSpec& spec, const cluster::Machine& m);

 private:
  struct Arrival {
    double at = 0;
    Size size;
  };
  double boots_ = config::OperatorSettings().ordinary_boots;
  std::deque<Arrival> arrivals_;
  Size kept_;
  Size free_;  // on ordinary machines
};

}  // namespace mosspath::scheduler
