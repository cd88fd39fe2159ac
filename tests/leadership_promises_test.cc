// Rounds of peers' promises not to lead.
#include "mosspath/election/leadership_promises.h"

#include <gtest/gtest.h>

namespace mosspath::election {
namespace {

// A round counts from its requests, and only once all peers have promised in it.
TEST(LeadershipPromisesTest, PromisesOfAllPeersCountFromTheRequest) {
  LeadershipPromises promises(1.0, 2);
  const uint64_t round = promises.BeginRound(50);
  EXPECT_FALSE(promises.OnPromise(round, "b"));
  EXPECT_FALSE(promises.OnPromise(round - 1, "c"));
  EXPECT_EQ(promises.OnPromise(round, "c"), 50);
}

}  // namespace
}  // namespace mosspath::election
