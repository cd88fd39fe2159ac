// Whether a job could ever run on what the platform offers. Pure.
#pragma once

#include <string>
#include <vector>

#include "mosspath/config/settings.h"
#include "mosspath/wire/messages.h"

namespace mosspath::admission {

// Why the job can never run, for its user; empty: it can. A job whose tasks may run a few at a time
// only needs a place for one; the replicas of a service are up together, or it is not served.
std::string ReasonNeverRunnable(const wire::JobSpec& spec, const std::vector<config::Team>& teams,
                                const std::vector<wire::MachineType>& types);

}  // namespace mosspath::admission
