// The cost of fetching a job's image on a machine: an input of the score stage. No I/O.
#pragma once

#include "mosspath/cluster/machine.h"
#include "mosspath/cluster/machine_type_catalog.h"
#include "mosspath/jobs/job.h"

namespace mosspath::scheduler {

// Returns the GB of the job's image that the machine lacks, scaled by how much slower the machine
// fetches than the fastest machine type: a byte fetched at half that rate counts double.
double MissingImageGb(const jobs::Job& job, const cluster::Machine& machine,
                      const cluster::MachineTypeCatalog& types);
// Returns the seconds that the machine takes to fetch the job's image; 0 if the machine has the
// image or its fetch rate is unknown.
double ImageFetchS(const jobs::Job& job, const cluster::Machine& machine);

}  // namespace mosspath::scheduler
