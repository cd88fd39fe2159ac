// Tests of the reliable channel over frames that are lost, repeated and reordered.
#include "mosspath/shard/reliable_channel.h"

#include <gtest/gtest.h>

#include <deque>
#include <random>
#include <vector>

#include "mosspath/wire/json.h"

namespace mosspath::shard {
namespace {

wire::ShardMessage Numbered(uint64_t number) {
  return {.kind = wire::ShardMessage::Kind::kLoad, .seconds = 1.5, .count = number};
}

// However frames are lost, repeated and delayed, each message is received once, in order.
TEST(ReliableChannelTest, DeliversEachMessageOnceInOrder) {
  std::mt19937_64 random(5);
  for (int round = 0; round < 200; ++round) {
    ReliableChannel sender;
    ReliableChannel receiver;
    std::deque<wire::ShardFrame> to_receiver;
    std::deque<wire::ShardFrame> to_sender;
    uint64_t sent = 0;
    std::vector<uint64_t> received;
    const auto frame_of = [&](ReliableChannel& channel) {
      wire::ShardFrame frame;
      frame.receive_window_bytes = 1 + random() % 200;  // may be smaller than one message
      channel.FillFrame(frame);
      channel.OnFrameSent(frame);
      return frame;
    };
    for (int step = 0; step < 300; ++step) {
      switch (random() % 6) {
        case 0:
          if (sent < 60) sender.Enqueue(Numbered(++sent));
          break;
        case 1:
          to_receiver.push_back(frame_of(sender));
          break;
        case 2:
          to_sender.push_back(frame_of(receiver));
          break;
        default: {
          auto& queue = random() % 2 == 0 ? to_receiver : to_sender;
          if (queue.empty()) break;
          const size_t which = random() % queue.size();
          const wire::ShardFrame frame = queue[which];
          if (random() % 3 != 0) queue.erase(queue.begin() + static_cast<std::ptrdiff_t>(which));
          if (random() % 4 == 0) break;  // The frame is lost.
          for (const auto& message : (&queue == &to_receiver ? receiver : sender).Receive(frame))
            received.push_back(message.count);
        }
      }
    }
    for (int i = 0; i < 200; ++i) {
      for (const auto& message : receiver.Receive(frame_of(sender)))
        received.push_back(message.count);
      sender.Receive(frame_of(receiver));
    }
    ASSERT_EQ(received.size(), sent);
    for (uint64_t i = 0; i < sent; ++i) ASSERT_EQ(received[i], i + 1);
    EXPECT_TRUE(sender.idle());
    EXPECT_EQ(sender.bytes(), 0u);
  }
  ReliableChannel idle;
  wire::ShardFrame bad;
  bad.acknowledged = 1;
  EXPECT_THROW(idle.Receive(bad), wire::BadMessage);
}

}  // namespace
}  // namespace mosspath::shard
