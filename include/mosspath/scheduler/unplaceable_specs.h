// Job specs for which a placement pass found too little free capacity. No I/O.
//
// Free capacity only shrinks during a pass. When the tasks of one job no longer fit, tasks that
// need the same or more on the same machines don't fit either, and need not be tried.
#pragma once

#include <vector>

#include "mosspath/jobs/job.h"

namespace mosspath::scheduler {

// Valid for one placement pass.
class UnplaceableSpecs {
 public:
  // Records that the job's remaining tasks don't fit. Ignores a job whose own constraints or recent
  // failures exclude machines, because other jobs may fit on these machines. The job outlives this
  // object.
  void Add(const jobs::Job& job);
  // Returns whether a recorded spec proves that tasks of `spec` don't fit: the recorded spec needs
  // no more resources than `spec`, and may use all machines that `spec` may use.
  bool Covers(const wire::JobSpec& spec) const;

 private:
  std::vector<const wire::JobSpec*> specs_;
};

}  // namespace mosspath::scheduler
