// Encodes the status as the document status.json.
#include <utility>

#include "mosspath/wire/status_snapshot.h"

namespace mosspath::wire {
namespace {

// Returns the seconds since an event; null if the event has not happened.
Json AgoJson(double ago_s) { return ago_s >= kNeverS ? Json() : Json(ago_s); }

Json TextOrNull(const std::string& text) { return text.empty() ? Json() : Json(text); }

Json QueuesJson(const std::vector<StatusSnapshot::Queue>& queues, const char* name_field) {
  Json list = Json::array();
  for (const auto& queue : queues) {
    list.push_back({{name_field, queue.job_class},
                    {"jobs", queue.jobs},
                    {"waiting_tasks", queue.waiting},
                    {"running_tasks", queue.running},
                    {"started_ago_s", AgoJson(queue.started_ago_s)},
                    {"finished_ago_s", AgoJson(queue.finished_ago_s)},
                    {"oldest_s", queue.oldest_s},
                    {"waits_for", TextOrNull(queue.waiting_reason)}});
  }
  return list;
}

Json SocketsJson(const std::vector<SocketUsage>& sockets) {
  Json list = Json::array();
  for (const auto& usage : sockets) {
    list.push_back({{"party", usage.connection_class},
                    {"used", usage.used},
                    {"limit", usage.limit},
                    {"refused", usage.refused},
                    {"sent_off", usage.closed_after_answer}});
  }
  return list;
}

Json ControllersJson(const std::vector<ControllerState>& controllers) {
  Json list = Json::array();
  for (const auto& controller : controllers) {
    list.push_back({{"controller", controller.node},
                    {"zone", controller.zone},
                    {"leads", controller.is_leader},
                    {"heard_ago_s", AgoJson(controller.heard_ago_s)},
                    {"heard_by", TextOrNull(controller.heard_by)},
                    {"lacks", controller.unreachable}});
  }
  return list;
}

Json MachinesJson(const std::vector<StatusSnapshot::Machines>& groups) {
  Json list = Json::array();
  for (const auto& group : groups) {
    list.push_back({{"type", group.type},
                    {"zone", group.zone},
                    {"spot", group.spot},
                    {"up", group.up},
                    {"draining", group.draining},
                    {"booting", group.booting},
                    {"cpus", group.cpus},
                    {"used_cpus", group.used_cpus}});
  }
  return list;
}

Json ProgressJson(const std::vector<StatusSnapshot::Progress>& objectives) {
  Json list = Json::array();
  for (const auto& progress : objectives) {
    Json object{{"kind", progress.kind},
                {"class", progress.job_class},
                {"aim", progress.share},
                {"met", progress.met},
                {"of", progress.of}};
    if (progress.kind == "deadline") {
      object["times"] = progress.times;
    } else {
      object["within_s"] = progress.within_s;
    }
    list.push_back(std::move(object));
  }
  return list;
}

Json IncidentsJson(const std::vector<StatusSnapshot::Incident>& incidents) {
  Json list = Json::array();
  for (const auto& incident : incidents) {
    list.push_back({{"ago_s", incident.ago_s}, {"what", incident.description}});
  }
  return list;
}

Json AdmissionJson(const AdmissionUsage& usage) {
  Json groups = Json::array();
  for (const auto& group : usage.groups) {
    groups.push_back({{"team", group.team},
                      {"class", group.job_class},
                      {"asked", group.requested},
                      {"refused", group.refused}});
  }
  return Json{{"budget_tasks", usage.budget},       {"live_tasks", usage.live},
              {"under_way_tasks", usage.in_flight}, {"part", usage.share},
              {"plan_token", usage.plan_token},     {"plan_version", usage.plan_version},
              {"groups", std::move(groups)}};
}

}  // namespace

Json StatusJson(const Status& status) {
  const StatusSnapshot& snapshot = status.snapshot;
  Json shard{{"holder", snapshot.leader}, {"machines", MachinesJson(snapshot.machines)}};
  return Json{{"leader", snapshot.leader},
              {"token", snapshot.token},
              {"settled", snapshot.recovery_complete},
              {"leading_s", snapshot.leader_for_s},
              {"served_by", status.served_by},
              {"age_s", AgoJson(status.snapshot_age_s)},
              {"controllers", ControllersJson(status.controllers)},
              {"sockets", SocketsJson(status.sockets)},
              {"admission", AdmissionJson(status.admission)},
              {"blocks", Json::array({std::move(shard)})},
              {"queues", QueuesJson(snapshot.queues, "class")},
              {"teams", QueuesJson(snapshot.teams, "team")},
              {"objectives", ProgressJson(snapshot.progress)},
              {"troubles", IncidentsJson(snapshot.incidents)}};
}

}  // namespace mosspath::wire
