// Exactly-once, in-order delivery of messages to the other controller, however often frames are
// lost, repeated or late (sequence numbers, cumulative acknowledgements and a receive window, as
// TCP has). One channel for each pair of a leader's term and a shard lease. Pure: the caller sends
// the frames.
#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <string>
#include <vector>

#include "mosspath/wire/shard_frame.h"

namespace mosspath::shard {

class ReliableChannel {
 public:
  // --- Outgoing ---
  void Enqueue(const wire::ShardMessage& message);
  // Puts the unacknowledged messages into the frame, from the first on, as many as the other side
  // takes, with the sequence numbers and the acknowledgement.
  void FillFrame(wire::ShardFrame& frame) const;
  // A frame that FillFrame has filled is sent now.
  void OnFrameSent(const wire::ShardFrame& frame);
  // All messages are acknowledged.
  [[nodiscard]] bool idle() const { return unacknowledged_.empty(); }
  // There are messages that no frame has carried yet.
  [[nodiscard]] bool has_unsent() const { return last_sent_ < last_sequence(); }
  // Encoded bytes of the unacknowledged messages.
  [[nodiscard]] size_t bytes() const { return unacknowledged_bytes_; }
  // Number of the last message; messages count from 1.
  [[nodiscard]] uint64_t last_sequence() const {
    return first_sequence_ + unacknowledged_.size() - 1;
  }

  // --- Incoming ---
  // The new messages of a frame of this channel, in order. Throws wire::BadMessage on a frame that
  // the other side can't have sent, and then nothing of it counts as received.
  std::vector<wire::ShardMessage> Receive(const wire::ShardFrame& frame);

 private:
  void Acknowledge(uint64_t sequence);

  std::deque<std::string> unacknowledged_;  // encoded
  size_t unacknowledged_bytes_ = 0;
  uint64_t first_sequence_ = 1;  // number of the first in unacknowledged_
  uint64_t last_sent_ = 0;       // the last that a frame has carried
  uint64_t last_received_ = 0;
  // What the other side takes in one frame, as it last said.
  uint64_t peer_window_bytes_ = wire::kMaxShardFrameBytes / 2;
};

}  // namespace mosspath::shard
