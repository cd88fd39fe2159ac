#include "mosspath/scheduler/image_fetch.h"

namespace mosspath::scheduler {

double MissingImageGb(const jobs::Job& job, const cluster::Machine& machine,
                      const cluster::MachineTypeCatalog& types) {
  if (machine.image_cache.Has(job.spec.image)) return 0;
  const double slowness =
      machine.fetch_gb_per_s > 0 ? types.fastest_fetch_gb_per_s() / machine.fetch_gb_per_s : 1;
  return job.spec.image_gb * slowness;
}

double ImageFetchS(const jobs::Job& job, const cluster::Machine& machine) {
  if (machine.fetch_gb_per_s <= 0 || machine.image_cache.Has(job.spec.image)) return 0;
  return job.spec.image_gb / machine.fetch_gb_per_s;
}

}  // namespace mosspath::scheduler
