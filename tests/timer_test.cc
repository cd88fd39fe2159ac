// One-shot timers.
#include "mosspath/net/timer.h"

#include <gtest/gtest.h>

#include <asio/io_context.hpp>

namespace mosspath::net {
namespace {

// Guards against a request that ends twice: its deadline expired in the same iteration of the event
// loop in which its response arrived.
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
