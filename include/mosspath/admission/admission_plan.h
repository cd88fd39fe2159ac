// Admission shares: the part of the free budget that each controller may fill before the jobs that
// the other controllers have accepted appear in its view (what the controller has read of the
// key-value store). The leader plans the shares by demand. A controller requests a plan in each of
// its presence messages, and the response contains the plan. No I/O; the time is an argument.
//
// Invariants (docs/admission.md):
//   - the shares in force on all controllers sum to at most kPlannedFraction at any instant. A
//     controller counts the validity of a share from its *request*; the leader counts the validity
//     of the same share from its response, and for longer. The leader raises a share only by the
//     part of kPlannedFraction that no other controller can still have in force;
//   - a new leader grants no plan until all plans of earlier leaders have expired;
//   - a controller without a plan uses MinimumShare, which every plan leaves to each controller.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace mosspath::admission {

// Share of the free budget that all controllers together may fill. The rest allows for views that
// lag behind the key-value store.
inline constexpr double kPlannedFraction = 0.5;

// Returns the share that a controller may always fill, with or without a plan.
double MinimumShare(size_t controllers);

// The share of one controller, as granted by a leader.
struct AdmissionPlan {
  uint64_t token = 0;    // fencing token of the leader that made the plan
  uint64_t version = 0;  // increases with each plan of that leader
  double life_s = 0;     // validity from the controller's request; 0: no plan
  double share = 0;
  friend bool operator==(const AdmissionPlan&, const AdmissionPlan&) = default;
};

// The leader's side: plans the shares of all controllers. Not thread-safe.
class AdmissionPlanner {
 public:
  // `now`: when this leadership began. No plan is granted until `life_s`, with a margin for clock
  // drift, has passed since then.
  AdmissionPlanner(std::vector<std::string> controllers, uint64_t token, double life_s, double now);

  // Returns a new plan for the controller. `demand`: tasks that the controller was recently
  // requested to accept.
  AdmissionPlan PlanFor(const std::string& controller, double demand, double now);

 private:
  struct Grant {
    double share = 0;
    double expires_at = 0;
  };
  struct Controller {
    double demand = 0;
    double requested_at = -1e18;
    std::vector<Grant> grants;  // grants that may still be in force
  };
  // Removes expired grants. Returns the largest share that the controller may have in force now.
  double MaxShareInForce(Controller& c, double now) const;

  const uint64_t token_;
  const double life_s_;
  const double plans_from_;
  uint64_t version_ = 0;
  std::map<std::string, Controller> controllers_;
};

// A controller's side: the plan in force. Not thread-safe.
class AdmissionShare {
 public:
  explicit AdmissionShare(size_t controllers) : minimum_share_(MinimumShare(controllers)) {}
  // Applies the response to a request sent at `requested_at`. Ignores plans of earlier leaders and
  // older plans of the same leader.
  void OnPlan(const AdmissionPlan& plan, double requested_at);
  // Returns the share of the plan in force, or the minimum share without one.
  double Current(double now) const { return now < expires_at_ ? plan_.share : minimum_share_; }
  const AdmissionPlan& plan() const { return plan_; }

 private:
  const double minimum_share_;
  AdmissionPlan plan_;
  double expires_at_ = -1e18;
};

}  // namespace mosspath::admission
