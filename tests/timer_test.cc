// One-shot timers.
#include "mosspath/net/timer.h"

#include <gtest/gtest.h>

#include <asio/io_context.hpp>

namespace mosspath::net {
namespace {

// A deadline that expired in the same turn in which the answer came ended the request a second
// time.
TEST(TimerTest, CancelStopsAnExpiryThatIsAlreadyQueued) {
  asio::io_context io;
  Timer first(io), second(io);
  int fired = 0;
  first.After(0, [&] {
    ++fired;
    second.Cancel();
  });
  second.After(0, [&] {
    ++fired;
    first.Cancel();
  });
  io.run();
  EXPECT_EQ(fired, 1);
}

}  // namespace
}  // namespace mosspath::net
