#include "mosspath/service/admission.h"

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

Admission::Admission(const config::Settings& settings)
    : node_(settings.node),
      life_s_(kPlanReports * settings.report_s),
      gate_(kTasksPerMb * settings.memory_mb, Names(settings.teams), kLeastRetryS,
            kUserRetriesS / kLeastTries),
      share_(settings.peers.size() + 1) {
  controllers_.push_back(node_);
  for (const auto& p : settings.peers) controllers_.push_back(p.node);
}

admission::Verdict Admission::Ask(const wire::JobSpec& spec, double now) {
  demand_ = Demand(now) + spec.tasks;
  demand_at_ = now;
  return gate_.Ask(spec, share_.Part(now), now);
}

double Admission::Demand(double now) const {
  return demand_ * std::exp(-std::max(0.0, now - demand_at_) / life_s_);
}

wire::AdmissionUse Admission::Use(double now) const {
  wire::AdmissionUse use;
  use.budget = gate_.budget();
  use.live = gate_.live();
  use.under_way = gate_.under_way();
  use.part = share_.Part(now);
  use.plan_token = share_.plan().token;
  use.plan_version = share_.plan().version;
  for (const auto& [of, count] : gate_.counts()) {
    use.groups.push_back({of.first, of.second, count.asked, count.refused});
  }
  return use;
}

void Admission::Leads(uint64_t token, double now) {
  planner_.emplace(controllers_, token, life_s_, now);
}

admission::Plan Admission::PlanFor(const std::string& controller, double demand, double now) {
  return planner_ ? planner_->For(controller, demand, now) : admission::Plan{};
}

}  // namespace mosspath::service
