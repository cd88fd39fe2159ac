// The reliable channel over frames that are lost, repeated and reordered.
#include "mosspath/shard/reliable_channel.h"

#include <gtest/gtest.h>

#include <deque>
#include <random>
#include <vector>

namespace mosspath::shard {
namespace {

using Item = wire::ShardMessage;
using Kind = wire::ShardMessage::Kind;

Item Numbered(uint64_t n) { return {.kind = Kind::kLoad, .seconds = 1.5, .count = n}; }

// However frames are lost, repeated and late, each item is taken in once, in order.
TEST(BlockChannel, LosesAndRepeatsNothing) {
  std::mt19937_64 random(5);
  for (int round = 0; round < 200; ++round) {
    ReliableChannel a;
    ReliableChannel b;
    std::deque<wire::ShardFrame> to_b;
    std::deque<wire::ShardFrame> to_a;
    uint64_t sent = 0;
    std::vector<uint64_t> got;
    const auto frame_of = [&](ReliableChannel& c) {
      wire::ShardFrame f;
      f.receive_window_bytes = 1 + random() % 200;  // sometimes hardly any
      c.FillFrame(f);
      c.OnFrameSent(f);
      return f;
    };
    for (int step = 0; step < 300; ++step) {
      switch (random() % 6) {
        case 0:
          if (sent < 60) a.Enqueue(Numbered(++sent));
          break;
        case 1:
          to_b.push_back(frame_of(a));
          break;
        case 2:
          to_a.push_back(frame_of(b));
          break;
        default: {
          auto& queue = random() % 2 == 0 ? to_b : to_a;
          if (queue.empty()) break;
          const size_t which = random() % queue.size();
          const wire::ShardFrame f = queue[which];
          if (random() % 3 != 0) queue.erase(queue.begin() + static_cast<std::ptrdiff_t>(which));
          if (random() % 4 == 0) break;  // lost
          for (const auto& item : (&queue == &to_b ? b : a).Receive(f)) got.push_back(item.count);
        }
      }
    }
    for (int i = 0; i < 200; ++i) {
      for (const auto& item : b.Receive(frame_of(a))) got.push_back(item.count);
      a.Receive(frame_of(b));
    }
    ASSERT_EQ(got.size(), sent);
    for (uint64_t i = 0; i < sent; ++i) ASSERT_EQ(got[i], i + 1);
    EXPECT_TRUE(a.idle());
    EXPECT_EQ(a.bytes(), 0u);
  }
  ReliableChannel c;
  wire::ShardFrame bad;
  bad.acknowledged = 1;
  EXPECT_THROW(c.Receive(bad), wire::BadMessage);
}

}  // namespace
}  // namespace mosspath::shard
