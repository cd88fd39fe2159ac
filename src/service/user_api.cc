#include "mosspath/service/user_api.h"

#include <spdlog/spdlog.h>

#include <utility>

#include "mosspath/admission/runnable.h"

namespace mosspath::service {

using net::HttpResponse;
using wire::Json;

namespace {

constexpr double kRetryS = 1.0;

}  // namespace

HttpResponse ErrorResponse(int status, const std::string& error) {
  return {status, wire::ErrorAnswer(error).dump()};
}

HttpResponse RetryLaterResponse(const std::string& why) {
  HttpResponse response = ErrorResponse(503, why);
  response.retry_after_s = kRetryS;
  return response;
}

namespace {

HttpResponse TooManyRequests(const std::string& why, double retry_after_s) {
  HttpResponse response = ErrorResponse(429, why);
  response.retry_after_s = retry_after_s;
  return response;
}

}  // namespace

void UserApi::AnswerWithStatus(const std::string& id, JobService::JobStatus known,
                               const Responder& respond, HttpResponse missing) {
  switch (known) {
    case JobService::JobStatus::kDone: {
      return respond({200, wire::JobAnswer(id, wire::JobState::kDone).dump()});
    }
    case JobService::JobStatus::kCancelled:
      return respond({200, wire::JobAnswer(id, wire::JobState::kCancelled).dump()});
    case JobService::JobStatus::kLive: {
      const auto counts = counts_(id);
      const auto stage = counts.running > 0 ? wire::JobState::kRunning : wire::JobState::kQueued;
      return respond({200, wire::JobAnswer(id, stage, counts.done, counts.running).dump()});
    }
    case JobService::JobStatus::kMissing:
      return respond(std::move(missing));
    case JobService::JobStatus::kUndetermined:
      return respond(RetryLaterResponse("can't tell now"));
  }
}

void UserApi::Submit(const net::HttpRequest& r, Responder respond) {
  Json body;
  try {
    body = wire::ParseObject(r.body);
  } catch (const std::exception& e) {
    return respond(ErrorResponse(400, e.what()));
  }
  const std::string id = wire::PeekJobId(body);
  // If the job already has a record, the request is answered with the job's status, even if the
  // request is invalid now or would be refused.
  const auto refuse = [&](HttpResponse answer) {
    if (id.empty()) return respond(std::move(answer));
    jobs_.Lookup(id, [this, id, respond, answer](JobService::JobStatus known) {
      AnswerWithStatus(id, known, respond, answer);
    });
  };
  wire::JobSpec spec;
  try {
    spec = wire::ParseJob(body);
  } catch (const std::exception& e) {
    return refuse(ErrorResponse(400, e.what()));
  }
  if (types_.empty() || !watch_cache_.loaded())
    return refuse(RetryLaterResponse("can't decide yet"));
  const std::string why = admission::ReasonNeverRunnable(spec, settings_.teams, types_.types());
  if (!why.empty()) return refuse(ErrorResponse(422, why));
  const auto on_outcome = [this, id, respond](JobService::SubmitOutcome accepted) {
    switch (accepted) {
      case JobService::SubmitOutcome::kNew:
        return respond({201, wire::JobAnswer(id, wire::JobState::kQueued).dump()});
      case JobService::SubmitOutcome::kAlreadyRecorded:
        return jobs_.Lookup(id, [this, id, respond](JobService::JobStatus known) {
          AnswerWithStatus(id, known, respond, RetryLaterResponse("can't tell now"));
        });
      case JobService::SubmitOutcome::kQueueFull:
        return respond(TooManyRequests("too many submissions of this team are waiting", kRetryS));
      case JobService::SubmitOutcome::kUndetermined:
        return respond(RetryLaterResponse("can't take it now"));
    }
  };
  if (const auto verdict = jobs_.Submit(spec, on_outcome); !verdict.admit) {
    spdlog::debug("service: job_refused job={} retry_after_s={:.1f} reason={}", id,
                  verdict.retry_after_s, verdict.reason);
    refuse(TooManyRequests(verdict.reason, verdict.retry_after_s));
  }
}

void UserApi::Get(const std::string& id, Responder respond) {
  jobs_.Lookup(id, [this, id, respond = std::move(respond)](JobService::JobStatus known) {
    AnswerWithStatus(id, known, respond, ErrorResponse(404, "no such job"));
  });
}

void UserApi::Cancel(const std::string& id, Responder respond) {
  jobs_.Cancel(id, [this, id, respond = std::move(respond)](JobService::JobStatus known) {
    AnswerWithStatus(id, known, respond, ErrorResponse(404, "no such job"));
  });
}

}  // namespace mosspath::service
