// What users ask: submit, get, cancel. Every answer about a job is no older than what any
// controller has told (docs/design.md, rule 7).
#pragma once

#include <functional>
#include <string>

#include "mosspath/config/settings.h"
#include "mosspath/net/http_server.h"
#include "mosspath/scheduler/dispatcher.h"
#include "mosspath/service/job_table.h"
#include "mosspath/service/type_keeper.h"
#include "mosspath/kvstore/mirror.h"

namespace mosspath::service {

// An answer with an error in its body; with Retry-After if it may be asked again.
net::HttpAnswer Plain(int status, const std::string& error);
net::HttpAnswer Later(const std::string& why);

class UserApi {
 public:
  using Responder = net::HttpServer::Responder;
  using Counts = std::function<scheduler::JobCounts(const std::string& id)>;

  UserApi(const config::Settings& settings, JobTable& jobs, Admission& admission,
          const kvstore::Mirror& mirror, const TypeKeeper& types, Counts counts)
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
  void AnswerKnown(const std::string& id, JobTable::Known known, const Responder& respond,
                   net::HttpAnswer missing);

  const config::Settings& settings_;
  JobTable& jobs_;
  Admission& admission_;
  const kvstore::Mirror& mirror_;
  const TypeKeeper& types_;
  const Counts counts_;
};

}  // namespace mosspath::service
