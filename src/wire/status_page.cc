// Renders the status as the plain-text status page. Scripts parse the page too, so its text is part
// of the interface.
#include <spdlog/fmt/fmt.h>

#include "mosspath/wire/status_snapshot.h"

namespace mosspath::wire {
namespace {

std::string AgoText(double ago_s) {
  return ago_s >= kNeverS ? std::string("never") : fmt::format("{:.0f} s ago", ago_s);
}

std::string LeaderText(const Status& status) {
  const StatusSnapshot& snapshot = status.snapshot;
  const std::string leader = snapshot.leader.empty() ? "unknown" : snapshot.leader;
  std::string text =
      fmt::format("Leader {}, for {:.0f} s{}.\n", leader, snapshot.leader_for_s,
                  snapshot.recovery_complete ? "" : ", still finding out where tasks are");
  if (status.snapshot_age_s >= kNeverS) {
    text += fmt::format("{} has had no word from a leader yet.\n", status.served_by);
  } else {
    text += fmt::format("Told by {}; its figures are {:.0f} s old.\n", status.served_by,
                        status.snapshot_age_s);
  }
  return text;
}

std::string ControllersText(const std::vector<ControllerState>& controllers) {
  std::string text = "\nControllers\n-----------\n";
  for (const auto& controller : controllers) {
    std::string unreachable;
    for (const auto& name : controller.unreachable) {
      unreachable += (unreachable.empty() ? "lacks " : ", ") + name;
    }
    const std::string heard_by =
        controller.heard_by.empty() ? std::string() : " by " + controller.heard_by;
    text += fmt::format("{:<16} {:<16} {:<6} heard {}{}  {}\n", controller.node, controller.zone,
                        controller.is_leader ? "leads" : "", AgoText(controller.heard_ago_s),
                        heard_by, unreachable.empty() ? "lacks nothing" : unreachable);
  }
  return text;
}

std::string SocketsText(const Status& status) {
  std::string text = fmt::format("\nSockets of {}\n------------\n", status.served_by);
  for (const auto& usage : status.sockets) {
    text += fmt::format("{:<16} {:>6} of {:>6}  refused {}, sent off {}\n", usage.connection_class,
                        usage.used, usage.limit, usage.refused, usage.closed_after_answer);
  }
  return text;
}

std::string AdmissionText(const Status& status) {
  const AdmissionUsage& usage = status.admission;
  std::string text = fmt::format(
      "\nAccepted, as {} sees it\n-----------------------\n"
      "{:.0f} of {:.0f} tasks, {:.0f} under way; it may fill {:.3f} of the room (plan {}.{})\n",
      status.served_by, usage.live, usage.budget, usage.in_flight, usage.share, usage.plan_token,
      usage.plan_version);
  for (const auto& group : usage.groups) {
    if (group.refused == 0) continue;
    text += fmt::format("{:<16} {:<16} {:>6} jobs asked for here, {} refused\n", group.team,
                        group.job_class, group.requested, group.refused);
  }
  return text;
}

std::string QueuesText(const std::vector<StatusSnapshot::Queue>& queues) {
  std::string text;
  for (const auto& queue : queues) {
    text += fmt::format(
        "{:<20} {:>5} jobs {:>7} tasks waiting {:>7} running; started {}, finished {}\n",
        queue.job_class, queue.jobs, queue.waiting, queue.running, AgoText(queue.started_ago_s),
        AgoText(queue.finished_ago_s));
    if (queue.waiting == 0) continue;
    text += fmt::format("{:<20} the oldest for {:.0f} s; {}\n", "", queue.oldest_s,
                        queue.waiting_reason);
  }
  return text;
}

std::string MachinesText(const std::vector<StatusSnapshot::Machines>& groups) {
  std::string text = "\nMachines\n--------\n";
  for (const auto& group : groups) {
    text += fmt::format(
        "{:<16} {:<16} {:<8} {:>4} up {:>4} booting {:>4} draining {:>8.0f} of {:.0f} CPUs used\n",
        group.type, group.zone, group.spot ? "cheap" : "ordinary", group.up, group.booting,
        group.draining, group.used_cpus, group.cpus);
  }
  return text;
}

std::string ProgressText(const std::vector<StatusSnapshot::Progress>& objectives) {
  std::string text = "\nObjectives, since this leader began\n-----------------------------------\n";
  for (const auto& progress : objectives) {
    const std::string limit = progress.kind == "deadline"
                                  ? fmt::format("{} times the deadline", progress.times)
                                  : fmt::format("within {} s", progress.within_s);
    const double share = progress.of == 0
                             ? 1.0
                             : static_cast<double>(progress.met) / static_cast<double>(progress.of);
    text += fmt::format("{:<9} {:<16} {:<24} {:>6.1f}% of {} (aim {:.1f}%)\n", progress.kind,
                        progress.job_class, limit, 100 * share, progress.of, 100 * progress.share);
  }
  return text;
}

std::string IncidentsText(const std::vector<StatusSnapshot::Incident>& incidents) {
  std::string text = "\nRecent troubles\n---------------\n";
  for (const auto& incident : incidents) {
    text += fmt::format("{:>6.0f} s ago: {}\n", incident.ago_s, incident.description);
  }
  if (incidents.empty()) text += "none\n";
  return text;
}

}  // namespace

std::string StatusPage(const Status& status) {
  const StatusSnapshot& snapshot = status.snapshot;
  std::string page = "mosspath\n========\n\n";
  page += LeaderText(status);
  page += ControllersText(status.controllers);
  page += SocketsText(status);
  page += AdmissionText(status);
  page += "\nWork\n----\n" + QueuesText(snapshot.queues);
  page += "\nTeams\n-----\n" + QueuesText(snapshot.teams);
  page += MachinesText(snapshot.machines);
  page += ProgressText(snapshot.progress);
  page += IncidentsText(snapshot.incidents);
  return page;
}

}  // namespace mosspath::wire
