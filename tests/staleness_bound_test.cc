// How old the leader's view may be.
#include "mosspath/election/staleness_bound.h"

#include <gtest/gtest.h>

#include <tuple>

#include "mosspath/config/settings.h"

namespace mosspath::election {
namespace {

TEST(View, IsAsOldAsTheLastCompleteLook) {
  StalenessBound v(10);
  EXPECT_FALSE(v.IsFresh(0));  // nothing was seen yet
  v.AdvanceTo(100);
  EXPECT_TRUE(v.IsFresh(110));
  EXPECT_FALSE(v.IsFresh(110.1));
  EXPECT_FALSE(v.IsAging(105));
  EXPECT_TRUE(v.IsAging(105.1));
  v.AdvanceTo(90);  // an answer that was asked for earlier, and came later
  EXPECT_TRUE(v.IsFresh(110));
}

// A cancellation is in force in time on every deployment: what is answered on the oldest view that
// is allowed ends by its lease before that.
TEST(View, ItsBoundLeavesTheLeaseItsTime) {
  for (const auto& [lease, cancel, report] :
       {std::tuple{26.0, 46.0, 3.0}, {12.0, 42.0, 1.5}, {31.0, 51.0, 6.0}, {10.0, 20.0, 1.5}}) {
    config::Settings s;
    s.controller_count = 3;
    s.agent_lease_s = lease;
    s.cancel_within_s = cancel;
    s.heartbeat_s = report;
    s.store_requests_per_s = s.store_writes_per_s = s.cloud_requests_per_s = 10;
    const config::DerivedSettings d(s);
    EXPECT_LT(d.max_view_age_s + lease * (1 + 2 * config::kMaxClockDrift), cancel);
    // And a leader with nothing to learn doesn't resign: its view grows to two waits and a little.
    // (With a quarter of view_s for a wait, leaders passed the leadership round in quiet times.)
    EXPECT_LT(2 * d.watch_s + d.catch_up_interval_s + d.call_timeout_s / 2, d.max_view_age_s / 2);
  }
}

}  // namespace
}  // namespace mosspath::election
