// Exactly-once, in-order delivery of messages between the leader and a shard's holder, however
// often frames are lost, repeated or delayed. As in TCP, there are sequence numbers, cumulative
// acknowledgements and a receive window. For each leader's term and each shard lease, each side has
// one channel. Does no I/O: the caller sends the frames.
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
  // Fills the frame with the acknowledgement of the received messages, and with the messages that
  // the peer has not acknowledged, from the first on and as many as fit into its receive window.
  void FillFrame(wire::ShardFrame& frame) const;
  // Called when a frame that FillFrame has filled is sent.
  void OnFrameSent(const wire::ShardFrame& frame);
  // Whether all messages are acknowledged.
  [[nodiscard]] bool idle() const { return unacknowledged_.empty(); }
  // Whether there are messages that no frame has carried yet.
  [[nodiscard]] bool has_unsent() const { return last_sent_ < last_sequence(); }
  // Encoded size of the unacknowledged messages in bytes.
  [[nodiscard]] size_t bytes() const { return unacknowledged_bytes_; }
  // Sequence number of the last enqueued message; 0 before the first, which has the number 1.
  [[nodiscard]] uint64_t last_sequence() const {
    return first_sequence_ + unacknowledged_.size() - 1;
  }

  // --- Incoming ---
  // Returns the messages of a frame of this channel that were not received before, in order. Throws
  // wire::BadMessage on a frame that the peer can't have sent; in that case no message of the frame
  // is recorded as received.
  std::vector<wire::ShardMessage> Receive(const wire::ShardFrame& frame);

 private:
  void Acknowledge(uint64_t sequence);

  std::deque<std::string> unacknowledged_;  // messages in their encoded form
  size_t unacknowledged_bytes_ = 0;
  uint64_t first_sequence_ = 1;  // number of the first unacknowledged message
  uint64_t last_sent_ = 0;       // number of the last message that a frame has carried
  uint64_t last_received_ = 0;
  // Message bytes that the peer accepts in one frame, as of its last frame.
  uint64_t peer_window_bytes_ = wire::kMaxShardFrameBytes / 2;
};

}  // namespace mosspath::shard
