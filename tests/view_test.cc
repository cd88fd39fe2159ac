// How old the leader's view may be: each way of being behind by itself.
#include "mosspath/election/view.h"

#include <gtest/gtest.h>

#include "mosspath/election/vouching.h"

namespace mosspath::election {
namespace {

TEST(View, IsAsOldAsTheLastCompleteLook) {
  View v(10);
  EXPECT_FALSE(v.Fresh(0));  // nothing was seen yet
  v.Current(100);
  EXPECT_TRUE(v.Fresh(110));
  EXPECT_FALSE(v.Fresh(110.1));
  EXPECT_FALSE(v.Aging(105));
  EXPECT_TRUE(v.Aging(105.1));
  v.Current(90);  // an answer that was asked for earlier, and came later
  EXPECT_TRUE(v.Fresh(110));
}

// All promises together are a look at what everybody has told; some of them are none.
TEST(View, PromisesOfAllPeersCountFromTheQuestion) {
  Vouching vouching(1.0, 2);
  const uint64_t round = vouching.Ask(50);
  EXPECT_FALSE(vouching.Promised(round, "b"));
  EXPECT_FALSE(vouching.Promised(round - 1, "c"));
  EXPECT_EQ(vouching.Promised(round, "c"), 50);
}

// A cancellation is in force in time on every deployment: what is answered on the oldest view that
// is allowed ends by its lease before that.
TEST(View, ItsBoundLeavesTheLeaseItsTime) {
  for (const auto& [lease, cancel, report] :
       {std::tuple{26.0, 46.0, 3.0}, {12.0, 42.0, 1.5}, {31.0, 51.0, 6.0}, {10.0, 20.0, 1.5}}) {
    config::Settings s;
    s.nodes = 3;
    s.lease_s = lease;
    s.cancel_s = cancel;
    s.report_s = report;
    s.state_rps = s.state_write_rps = s.cloud_rps = 10;
    const config::Derived d(s);
    EXPECT_LT(d.view_s + lease * (1 + 2 * config::kDrift), cancel);
    // And a leader with nothing to learn doesn't resign: its view grows to two waits and a little.
    // (With a quarter of view_s for a wait, leaders passed the leadership round in quiet times.)
    EXPECT_LT(2 * d.watch_s + d.read_gap_s + d.call_timeout_s / 2, d.view_s / 2);
  }
}

}  // namespace
}  // namespace mosspath::election
