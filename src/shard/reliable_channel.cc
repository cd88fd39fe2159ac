#include "mosspath/shard/reliable_channel.h"

#include <algorithm>

#include "mosspath/wire/json.h"

namespace mosspath::shard {
namespace {

constexpr size_t kHeader = 512;      // of a frame, at most
constexpr size_t kItemOverhead = 3;  // its length

}  // namespace

void ReliableChannel::Enqueue(const wire::ShardMessage& item) {
  unacknowledged_.push_back(wire::Encode(item));
  bytes_ += unacknowledged_.back().size();
}

void ReliableChannel::FillFrame(wire::ShardFrame& frame) const {
  frame.acknowledged = last_received_;
  frame.first_sequence = first_sequence_;
  frame.messages.clear();
  const size_t most = std::min<size_t>(peer_window_bytes_, wire::kMaxShardFrameBytes - kHeader);
  size_t bytes = 0;
  for (const auto& item : unacknowledged_) {
    bytes += item.size() + kItemOverhead;
    if (bytes > most && !frame.messages.empty()) break;
    frame.messages.push_back(item);
  }
}

void ReliableChannel::OnFrameSent(const wire::ShardFrame& frame) {
  if (!frame.messages.empty())
    last_sent_ = std::max(last_sent_, frame.first_sequence + frame.messages.size() - 1);
}

std::vector<wire::ShardMessage> ReliableChannel::Receive(const wire::ShardFrame& frame) {
  if (frame.acknowledged > last())
    throw wire::BadMessage("frame: acknowledges what was never sent");
  std::vector<wire::ShardMessage> fresh;
  uint64_t number = frame.first_sequence;
  for (const auto& text : frame.messages) {
    // A gap: an earlier frame is still under way, or was lost. It comes again.
    if (number > last_received_ + fresh.size() + 1) break;
    if (number == last_received_ + fresh.size() + 1)
      fresh.push_back(wire::DecodeShardMessage(text));
    ++number;
  }
  last_received_ += fresh.size();
  while (first_sequence_ <= frame.acknowledged) {
    bytes_ -= unacknowledged_.front().size();
    unacknowledged_.pop_front();
    ++first_sequence_;
  }
  peer_window_bytes_ = frame.receive_window_bytes;
  return fresh;
}

}  // namespace mosspath::shard
