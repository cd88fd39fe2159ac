#include "mosspath/service/metrics.h"

#include <prometheus/text_serializer.h>

namespace mosspath::service {
namespace {

// Maximum number of classes and teams with metrics. Users choose the names of classes, so without
// the limit the number of metrics would be unbounded.
constexpr size_t kMaxExportedGroups = 200;

const char* Name(Metrics::Route r) {
  switch (r) {
    case Metrics::Route::kSubmit:
      return "submit";
    case Metrics::Route::kGet:
      return "get";
    case Metrics::Route::kCancel:
      return "cancel";
    case Metrics::Route::kReport:
      return "report";
    case Metrics::Route::kOther:
      break;
  }
  return "other";
}

}  // namespace

Metrics::Metrics()
    : latency_(prometheus::BuildHistogram()
                   .Name("mosspath_answer_seconds")
                   .Help("Time to answer a request, by route")
                   .Register(registry_)),
      answers_(prometheus::BuildCounter()
                   .Name("mosspath_answers_total")
                   .Help("Answers given, by route and status")
                   .Register(registry_)),
      malformed_(prometheus::BuildCounter()
                     .Name("mosspath_malformed_total")
                     .Help("Messages that could not be understood, by sender and kind")
                     .Register(registry_)),
      process_stall_seconds_(
          prometheus::BuildCounter()
              .Name("mosspath_stood_still_seconds_total")
              .Help("Time in which this process did not run though its clock did")
              .Register(registry_)
              .Add({})),
      heartbeat_age_(prometheus::BuildGauge()
                         .Name("mosspath_controller_heard_seconds")
                         .Help("Since a controller was last heard by any")
                         .Register(registry_)),
      unreachable_count_(prometheus::BuildGauge()
                             .Name("mosspath_controller_lacks")
                             .Help("How many things a controller can't reach")
                             .Register(registry_)),
      waiting_(prometheus::BuildGauge()
                   .Name("mosspath_waiting_tasks")
                   .Help("Tasks waiting, by class or team")
                   .Register(registry_)),
      since_(prometheus::BuildGauge()
                 .Name("mosspath_since_seconds")
                 .Help("Since a task last started or a job last finished, by class or team")
                 .Register(registry_)),
      sockets_(prometheus::BuildGauge()
                   .Name("mosspath_sockets")
                   .Help("Sockets of this process by party: used, limit, refused, sent off")
                   .Register(registry_)),
      admission_(prometheus::BuildGauge()
                     .Name("mosspath_admission")
                     .Help("Tasks as this process sees them: budget, live, under way; its part")
                     .Register(registry_)),
      submissions_(prometheus::BuildGauge()
                       .Name("mosspath_submissions")
                       .Help("Jobs that this process was asked to accept, and refused for room")
                       .Register(registry_)),
      status_age_(prometheus::BuildGauge()
                      .Name("mosspath_status_age_seconds")
                      .Help("How old the figures are that this node shows")
                      .Register(registry_)
                      .Add({})),
      stops_(prometheus::BuildGauge()
                 .Name("mosspath_stops")
                 .Help("Tasks of ended jobs that may still run: all, and past half of cancel_s")
                 .Register(registry_)),
      oldest_stop_(prometheus::BuildGauge()
                       .Name("mosspath_stop_oldest_seconds")
                       .Help("Since this process learned of the end of the job, the longest")
                       .Register(registry_)
                       .Add({})),
      renewals_with_stops_(prometheus::BuildGauge()
                               .Name("mosspath_lease_renewals_with_stops")
                               .Help("Agent leases renewed in this term while a stop was due")
                               .Register(registry_)
                               .Add({})),
      commands_(prometheus::BuildGauge()
                    .Name("mosspath_commands")
                    .Help("Commands sent to agents in this term, and what came of them, by kind")
                    .Register(registry_)),
      tokens_raised_(prometheus::BuildGauge()
                         .Name("mosspath_tokens_raised")
                         .Help("Fencing tokens of machines raised in this term, by cause")
                         .Register(registry_)) {}

void Metrics::Update(const wire::Status& s) {
  status_age_.Set(s.snapshot_age_s);
  for (const auto& c : s.controllers) {
    heartbeat_age_.Add({{"controller", c.node}}).Set(c.heard_ago_s);
    unreachable_count_.Add({{"controller", c.node}}).Set(static_cast<double>(c.unreachable.size()));
  }
  for (const auto& u : s.sockets) {
    const auto set = [&](const char* what, uint64_t n) {
      sockets_.Add({{"party", u.connection_class}, {"what", what}}).Set(static_cast<double>(n));
    };
    set("used", u.used);
    set("limit", u.limit);
    set("refused", u.refused);
    set("sent_off", u.closed_after_answer);
  }
  admission_.Add({{"what", "budget"}}).Set(s.admission.budget);
  admission_.Add({{"what", "live"}}).Set(s.admission.live);
  admission_.Add({{"what", "under_way"}}).Set(s.admission.in_flight);
  admission_.Add({{"what", "part"}}).Set(s.admission.share);
  for (const auto& g : s.admission.groups) {
    const std::string name = g.team + "/" + g.job_class;
    if (exported_groups_.size() >= kMaxExportedGroups && !exported_groups_.contains(name)) continue;
    exported_groups_.insert(name);
    const auto set = [&](const char* what, uint64_t n) {
      submissions_.Add({{"team", g.team}, {"class", g.job_class}, {"what", what}})
          .Set(static_cast<double>(n));
    };
    set("asked", g.requested);
    set("refused", g.refused);
  }
  const auto export_queues = [&](const std::vector<wire::StatusSnapshot::Queue>& queues,
                                 const char* by) {
    for (const auto& q : queues) {
      if (exported_groups_.size() >= kMaxExportedGroups && !exported_groups_.contains(q.job_class))
        continue;
      exported_groups_.insert(q.job_class);
      waiting_.Add({{by, q.job_class}}).Set(static_cast<double>(q.waiting));
      since_.Add({{by, q.job_class}, {"what", "started"}}).Set(q.started_ago_s);
      since_.Add({{by, q.job_class}, {"what", "finished"}}).Set(q.finished_ago_s);
    }
  };
  export_queues(s.snapshot.queues, "class");
  export_queues(s.snapshot.teams, "team");
}

void Metrics::Update(const CommandFigures& figures) {
  const scheduler::StopSummary& stops = figures.stops;
  stops_.Add({{"what", "outstanding"}}).Set(static_cast<double>(stops.outstanding));
  stops_.Add({{"what", "late"}}).Set(static_cast<double>(stops.late));
  oldest_stop_.Set(stops.oldest_s);
  renewals_with_stops_.Set(static_cast<double>(stops.lease_renewals));
  const scheduler::CommandCounts& counts = figures.commands;
  const auto set_commands = [&](const char* what, uint64_t count) {
    commands_.Add({{"what", what}}).Set(static_cast<double>(count));
  };
  set_commands("direct_starts", counts.direct_starts);
  set_commands("heartbeat_starts", counts.heartbeat_starts);
  set_commands("stops", counts.stops);
  set_commands("forgets", counts.forgets);
  set_commands("answers_without_forgets", counts.answers_without_forgets);
  set_commands("recovered_attempts", counts.recovered_attempts);
  const auto set_tokens = [&](const char* cause, uint64_t count) {
    tokens_raised_.Add({{"cause", cause}}).Set(static_cast<double>(count));
  };
  set_tokens("start_unanswered", counts.tokens_raised_for_starts);
  set_tokens("answers_ignored", counts.tokens_raised_for_answers);
  set_tokens("forget", counts.tokens_raised_for_forgets);
}

void Metrics::OnAnswered(Route route, int status, double seconds) {
  static const prometheus::Histogram::BucketBoundaries kBounds{
      0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1, 2, 5};
  auto& latency = latency_by_route_[route];
  if (latency == nullptr) latency = &latency_.Add({{"route", Name(route)}}, kBounds);
  latency->Observe(seconds);
  auto& answers = answers_by_route_[{route, status}];
  if (answers == nullptr) {
    answers = &answers_.Add({{"route", Name(route)}, {"status", std::to_string(status)}});
  }
  answers->Increment();
}

void Metrics::OnMalformed(const char* from, const char* what) {
  malformed_.Add({{"from", from}, {"what", what}}).Increment();
}

std::string Metrics::Text() const {
  return prometheus::TextSerializer().Serialize(registry_.Collect());
}

}  // namespace mosspath::service
