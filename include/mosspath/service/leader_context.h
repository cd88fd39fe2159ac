// Dependencies that the services of a leader share.
#pragma once

#include <asio/io_context.hpp>

#include "mosspath/config/settings.h"
#include "mosspath/kvstore/client.h"
#include "mosspath/scheduler/scheduler.h"
#include "mosspath/service/cloud_client.h"
#include "mosspath/service/job_service.h"
#include "mosspath/service/leadership_term.h"

namespace mosspath::service {

// Owns nothing: the referenced objects outlive the services that use the context.
struct LeaderContext {
  asio::io_context& io;
  const config::Settings& settings;
  const config::DerivedSettings& derived;
  kvstore::Client& store;
  CloudClient& cloud;
  const JobService& jobs;
  LeadershipTerm& term;
  scheduler::Scheduler& scheduler;
};

// Returns a transaction that commits only while the version of the leader key is the fencing token
// of the term.
[[nodiscard]] kvstore::Transaction LeaderTransaction(const LeadershipTerm& term);

}  // namespace mosspath::service
