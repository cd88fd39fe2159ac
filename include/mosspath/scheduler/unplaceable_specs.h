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
  // Records that the job's remaining tasks don't fit. Ignores jobs with constraints of their own,
  // since these exclude machines that other jobs may use. The job outlives this object.
  void Add(const jobs::Job& job);
  // Returns whether a recorded spec needs no more than this one and may use the same machines.
  bool Covers(const wire::JobSpec& spec) const;

 private:
  std::vector<const wire::JobSpec*> specs_;
};

}  // namespace mosspath::scheduler
