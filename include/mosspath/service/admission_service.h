// Decides which jobs this controller admits and, while this controller leads, plans the admission
// shares of all controllers. Combines the parts of mosspath/admission with the settings. Not
// thread-safe; times are seconds on the steady clock.
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
  // Decides on a submission, and counts its tasks as demand.
  admission::AdmissionVerdict Request(const wire::JobSpec& spec, double now);
  // Returns the demand: the number of tasks that were recently submitted to this controller, where
  // each submission's weight decays exponentially.
  double Demand(double now) const;
  // Returns the fraction of the free task budget that this controller may fill now.
  double CurrentShare(double now) const { return share_.Current(now); }
  const admission::AdmissionPlan& plan() const { return share_.plan(); }

  // Returns the figures of the status page and the metrics.
  wire::AdmissionUsage Usage(double now) const;

  // --- As the leader ---
  void OnElected(uint64_t token, double now);
  void OnDeposed() { planner_.reset(); }
  // Returns the plan for a controller with the given demand in tasks. The plan's life_s is 0 (the
  // plan is not valid at any time) if this controller does not lead.
  admission::AdmissionPlan PlanFor(const std::string& controller, double demand, double now);

  // --- As any controller ---
  // Applies the response to a plan request that was sent at `requested_at`.
  void OnPlan(const admission::AdmissionPlan& plan, double requested_at) {
    share_.OnPlan(plan, requested_at);
  }

 private:
  const std::string node_;
  std::vector<std::string> controllers_;
  const double life_s_;
  admission::AdmissionController controller_;
  admission::AdmissionShare share_;
  std::optional<admission::AdmissionPlanner> planner_;
  double demand_ = 0;  // tasks, as of demand_at_
  double demand_at_ = 0;
};

}  // namespace mosspath::service
