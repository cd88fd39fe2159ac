// What this controller accepts, and, while it leads, what part of the room each controller may
// fill.
#pragma once

#include <map>
#include <optional>
#include <string>

#include "mosspath/admission/admission_controller.h"
#include "mosspath/admission/admission_plan.h"
#include "mosspath/config/settings.h"
#include "mosspath/wire/status_snapshot.h"

namespace mosspath::service {

class AdmissionService {
 public:
  explicit AdmissionService(const config::Settings& settings);

  admission::AdmissionController& controller() { return controller_; }
  const admission::AdmissionController& controller() const { return controller_; }
  admission::AdmissionVerdict Request(const wire::JobSpec& spec, double now);
  // Tasks that it was lately asked to accept.
  double Demand(double now) const;
  // The part of the free room that it may fill now.
  double CurrentShare(double now) const { return share_.Current(now); }
  const admission::AdmissionPlan& plan() const { return share_.plan(); }

  // For people.
  wire::AdmissionUsage Usage(double now) const;

  // --- As the leader ---
  void OnElected(uint64_t token, double now);
  void OnDeposed() { planner_.reset(); }
  // For a controller that tells its demand; one without life if this one doesn't plan.
  admission::AdmissionPlan PlanFor(const std::string& controller, double demand, double now);

  // --- As any ---
  void OnPlan(const admission::AdmissionPlan& plan, double asked) { share_.OnPlan(plan, asked); }

 private:
  const std::string node_;
  std::vector<std::string> controllers_;
  const double life_s_;
  admission::AdmissionController controller_;
  admission::AdmissionShare share_;
  std::optional<admission::AdmissionPlanner> planner_;
  double demand_ = 0;
  double demand_at_ = 0;
};

}  // namespace mosspath::service
