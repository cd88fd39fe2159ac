// Items to the other controller, in order and each taken in once, however often frames are lost,
// repeated or late. One channel for each pair of a leadership and a lease. Pure.
#pragma once

#include <cstdint>
#include <deque>
#include <string>
#include <vector>

#include "mosspath/wire/shard_frame.h"

namespace mosspath::shard {

class ReliableChannel {
 public:
  // --- Out ---
  void Enqueue(const wire::ShardMessage& item);
  // Unacknowledged items from the first on, as many as the other takes; fills the frame's numbers.
  void FillFrame(wire::ShardFrame& frame) const;
  // Nothing waits to be acknowledged.
  bool idle() const { return unacknowledged_.empty(); }
  // There are items that no frame has carried yet.
  bool has_unsent() const { return last_sent_ < last(); }
  size_t bytes() const { return bytes_; }
  uint64_t last() const { return first_sequence_ + unacknowledged_.size() - 1; }
  // A frame was made and leaves.
  void OnFrameSent(const wire::ShardFrame& frame);

  // --- In ---
  // What is new of a frame of this channel, in order. Throws BadMessage before anything of it
  // counts as taken in.
  std::vector<wire::ShardMessage> Receive(const wire::ShardFrame& frame);

 private:
  std::deque<std::string> unacknowledged_;
  size_t bytes_ = 0;
  uint64_t first_sequence_ = 1;  // number of the first in out_
  uint64_t last_sent_ = 0;       // the last that a frame has carried
  uint64_t last_received_ = 0;
  uint64_t peer_window_bytes_ =
      wire::kMaxShardFrameBytes / 2;  // what the other takes, as it last said
};

}  // namespace mosspath::shard
