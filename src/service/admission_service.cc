#include "mosspath/service/admission_service.h"

#include <algorithm>
#include <cmath>

namespace mosspath::service {
namespace {

// Budget of tasks, over the accepted jobs that have not ended, per megabyte of a controller's
// memory. A waiting task uses 6 bytes on the leader (JobTest.APendingTaskTakesFewBytes). So the
// waiting tasks use up to an eighth of the memory.
constexpr double kTasksPerMb = 20'000;
constexpr double kUserRetryWindowS = 60;   // PROTOCOL: a user stops retrying after this time
constexpr double kMinRetryS = 1;           // a user waits at least this long before a retry
constexpr double kMinTries = 6;            // a refused user makes at least this many tries
constexpr double kPlanLifeHeartbeats = 2;  // validity of a plan, in agent heartbeat intervals

std::vector<std::string> TeamNames(const std::vector<config::Team>& teams) {
  std::vector<std::string> names;
  names.reserve(teams.size());
  for (const auto& t : teams) names.push_back(t.name);
  return names;
}

}  // namespace

AdmissionService::AdmissionService(const config::Settings& settings)
    : node_(settings.name),
      life_s_(kPlanLifeHeartbeats * settings.heartbeat_s),
      controller_(kTasksPerMb * settings.memory_mb, TeamNames(settings.teams), kMinRetryS,
                  kUserRetryWindowS / kMinTries),
      share_(settings.peers.size() + 1) {
  controllers_.push_back(node_);
  for (const auto& p : settings.peers) controllers_.push_back(p.name);
}

admission::AdmissionVerdict AdmissionService::Request(const wire::JobSpec& spec, double now) {
  demand_ = Demand(now) + spec.tasks;
  demand_at_ = now;
  return controller_.Request(spec, share_.Current(now), now);
}

double AdmissionService::Demand(double now) const {
  return demand_ * std::exp(-std::max(0.0, now - demand_at_) / life_s_);
}

wire::AdmissionUsage AdmissionService::Usage(double now) const {
  wire::AdmissionUsage usage;
  usage.budget = controller_.budget();
  usage.live = controller_.live();
  usage.in_flight = controller_.in_flight();
  usage.share = share_.Current(now);
  usage.plan_token = share_.plan().token;
  usage.plan_version = share_.plan().version;
  for (const auto& [group, count] : controller_.counts()) {
    usage.groups.push_back({group.first, group.second, count.requested, count.refused});
  }
  return usage;
}

void AdmissionService::OnElected(uint64_t token, double now) {
  planner_.emplace(controllers_, token, life_s_, now);
}

admission::AdmissionPlan AdmissionService::PlanFor(const std::string& controller, double demand,
                                                   double now) {
  return planner_ ? planner_->PlanFor(controller, demand, now) : admission::AdmissionPlan{};
}

}  // namespace mosspath::service
