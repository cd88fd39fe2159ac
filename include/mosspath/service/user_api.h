// The users' API: submit, get and cancel jobs. An answer about a job is never older than any answer
// that any controller has given before (docs/design.md, rule 7). Not thread-safe.
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

// These functions return a response with an error in its body. RetryLaterResponse returns status
// 503 and a Retry-After header.
net::HttpResponse ErrorResponse(int status, const std::string& error);
net::HttpResponse RetryLaterResponse(const std::string& why);

class UserApi {
 public:
  using Responder = net::HttpServer::Responder;
  using Counts = std::function<scheduler::JobCounts(const std::string& id)>;

  UserApi(const config::Settings& settings, JobService& jobs,
          const kvstore::WatchCache& watch_cache, const MachineTypeCache& types, Counts counts)
      : settings_(settings),
        jobs_(jobs),
        watch_cache_(watch_cache),
        types_(types),
        counts_(std::move(counts)) {}

  void Submit(const net::HttpRequest& r, Responder respond);
  void Get(const std::string& id, Responder respond);
  void Cancel(const std::string& id, Responder respond);

 private:
  // Answers with the job's status, which is `known`. If `known` is kMissing, answers with
  // `missing`. If `known` is kUndetermined, answers that the user should retry later.
  void AnswerWithStatus(const std::string& id, JobService::JobStatus known,
                        const Responder& respond, net::HttpResponse missing);

  const config::Settings& settings_;
  JobService& jobs_;
  const kvstore::WatchCache& watch_cache_;
  const MachineTypeCache& types_;
  const Counts counts_;
};

}  // namespace mosspath::service
