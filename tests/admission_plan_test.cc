// The shares of the admission budget that the leader plans for controllers.
#include "mosspath/admission/admission_plan.h"

#include <gtest/gtest.h>

namespace mosspath::admission {
namespace {

TEST(AdmissionPlanTest, SharesFollowDemand) {
  AdmissionPlanner planner({"a", "b"}, 5, 4, 0);
  // Plans of an earlier leader may still be valid.
  EXPECT_EQ(planner.PlanFor("a", 10, 3).life_s, 0);
  double share_a = 0;
  for (double now = 5; now < 30; now += 1) {
    share_a = planner.PlanFor("a", 300, now).share;
    planner.PlanFor("b", 100, now);
  }
  EXPECT_NEAR(share_a, MinimumShare(2) + (kPlannedFraction - 2 * MinimumShare(2)) * 0.75, 1e-9);
  EXPECT_EQ(planner.PlanFor("unknown", 100, 31).life_s, 0);
}

TEST(AdmissionPlanTest, AnOlderPlanChangesNothing) {
  AdmissionShare share(2);
  share.OnPlan({7, 3, 4, 0.3}, 10);
  share.OnPlan({6, 9, 4, 0.4}, 11);  // This plan has the lower token of an earlier leader.
  share.OnPlan({7, 2, 4, 0.4}, 11);
  share.OnPlan({8, 1, 0, 0.4}, 11);  // A validity of 0 s means that the response has no plan.
  EXPECT_EQ(share.Current(13.9), 0.3);
  EXPECT_EQ(share.Current(14), MinimumShare(2));
}

}  // namespace
}  // namespace mosspath::admission
