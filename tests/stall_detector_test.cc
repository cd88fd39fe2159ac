// Tests of the detection of stalls of the event loop.
#include "mosspath/net/stall_detector.h"

#include <gtest/gtest.h>

namespace mosspath::net {
namespace {

TEST(StallDetectorTest, DistinguishesAStallFromALateTurn) {
  LoopClock clock(0.5, 10);
  EXPECT_FALSE(clock.OnTurn(10.5));
  EXPECT_FALSE(clock.OnTurn(11.9));  // The turn is late because the loop was busy.
  EXPECT_EQ(clock.OnTurn(25), 11.9);
  EXPECT_FALSE(clock.OnTurn(25.5));
}

}  // namespace
}  // namespace mosspath::net
