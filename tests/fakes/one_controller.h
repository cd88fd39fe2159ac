// One controller beside the stand-in of the state service, and a job: what tests of its parts need.
#pragma once

#include <string>

#include "mosspath/config/settings.h"
#include "mosspath/wire/messages.h"

namespace mosspath::fakes {

inline config::Settings OneController(const std::string& state_address) {
  config::Settings s;
  s.node = "hut-0";
  s.nodes = 1;
  s.state_address = state_address;
  s.report_s = 1;
  s.lease_s = 24;
  s.cancel_s = 50;
  s.state_rps = 400;
  s.state_write_rps = 30;
  s.value_kb = 8;
  s.txn_ops = 8;
  s.cloud_rps = 5;
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
