// Rejection of jobs that could never run on the machine types and zones of the platform. No I/O.
#pragma once

#include <string>
#include <vector>

#include "mosspath/config/settings.h"
#include "mosspath/wire/messages.h"

namespace mosspath::admission {

// Returns why the job can never run, as a message for its user; empty if the job can run. An array
// needs capacity for one task, since its tasks may run a few at a time. A service or a gang needs
// capacity for all its tasks at once.
std::string ReasonNeverRunnable(const wire::JobSpec& spec, const std::vector<config::Team>& teams,
                                const std::vector<wire::MachineType>& types);

}  // namespace mosspath::admission
