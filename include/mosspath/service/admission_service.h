// Admission of jobs at this controller and, while it leads, the plan of all controllers' admission
// shares. Combines the parts of mosspath/admission with the settings. Not thread-safe; times are
// steady seconds.
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
  // Returns the tasks of recent submissions, with exponential decay.
  double Demand(double now) const;
  // Returns the fraction of the free budget that this controller may fill now.
  double CurrentShare(double now) const { return share_.Current(now); }
  const admission::AdmissionPlan& plan() const { return share_.plan(); }

  // Returns the figures of the status page and the metrics.
  wire::AdmissionUsage Usage(double now) const;

  // --- As the leader ---
  void OnElected(uint64_t token, double now);
  void OnDeposed() { planner_.reset(); }
  // Returns the plan for a controller with that demand. Its life_s is 0 if this controller doesn't
  // lead.
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
