// Specs that found no room in this placement pass. Pure.
//
// Room only shrinks during a pass: what found none leaves none for tasks that need the same or
// more, so these need not be tried.
#pragma once

#include <vector>

#include "mosspath/jobs/job.h"

namespace mosspath::scheduler {

class UnplaceableSpecs {
 public:
  // The job found no room. Counts only for jobs without constraints of their own; the job outlives
  // this object.
  void Add(const jobs::Job& job);
  // A spec that found no room needs no more than this one, on the same machines.
  bool Covers(const wire::JobSpec& spec) const;

 private:
  std::vector<const wire::JobSpec*> specs_;
};

}  // namespace mosspath::scheduler
