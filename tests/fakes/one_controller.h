// One controller beside the stand-in of the state service, and a job: what tests of its parts need.
#pragma once

#include <string>

#include "mosspath/config/settings.h"
#include "mosspath/wire/messages.h"

namespace mosspath::fakes {

inline config::Settings OneControllerSettings(const std::string& state_address) {
  config::Settings s;
  s.name = "hut-0";
  s.controller_count = 1;
  s.store_address = state_address;
  s.heartbeat_s = 1;
  s.agent_lease_s = 24;
  s.cancel_within_s = 50;
  s.store_requests_per_s = 400;
  s.store_writes_per_s = 30;
  s.store_value_kb = 8;
  s.store_transaction_changes = 8;
  s.cloud_requests_per_s = 5;
  return s;
}

inline wire::JobSpec SmallJob(const std::string& id, uint32_t tasks) {
  wire::JobSpec s;
  s.id = id;
  s.job_class = "work";
  s.team = "t";
  s.tasks = tasks;
  s.cpus = 1;
  s.memory_gb = 1;
  s.image = "img";
  return s;
}

}  // namespace mosspath::fakes
