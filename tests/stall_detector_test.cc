// Detection of stalls of the event loop.
#include "mosspath/net/stall_detector.h"

#include <gtest/gtest.h>

namespace mosspath::net {
namespace {

TEST(TurnClock, TellsAPauseFromALateTurn) {
  LoopClock c(0.5, 10);
  EXPECT_FALSE(c.OnTurn(10.5));
  EXPECT_FALSE(c.OnTurn(11.9));  // busy
  EXPECT_EQ(c.OnTurn(25), 11.9);
  EXPECT_FALSE(c.OnTurn(25.5));
}

}  // namespace
}  // namespace mosspath::net
