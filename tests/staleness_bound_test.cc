// Tests of the bound on the age of a leader's view: a leader may act only if it has read all
// changes of the key-value store recently enough.
#include "mosspath/election/staleness_bound.h"

#include <gtest/gtest.h>

#include <tuple>

#include "mosspath/config/settings.h"

namespace mosspath::election {
namespace {

TEST(StalenessBoundTest, TheViewIsAsOldAsTheLastCompleteRead) {
  StalenessBound view(10);
  EXPECT_FALSE(view.IsFresh(0));  // Nothing has been read yet.
  view.AdvanceTo(100);
  EXPECT_TRUE(view.IsFresh(110));
  EXPECT_FALSE(view.IsFresh(110.1));
  EXPECT_FALSE(view.IsAging(105));
  EXPECT_TRUE(view.IsAging(105.1));
  view.AdvanceTo(90);  // The response to an earlier request is late.
  EXPECT_TRUE(view.IsFresh(110));
}

// A cancellation must take effect within cancel_within_s in each deployment. In the worst case, a
// leader whose view has the maximum age and lacks the cancellation renews an agent's lease. The
// tasks end with that lease, which must expire before the deadline.
TEST(StalenessBoundTest, TheBoundLeavesTimeForTheAgentLease) {
  for (const auto& [lease, cancel, heartbeat] :
       {std::tuple{26.0, 46.0, 3.0}, {12.0, 42.0, 1.5}, {31.0, 51.0, 6.0}, {10.0, 20.0, 1.5}}) {
    config::Settings settings;
    settings.controller_count = 3;
    settings.agent_lease_s = lease;
    settings.cancel_within_s = cancel;
    settings.heartbeat_s = heartbeat;
    settings.store_requests_per_s = settings.store_writes_per_s = settings.cloud_requests_per_s =
        10;
    const config::DerivedSettings derived(settings);
    EXPECT_LT(derived.max_view_age_s + lease * (1 + 2 * config::kMaxClockDrift), cancel);
    // A leader that reads no changes must not resign. Its view reaches an age of two watch
    // timeouts, a catch-up interval and half a call timeout. With a watch timeout of a quarter of
    // the bound, idle leaders kept resigning.
    EXPECT_LT(2 * derived.watch_s + derived.catch_up_interval_s + derived.call_timeout_s / 2,
              derived.max_view_age_s / 2);
  }
}

}  // namespace
}  // namespace mosspath::election
