// How soon after its election a leader may resign.
#include "mosspath/election/resignation_backoff.h"

#include <gtest/gtest.h>

namespace mosspath::election {
namespace {

// Two controllers that could reach no worker passed the leadership to each other all the time.
TEST(Reluctance, LeadersThatCanDoNothingStayEverLonger) {
  ResignationBackoff r(3, 26);
  EXPECT_TRUE(r.MayResign(1000));
  double now = 1000;
  double stay = 0;
  for (int i = 0; i < 8; ++i) {
    r.OnResigned(now);
    r.OnElected(now + 0.1);
    double until = now + 0.1;
    while (!r.MayResign(until)) until += 0.1;
    EXPECT_GE(until - now + 0.2, stay);
    stay = until - now;
    now = until;
  }
  EXPECT_GT(stay, 25);
  EXPECT_TRUE(r.MayResign(now + 4 * 26 + 1));
}

}  // namespace
}  // namespace mosspath::election
