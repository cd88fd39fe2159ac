#include "mosspath/admission/admission_plan.h"

#include <algorithm>

#include "mosspath/config/settings.h"

namespace mosspath::admission {
namespace {

// Minimum share of a controller, as a fraction of the share that it would have if kPlannedFraction
// were divided equally.
constexpr double kMinimumShareFraction = 0.25;

}  // namespace

double MinimumShare(size_t controllers) {
  return kMinimumShareFraction * kPlannedFraction /
         static_cast<double>(std::max<size_t>(1, controllers));
}

AdmissionPlanner::AdmissionPlanner(std::vector<std::string> controllers, uint64_t token,
                                   double life_s, double now)
    : token_(token), life_s_(life_s), plans_from_(now + life_s * (1 + 2 * config::kMaxClockDrift)) {
  for (auto& name : controllers) controllers_[name];
}

double AdmissionPlanner::MaxShareInForce(Controller& c, double now) const {
  std::erase_if(c.grants, [now](const Grant& grant) { return now >= grant.expires_at; });
  double largest = MinimumShare(controllers_.size());
  for (const Grant& grant : c.grants) largest = std::max(largest, grant.share);
  return largest;
}

AdmissionPlan AdmissionPlanner::PlanFor(const std::string& controller, double demand, double now) {
  const auto it = controllers_.find(controller);
  AdmissionPlan plan{token_, 0, 0, MinimumShare(controllers_.size())};
  if (it == controllers_.end() || now < plans_from_) return plan;
  it->second.demand = demand;
  it->second.requested_at = now;
  // Each controller keeps the minimum share; the rest is divided in proportion to demand. Only the
  // demand of controllers that have sent a request within the last `life_s_` seconds is included.
  double demand_sum = 0;
  double others_share = 0;
  for (auto& [name, c] : controllers_) {
    if (now - c.requested_at < life_s_) demand_sum += c.demand;
    if (name != controller) others_share += MaxShareInForce(c, now);
  }
  const double minimum = plan.share;
  const double spare = kPlannedFraction - minimum * static_cast<double>(controllers_.size());
  const double target = minimum + (demand_sum > 0 ? spare * demand / demand_sum : 0);
  plan.version = ++version_;
  plan.life_s = life_s_;
  plan.share = std::max(minimum, std::min(target, kPlannedFraction - others_share));
  // The controller counts the plan's life from its request, which was sent before `now`, but by its
  // own clock, which may run slower than the clock of the leader.
  it->second.grants.push_back({plan.share, now + life_s_ * (1 + 2 * config::kMaxClockDrift)});
  return plan;
}

void AdmissionShare::OnPlan(const AdmissionPlan& plan, double requested_at) {
  if (plan.life_s <= 0 || plan.token < plan_.token) return;
  if (plan.token == plan_.token && plan.version <= plan_.version) return;
  plan_ = plan;
  expires_at_ = requested_at + plan.life_s;
}

}  // namespace mosspath::admission
