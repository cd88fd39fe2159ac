// Settings and jobs for tests that run components of one controller against the fake key-value
// store.
#pragma once

#include <string>

#include "mosspath/config/settings.h"
#include "mosspath/wire/messages.h"

namespace mosspath::fakes {

// Returns the settings of a deployment with a single controller.
inline config::Settings OneControllerSettings(const std::string& store_address) {
  config::Settings settings;
  settings.name = "hut-0";
  settings.controller_count = 1;
  settings.store_address = store_address;
  settings.heartbeat_s = 1;
  settings.agent_lease_s = 24;
  settings.cancel_within_s = 50;
  settings.store_requests_per_s = 400;
  settings.store_writes_per_s = 30;
  settings.store_value_kb = 8;
  settings.store_transaction_changes = 8;
  settings.cloud_requests_per_s = 5;
  return settings;
}

// Returns a job whose tasks each request 1 CPU and 1 GB of memory.
inline wire::JobSpec SmallJob(const std::string& id, uint32_t tasks) {
  wire::JobSpec spec;
  spec.id = id;
  spec.job_class = "work";
  spec.team = "t";
  spec.tasks = tasks;
  spec.cpus = 1;
  spec.memory_gb = 1;
  spec.image = "img";
  return spec;
}

}  // namespace mosspath::fakes
