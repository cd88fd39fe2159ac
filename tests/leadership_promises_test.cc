// Tests of promise rounds. In a round, the leader requests from each peer a promise not to lead for
// a short time.
#include "mosspath/election/leadership_promises.h"

#include <gtest/gtest.h>

namespace mosspath::election {
namespace {

// The promises of a round take effect once all peers have promised in that round. The promises
// are then valid from the time at which the leader sent the requests of the round.
TEST(LeadershipPromisesTest, PromisesOfAllPeersCountFromTheRequest) {
  LeadershipPromises promises(1.0, 2);
  const uint64_t round = promises.BeginRound(50);
  EXPECT_FALSE(promises.OnPromise(round, "b"));
  EXPECT_FALSE(promises.OnPromise(round - 1, "c"));
  EXPECT_EQ(promises.OnPromise(round, "c"), 50);
}

}  // namespace
}  // namespace mosspath::election
