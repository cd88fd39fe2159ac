// What this controller accepts, and, while it leads, what part of the room each controller may
// fill.
#pragma once

#include <map>
#include <optional>
#include <string>

#include "mosspath/admission/gate.h"
#include "mosspath/admission/plan.h"
#include "mosspath/config/settings.h"
#include "mosspath/wire/digest.h"

namespace mosspath::service {

class Admission {
 public:
  explicit Admission(const config::Settings& settings);

  admission::Gate& gate() { return gate_; }
  const admission::Gate& gate() const { return gate_; }
  admission::Verdict Ask(const wire::JobSpec& spec, double now);
  // Tasks that it was lately asked to accept.
  double Demand(double now) const;
  // The part of the free room that it may fill now.
  double Part(double now) const { return share_.Part(now); }
  const admission::Plan& plan() const { return share_.plan(); }

  // For people.
  wire::AdmissionUse Use(double now) const;

  // --- As the leader ---
  void Leads(uint64_t token, double now);
  void Follows() { planner_.reset(); }
  // For a controller that tells its demand; one without life if this one doesn't plan.
  admission::Plan PlanFor(const std::string& controller, double demand, double now);

  // --- As any ---
  void Told(const admission::Plan& plan, double asked) { share_.Told(plan, asked); }

 private:
  const std::string node_;
  std::vector<std::string> controllers_;
  const double life_s_;
  admission::Gate gate_;
  admission::Share share_;
  std::optional<admission::Planner> planner_;
  double demand_ = 0;
  double demand_at_ = 0;
};

}  // namespace mosspath::service
