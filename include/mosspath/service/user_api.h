// What users ask: submit, get, cancel. Every answer about a job is no older than what any
// controller has told (docs/design.md, rule 7).
#pragma once

#include <functional>
#include <string>

#include "mosspath/config/settings.h"
#include "mosspath/kvstore/watch_cache.h"
#include "mosspath/net/http_server.h"
#include "mosspath/scheduler/scheduler.h"
#include "mosspath/service/job_service.h"
#include "mosspath/service/machine_type_cache.h"

namespace mosspath::service {

// An answer with an error in its body; with Retry-After if it may be asked again.
net::HttpResponse ErrorResponse(int status, const std::string& error);
net::HttpResponse RetryLaterResponse(const std::string& why);

class UserApi {
 public:
  using Responder = net::HttpServer::Responder;
  using Counts = std::function<scheduler::JobCounts(const std::string& id)>;

  UserApi(const config::Settings& settings, JobService& jobs, AdmissionService& admission,
          const kvstore::WatchCache& mirror, const MachineTypeCache& types, Counts counts)
      : settings_(settings),
        jobs_(jobs),
        admission_(admission),
        mirror_(mirror),
        types_(types),
        counts_(std::move(counts)) {}

  void Submit(const net::HttpRequest& r, Responder respond);
  void Get(const std::string& id, Responder respond);
  void Cancel(const std::string& id, Responder respond);

 private:
  void AnswerKnown(const std::string& id, JobService::JobStatus known, const Responder& respond,
                   net::HttpResponse missing);

  const config::Settings& settings_;
  JobService& jobs_;
  AdmissionService& admission_;
  const kvstore::WatchCache& mirror_;
  const MachineTypeCache& types_;
  const Counts counts_;
};

}  // namespace mosspath::service
