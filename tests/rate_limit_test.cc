// Tests of token buckets and of the retry backoff.
#include "mosspath/net/rate_limit.h"

#include <gtest/gtest.h>

namespace mosspath::net {
namespace {

TEST(TokenBucketTest, AllowsTheBurstThenTheRate) {
  TokenBucket bucket(10, 5);
  for (int i = 0; i < 5; ++i) EXPECT_TRUE(bucket.TryTake(1.0));
  EXPECT_FALSE(bucket.TryTake(1.0));
  EXPECT_NEAR(bucket.DelayFor(1.0), 0.1, 1e-9);
  EXPECT_TRUE(bucket.TryTake(1.11));
  EXPECT_FALSE(bucket.TryTake(1.11));
}

TEST(BackoffTest, DoublesUpToItsBound) {
  Backoff backoff(1, 5);
  EXPECT_EQ(backoff.Next(), 1);
  EXPECT_EQ(backoff.Next(), 2);
  EXPECT_EQ(backoff.Next(), 4);
  EXPECT_EQ(backoff.Next(), 5);
  backoff.Reset();
  EXPECT_EQ(backoff.Next(), 1);
}

}  // namespace
}  // namespace mosspath::net
