// What it costs a machine to fetch a job's image: the input of the score stage. Pure.
#pragma once

#include "mosspath/cluster/machine.h"
#include "mosspath/cluster/machine_type_catalog.h"
#include "mosspath/jobs/job.h"

namespace mosspath::scheduler {

// GB of the job's image that the machine lacks, weighed by how much slower than the fastest machine
// type it fetches: a byte that is fetched at half the rate weighs double.
double MissingImageGb(const jobs::Job& job, const cluster::Machine& machine,
                      const cluster::MachineTypeCatalog& types);
// Seconds that the machine takes to fetch the job's image; 0 if it has it, or its rate is unknown.
double ImageFetchS(const jobs::Job& job, const cluster::Machine& machine);

}  // namespace mosspath::scheduler
