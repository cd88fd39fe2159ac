// Promises of peers not to lead, by rounds.
#include "mosspath/election/leadership_promises.h"

#include <gtest/gtest.h>

namespace mosspath::election {
namespace {

// Promises of all peers together are as good as a read of all that was reported; promises of some
// are not.
TEST(LeadershipPromisesTest, PromisesOfAllPeersCountFromTheRequest) {
  LeadershipPromises promises(1.0, 2);
  const uint64_t round = promises.BeginRound(50);
  EXPECT_FALSE(promises.OnPromise(round, "b"));
  EXPECT_FALSE(promises.OnPromise(round - 1, "c"));
  EXPECT_EQ(promises.OnPromise(round, "c"), 50);
}

}  // namespace
}  // namespace mosspath::election
