// Frames between the leader and shard holders: encoding, decoding, hostile input.
#include "mosspath/wire/shard_frame.h"

#include <gtest/gtest.h>

#include <string>

#include "mosspath/wire/json.h"

namespace mosspath::shard {
namespace {

using Item = wire::ShardMessage;
using Kind = wire::ShardMessage::Kind;

TEST(BlockFrame, RoundTripsAndRefusesWhatNobodyWrote) {
  Item item{
      .kind = Kind::kMachineStatus, .name = "vm-1", .job = "req-1", .tasks = {0, 1, 2, 7, 99'999}};
  item.seconds = 12.25;
  item.count = 1ULL << 40;
  item.machine = Item::MachineStatus{"10.0.0.1:9", "box", "east", true, true, false, true,
                                     false,        3.5,   8.25,   2,    0,    6.5};
  const std::string text = wire::Encode(item);
  EXPECT_EQ(wire::DecodeShardMessage(text), item);
  wire::ShardFrame frame;
  frame.node = "hut-1";
  frame.leader_token = 7;
  frame.lease = 12;
  frame.from_leader = true;
  frame.first_sequence = 3;
  frame.messages = {text, text};
  const std::string whole = wire::Encode(frame);
  EXPECT_EQ(wire::DecodeShardFrame(whole).messages, frame.messages);
  // Cut anywhere, or with any byte changed, it is refused or is another frame; it never crashes.
  for (size_t n = 0; n < whole.size(); ++n) {
    EXPECT_THROW(wire::DecodeShardFrame(whole.substr(0, n)), wire::BadMessage);
  }
  for (size_t n = 0; n < text.size(); ++n) {
    EXPECT_THROW(wire::DecodeShardMessage(text.substr(0, n)), wire::BadMessage);
    std::string changed = text;
    changed[n] = static_cast<char>(changed[n] ^ 0x55);
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
