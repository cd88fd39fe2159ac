// The bound on the age of the leader's view.
#include "mosspath/election/staleness_bound.h"

#include <gtest/gtest.h>

#include <tuple>

#include "mosspath/config/settings.h"

namespace mosspath::election {
namespace {

TEST(StalenessBoundTest, TheViewIsAsOldAsTheLastCompleteRead) {
  StalenessBound view(10);
  EXPECT_FALSE(view.IsFresh(0));  // nothing was read yet
  view.AdvanceTo(100);
  EXPECT_TRUE(view.IsFresh(110));
  EXPECT_FALSE(view.IsFresh(110.1));
  EXPECT_FALSE(view.IsAging(105));
  EXPECT_TRUE(view.IsAging(105.1));
  view.AdvanceTo(90);  // a delayed response to an earlier request
  EXPECT_TRUE(view.IsFresh(110));
}

// A cancellation takes effect within cancel_within_s in each deployment. Tasks whose agent's lease
// was renewed on the oldest allowed view end with that lease before the deadline.
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
    // A leader without new events does not resign: its view ages by two watch timeouts and a
    // little. (With a watch timeout of a quarter of the bound, idle leaders kept resigning.)
    EXPECT_LT(2 * derived.watch_s + derived.catch_up_interval_s + derived.call_timeout_s / 2,
              derived.max_view_age_s / 2);
  }
}

}  // namespace
}  // namespace mosspath::election
