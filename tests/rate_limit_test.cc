// Token buckets and retry backoff.
#include "mosspath/net/rate_limit.h"

#include <gtest/gtest.h>

namespace mosspath::net {
namespace {

TEST(RateBudget, AllowsTheBurstThenTheRate) {
  TokenBucket b(10, 5);
  for (int i = 0; i < 5; ++i) EXPECT_TRUE(b.TryTake(1.0));
  EXPECT_FALSE(b.TryTake(1.0));
  EXPECT_NEAR(b.DelayFor(1.0), 0.1, 1e-9);
  EXPECT_TRUE(b.TryTake(1.11));
  EXPECT_FALSE(b.TryTake(1.11));
}

TEST(Backoff, DoublesUpToItsBound) {
  Backoff b(1, 5);
  EXPECT_EQ(b.Next(), 1);
  EXPECT_EQ(b.Next(), 2);
  EXPECT_EQ(b.Next(), 4);
  EXPECT_EQ(b.Next(), 5);
  b.Reset();
  EXPECT_EQ(b.Next(), 1);
}

}  // namespace
}  // namespace mosspath::net
