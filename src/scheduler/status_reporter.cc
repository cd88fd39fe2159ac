#include "mosspath/scheduler/status_reporter.h"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <utility>

namespace mosspath::scheduler {

using cluster::Machine;
using jobs::Job;
using wire::StatusSnapshot;

wire::StatusSnapshot StatusReporter::MakeSnapshot(double now) const {
  StatusSnapshot snapshot;
  snapshot.token = state_.token;
  snapshot.recovery_complete = state_.failover.recovery_complete();
  snapshot.leader_for_s = now - state_.failover.began_at();
  SummarizeJobs(now, snapshot);
  SummarizeMachines(now, snapshot);
  state_.activity.FillSnapshot(now, snapshot);
  return snapshot;
}

// ---------------------------------------------------------------------------- jobs

std::optional<StatusReporter::WaitingReason> StatusReporter::WaitingReasonOf(const Job& job,
                                                                             double now) const {
  const cluster::ClusterState& cluster = state_.cluster;
  if (job.pending.empty()) return std::nullopt;
  if (!state_.placer.IsStartable(job)) return WaitingReason::kRecovery;
  if (job.crash_looping) return WaitingReason::kCrashLoop;
  if (now < job.not_before) return WaitingReason::kUnknownToAgents;
  if (!state_.placer.IsWithinQuota(job)) return WaitingReason::kQuota;
  if (cluster.machine_types.empty()) return WaitingReason::kNoMachineTypes;
  return HasUsableMachine(job, now) ? WaitingReason::kMachinesBusy
                                    : WaitingReason::kNoUsableMachine;
}

const char* StatusReporter::Describe(WaitingReason reason) {
  switch (reason) {
    case WaitingReason::kRecovery:
      return "a new leader is finding out where tasks are";
    case WaitingReason::kCrashLoop:
      return "its tasks fail on every machine; tried now and then until it is cancelled";
    case WaitingReason::kUnknownToAgents:
      return "workers do not know it yet";
    case WaitingReason::kQuota:
      return "its team is at its limit";
    case WaitingReason::kNoMachineTypes:
      return "the machine types are not known yet";
    case WaitingReason::kMachinesBusy:
      return "all machines that it may use are busy";
    case WaitingReason::kNoUsableMachine:
      return "no machine that it may use is up";
  }
  return "";
}

bool StatusReporter::HasUsableMachine(const Job& job, double now) const {
  const auto usable = [&](const auto& it) {
    const Machine& machine = it.second;
    return state_.cluster.IsSchedulable(machine, now) &&
           state_.placer.IsAllowedOn(job, machine, now);
  };
  const auto& own = state_.cluster.machines;
  const auto& delegated = state_.cluster.delegated_machines;
  return std::any_of(own.begin(), own.end(), usable) ||
         std::any_of(delegated.begin(), delegated.end(), usable);
}

void StatusReporter::SummarizeJobs(double now, StatusSnapshot& snapshot) const {
  QueueSummaries classes;
  QueueSummaries teams;
  // The status also includes classes and teams whose jobs have all ended, for the times of their
  // last activity.
  for (const auto& [name, activity] : state_.activity.classes()) classes[name];
  for (const auto& [name, activity] : state_.activity.teams()) teams[name];
  for (const auto& [id, job] : state_.cluster.jobs) {
    const std::optional<WaitingReason> reason = WaitingReasonOf(*job, now);
    AddToQueue(*job, reason, now, classes[job->spec.job_class]);
    AddToQueue(*job, reason, now, teams[job->spec.team]);
    if (job->done > 0 || job->placed() > 0) {
      snapshot.jobs.push_back({id, job->done, job->placed()});
    }
  }
  AppendQueues(std::move(classes), state_.activity.classes(), now, snapshot.queues);
  AppendQueues(std::move(teams), state_.activity.teams(), now, snapshot.teams);
}

void StatusReporter::AddToQueue(const Job& job, std::optional<WaitingReason> reason, double now,
                                QueueSummary& summary) {
  StatusSnapshot::Queue& queue = summary.queue;
  ++queue.jobs;
  queue.waiting += job.pending.size();
  queue.running += job.placed();
  if (!reason) return;
  queue.oldest_s = std::max(queue.oldest_s, now - job.submitted_at);
  summary.waiting_by_reason[*reason] += job.pending.size();
}

void StatusReporter::AppendQueues(
    QueueSummaries summaries, const std::map<std::string, ActivityTracker::LastActivity>& activity,
    double now, std::vector<StatusSnapshot::Queue>& queues) {
  for (auto& [name, summary] : summaries) {
    StatusSnapshot::Queue& queue = summary.queue;
    queue.job_class = name;
    if (const auto last = activity.find(name); last != activity.end()) {
      queue.started_ago_s = std::min(wire::kNeverS, now - last->second.started_at);
      queue.finished_ago_s = std::min(wire::kNeverS, now - last->second.finished_at);
    }
    size_t most_tasks = 0;
    for (const auto& [reason, tasks] : summary.waiting_by_reason) {
      if (tasks <= most_tasks) continue;
      most_tasks = tasks;
      queue.waiting_reason = Describe(reason);
    }
    queues.push_back(std::move(queue));
  }
}

// ---------------------------------------------------------------------------- machines

std::vector<const Machine*> StatusReporter::SchedulableMachines(double now) const {
  std::vector<const Machine*> schedulable;
  for (const auto* machines : {&state_.cluster.machines, &state_.cluster.delegated_machines}) {
    for (const auto& [id, machine] : *machines) {
      if (state_.cluster.IsSchedulable(machine, now)) schedulable.push_back(&machine);
    }
  }
  return schedulable;
}

void StatusReporter::SummarizeMachines(double now, StatusSnapshot& snapshot) const {
  std::map<autoscaler::MachineOffer, StatusSnapshot::Machines> groups;
  const auto group_of = [&](const std::string& type, const std::string& zone,
                            bool spot) -> StatusSnapshot::Machines& {
    StatusSnapshot::Machines& group = groups[{type, zone, spot}];
    group.type = type;
    group.zone = zone;
    group.spot = spot;
    return group;
  };
  for (const Machine* machine : SchedulableMachines(now)) {
    StatusSnapshot::Machines& group = group_of(machine->type, machine->zone, machine->spot);
    ++group.up;
    group.draining += machine->draining ? 1 : 0;
    group.cpus += machine->cpus;
    group.used_cpus += machine->used_cpus;
  }
  for (const auto& [id, booting] : state_.provisioning.booting()) {
    const autoscaler::ScaleOutRequest& offer = booting.offer;
    ++group_of(offer.type, offer.zone, offer.spot).booting;
  }
  for (auto& [offer, group] : groups) snapshot.machines.push_back(std::move(group));
}

// ---------------------------------------------------------------------------- logging

void StatusReporter::LogLoadIfDue(double now) {
  if (!state_.activity.IsLogDue(now)) return;
  size_t on_demand = 0;
  size_t draining = 0;
  cluster::Resources total;
  cluster::Resources used;
  const std::vector<const Machine*> machines = SchedulableMachines(now);
  for (const Machine* machine : machines) {
    on_demand += machine->spot ? 0 : 1;
    draining += machine->draining ? 1 : 0;
    total += machine->resources();
    used += machine->used();
  }
  const autoscaler::DemandSummary& demand = state_.planned_demand;
  spdlog::info(
      "scheduler: load machines={} on_demand={} draining={} booting={} used_cpus={} cpus={} "
      "used_gpus={} gpus={} used_memory_gb={:.0f} memory_gb={:.0f} planned_tasks={:.0f} "
      "planned_needed={:.0f} planned_with_room={:.0f} waiting={}",
      machines.size(), on_demand, draining, state_.provisioning.booting().size(), used.cpus,
      total.cpus, used.gpus, total.gpus, used.memory_gb, total.memory_gb, demand.waiting,
      demand.needed, demand.with_room, WaitingByClass());
  LogCommandCounts();
}

void StatusReporter::LogCommandCounts() const {
  const CommandCounts& counts = state_.command_monitor.counts();
  spdlog::info(
      "scheduler: commands direct_starts={} heartbeat_starts={} stops={} forgets={} "
      "answers_without_forgets={} tokens_raised_for_starts={} tokens_raised_for_answers={} "
      "tokens_raised_for_forgets={} recovered_attempts={}",
      counts.direct_starts, counts.heartbeat_starts, counts.stops, counts.forgets,
      counts.answers_without_forgets, counts.tokens_raised_for_starts,
      counts.tokens_raised_for_answers, counts.tokens_raised_for_forgets,
      counts.recovered_attempts);
}

// Returns "class:tasks/cpus" of each class, separated by commas.
std::string StatusReporter::WaitingByClass() const {
  struct WaitingWork {
    size_t tasks = 0;
    double cpus = 0;
  };
  std::map<std::string, WaitingWork> by_class;
  for (const auto& [id, job] : state_.cluster.jobs) {
    WaitingWork& waiting = by_class[job->spec.job_class];
    waiting.tasks += job->pending.size();
    waiting.cpus += static_cast<double>(job->pending.size()) * job->spec.cpus;
  }
  std::string text;
  for (const auto& [name, waiting] : by_class) {
    if (!text.empty()) text += ",";
    text += name + ":" + std::to_string(waiting.tasks) + "/" +
            std::to_string(static_cast<int>(waiting.cpus));
  }
  return text;
}

}  // namespace mosspath::scheduler
