// Tests of the minimum time between the election of a leader and its resignation.
#include "mosspath/election/resignation_backoff.h"

#include <gtest/gtest.h>

namespace mosspath::election {
namespace {

// Without a backoff, two controllers that can reach no agent pass the leadership back and forth.
TEST(ResignationBackoffTest, RepeatedResignationsBackOff) {
  ResignationBackoff backoff(3, 26);
  EXPECT_TRUE(backoff.MayResign(1000));
  double now = 1000;
  double term_s = 0;
  for (int i = 0; i < 8; ++i) {
    backoff.OnResigned(now);
    backoff.OnElected(now + 0.1);
    double until = now + 0.1;
    while (!backoff.MayResign(until)) until += 0.1;
    EXPECT_GE(until - now + 0.2, term_s);
    term_s = until - now;
    now = until;
  }
  EXPECT_GT(term_s, 25);
  EXPECT_TRUE(backoff.MayResign(now + 4 * 26 + 1));
}

}  // namespace
}  // namespace mosspath::election
