#include "mosspath/admission/admission_plan.h"

#include <algorithm>

#include "mosspath/config/settings.h"

namespace mosspath::admission {
namespace {

constexpr double kLeast = 0.25;  // of an equal part of what is planned

}  // namespace

double MinimumShare(size_t controllers) {
  return kLeast * kPlannedFraction / static_cast<double>(std::max<size_t>(1, controllers));
}

AdmissionPlanner::AdmissionPlanner(std::vector<std::string> controllers, uint64_t token,
                                   double life_s, double now)
    : token_(token), life_s_(life_s), begins_(now + life_s * (1 + 2 * config::kMaxClockDrift)) {
  for (auto& name : controllers) controllers_[name];
}

double AdmissionPlanner::HeldBy(Controller& c, double now) const {
  std::erase_if(c.granted, [now](const GrantedShare& g) { return now >= g.until; });
  double most = MinimumShare(controllers_.size());
  for (const GrantedShare& g : c.granted) most = std::max(most, g.share);
  return most;
}

AdmissionPlan AdmissionPlanner::PlanFor(const std::string& controller, double demand, double now) {
  const auto it = controllers_.find(controller);
  AdmissionPlan plan{token_, 0, 0, MinimumShare(controllers_.size())};
  if (it == controllers_.end() || now < begins_) return plan;
  it->second.demand = demand;
  it->second.heard_at = now;
  // In proportion to what is asked for, above the least that each one keeps. Who has not asked for
  // as long as a plan lives is left with that.
  double all = 0;
  double others = 0;
  for (auto& [name, c] : controllers_) {
    if (now - c.heard_at < life_s_) all += c.demand;
    if (name != controller) others += HeldBy(c, now);
  }
  const double least = plan.share;
  const double spare = kPlannedFraction - least * static_cast<double>(controllers_.size());
  const double wish = least + (all > 0 ? spare * demand / all : 0);
  plan.version = ++version_;
  plan.life_s = life_s_;
  plan.share = std::max(least, std::min(wish, kPlannedFraction - others));
  // It counts from when it asked, which was before now; by its clock, which may be slower.
  it->second.granted.push_back({plan.share, now + life_s_ * (1 + 2 * config::kMaxClockDrift)});
  return plan;
}

void AdmissionShare::OnPlan(const AdmissionPlan& plan, double asked) {
  if (plan.life_s <= 0 || plan.token < plan_.token) return;
  if (plan.token == plan_.token && plan.version <= plan_.version) return;
  plan_ = plan;
  until_ = asked + plan.life_s;
}

}  // namespace mosspath::admission
