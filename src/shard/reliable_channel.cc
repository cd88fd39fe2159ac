#include "mosspath/shard/reliable_channel.h"

#include <algorithm>

#include "mosspath/wire/json.h"

namespace mosspath::shard {
namespace {

constexpr size_t kMaxHeaderBytes = 512;    // upper bound on a frame's size without its messages
constexpr size_t kMessageLengthBytes = 3;  // length prefix of each message

}  // namespace

void ReliableChannel::Enqueue(const wire::ShardMessage& message) {
  unacknowledged_.push_back(wire::Encode(message));
  unacknowledged_bytes_ += unacknowledged_.back().size();
}

void ReliableChannel::FillFrame(wire::ShardFrame& frame) const {
  frame.acknowledged = last_received_;
  frame.first_sequence = first_sequence_;
  frame.messages.clear();
  const size_t max_bytes =
      std::min<size_t>(peer_window_bytes_, wire::kMaxShardFrameBytes - kMaxHeaderBytes);
  size_t bytes = 0;
  for (const auto& message : unacknowledged_) {
    bytes += message.size() + kMessageLengthBytes;
    if (bytes > max_bytes && !frame.messages.empty()) break;
    frame.messages.push_back(message);
  }
}

void ReliableChannel::OnFrameSent(const wire::ShardFrame& frame) {
  if (frame.messages.empty()) return;
  last_sent_ = std::max(last_sent_, frame.first_sequence + frame.messages.size() - 1);
}

std::vector<wire::ShardMessage> ReliableChannel::Receive(const wire::ShardFrame& frame) {
  if (frame.acknowledged > last_sequence()) {
    throw wire::BadMessage("frame: acknowledges what was never sent");
  }
  std::vector<wire::ShardMessage> fresh;
  uint64_t sequence = frame.first_sequence;
  for (const auto& encoded : frame.messages) {
    const uint64_t next_sequence = last_received_ + fresh.size() + 1;
    // There is a gap: an earlier frame is delayed or lost. The peer resends the missing messages
    // and all later ones, since they are not acknowledged.
    if (sequence > next_sequence) break;
    if (sequence == next_sequence) fresh.push_back(wire::DecodeShardMessage(encoded));
    ++sequence;
  }
  last_received_ += fresh.size();
  Acknowledge(frame.acknowledged);
  peer_window_bytes_ = frame.receive_window_bytes;
  return fresh;
}

void ReliableChannel::Acknowledge(uint64_t sequence) {
  while (first_sequence_ <= sequence) {
    unacknowledged_bytes_ -= unacknowledged_.front().size();
    unacknowledged_.pop_front();
    ++first_sequence_;
  }
}

}  // namespace mosspath::shard
