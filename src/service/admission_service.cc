#include "mosspath/service/admission_service.h"

#include <algorithm>
#include <cmath>

namespace mosspath::service {
namespace {

// Tasks of live jobs per megabyte of a controller's memory. One that waits costs its leader 6 bytes
// (Turns.AWaitingTaskCostsFewBytes), so these are an eighth of it.
constexpr double kTasksPerMb = 20'000;
constexpr double kUserRetriesS = 60;  // PROTOCOL: a user gives up after that
constexpr double kLeastRetryS = 1;    // and comes back no sooner than that
constexpr double kLeastTries = 6;     // of a refused user, before it gives up
constexpr double kPlanReports = 2;    // a plan's life, in report intervals

std::vector<std::string> Names(const std::vector<config::Team>& teams) {
  std::vector<std::string> out;
  for (const auto& t : teams) out.push_back(t.name);
  return out;
}

}  // namespace

AdmissionService::AdmissionService(const config::Settings& settings)
    : node_(settings.name),
      life_s_(kPlanReports * settings.heartbeat_s),
      controller_(kTasksPerMb * settings.memory_mb, Names(settings.teams), kLeastRetryS,
                  kUserRetriesS / kLeastTries),
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
  wire::AdmissionUsage use;
  use.budget = controller_.budget();
  use.live = controller_.live();
  use.in_flight = controller_.in_flight();
  use.share = share_.Current(now);
  use.plan_token = share_.plan().token;
  use.plan_version = share_.plan().version;
  for (const auto& [of, count] : controller_.counts()) {
    use.groups.push_back({of.first, of.second, count.requested, count.refused});
  }
  return use;
}

void AdmissionService::OnElected(uint64_t token, double now) {
  planner_.emplace(controllers_, token, life_s_, now);
}

admission::AdmissionPlan AdmissionService::PlanFor(const std::string& controller, double demand,
                                                   double now) {
  return planner_ ? planner_->PlanFor(controller, demand, now) : admission::AdmissionPlan{};
}

}  // namespace mosspath::service
