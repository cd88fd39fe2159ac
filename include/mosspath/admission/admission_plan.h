// What part of the free room each controller may fill before it sees what the others did. The
// leader plans it by who asks where; every controller asks with its presence, and the plan is the
// answer. Pure.
//
// Invariants (docs/admission.md):
//   - the parts that all controllers go by are at most kPlanned together at any instant. A part is
//     valid from when it was *asked for*, for less than the leader counts it for after it answered;
//     a raise is given only from what the others certainly no longer go by;
//   - a new leader plans nothing until all plans of earlier leaders are over;
//   - without a plan a controller goes by LeastPart, which every plan leaves to each.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace mosspath::admission {

inline constexpr double kPlannedFraction = 0.5;  // the other half is for views that lag

// What a controller may always fill, whatever any plan says.
double MinimumShare(size_t controllers);

struct AdmissionPlan {
  uint64_t token = 0;    // the leadership that made it
  uint64_t version = 0;  // of that leadership, rising
  double life_s = 0;     // from when it was asked for
  double share = 0;
  friend bool operator==(const AdmissionPlan&, const AdmissionPlan&) = default;
};

// The leader's side.
class AdmissionPlanner {
 public:
  // `now`: when this leadership began; no plan is made for `life_s` from then.
  AdmissionPlanner(std::vector<std::string> controllers, uint64_t token, double life_s, double now);

  // The controller asks, and tells how many tasks it was lately asked to accept.
  AdmissionPlan PlanFor(const std::string& controller, double demand, double now);

 private:
  struct GrantedShare {
    double share = 0;
    double until = 0;
  };
  struct Controller {
    double demand = 0;
    double heard_at = -1e18;
    std::vector<GrantedShare> granted;  // that it may go by yet
  };
  // The most that it may go by now.
  double HeldBy(Controller& c, double now) const;

  const uint64_t token_;
  const double life_s_;
  const double begins_;
  uint64_t version_ = 0;
  std::map<std::string, Controller> controllers_;
};

// A controller's side: the plan in force here.
class AdmissionShare {
 public:
  explicit AdmissionShare(size_t controllers) : least_(MinimumShare(controllers)) {}
  // The answer to what was asked at `asked`. Plans of earlier leaderships, or older ones of the
  // same, change nothing.
  void OnPlan(const AdmissionPlan& plan, double asked);
  double Current(double now) const { return now < until_ ? plan_.share : least_; }
  const AdmissionPlan& plan() const { return plan_; }

 private:
  const double least_;
  AdmissionPlan plan_;
  double until_ = -1e18;
};

}  // namespace mosspath::admission
