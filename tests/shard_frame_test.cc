// Tests of the frames between the leader and shard holders: encoding, decoding, hostile input.
#include "mosspath/wire/shard_frame.h"

#include <gtest/gtest.h>

#include <string>

#include "mosspath/wire/json.h"

namespace mosspath::shard {
namespace {

using wire::ShardMessage;

TEST(ShardFrameTest, RoundTripsAndRefusesMalformedFrames) {
  ShardMessage message{.kind = ShardMessage::Kind::kMachineStatus,
                       .name = "vm-1",
                       .job = "req-1",
                       .tasks = {0, 1, 2, 7, 99'999}};
  message.seconds = 12.25;
  message.count = 1ULL << 40;
  message.machine = ShardMessage::MachineStatus{
      "10.0.0.1:9", "box", "east", true, true, false, true, false, 3.5, 8.25, 2, 0, 6.5};
  const std::string encoded = wire::Encode(message);
  EXPECT_EQ(wire::DecodeShardMessage(encoded), message);
  wire::ShardFrame frame;
  frame.node = "hut-1";
  frame.leader_token = 7;
  frame.lease = 12;
  frame.from_leader = true;
  frame.first_sequence = 3;
  frame.messages = {encoded, encoded};
  const std::string encoded_frame = wire::Encode(frame);
  EXPECT_EQ(wire::DecodeShardFrame(encoded_frame).messages, frame.messages);
  // A truncated frame or message is rejected. A message with a changed byte is rejected or decodes
  // to other values; decoding never crashes.
  for (size_t size = 0; size < encoded_frame.size(); ++size) {
    EXPECT_THROW(wire::DecodeShardFrame(encoded_frame.substr(0, size)), wire::BadMessage);
  }
  for (size_t size = 0; size < encoded.size(); ++size) {
    EXPECT_THROW(wire::DecodeShardMessage(encoded.substr(0, size)), wire::BadMessage);
    std::string changed = encoded;
    changed[size] = static_cast<char>(changed[size] ^ 0x55);
    try {
      wire::DecodeShardMessage(changed);
    } catch (const wire::BadMessage&) {
    }
  }
  EXPECT_THROW(wire::DecodeShardFrame(std::string(wire::kMaxShardFrameBytes + 1, 'x')),
               wire::BadMessage);
}

}  // namespace
}  // namespace mosspath::shard
