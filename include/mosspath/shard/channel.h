// Items to the other controller, in order and each taken in once, however often frames are lost,
// repeated or late. One channel for each pair of a leadership and a lease. Pure.
#pragma once

#include <cstdint>
#include <deque>
#include <string>
#include <vector>

#include "mosspath/wire/block_frame.h"

namespace mosspath::shard {

class Channel {
 public:
  // --- Out ---
  void Send(const wire::BlockItem& item);
  // Unacknowledged items from the first on, as many as the other takes; fills the frame's numbers.
  void Fill(wire::BlockFrame& frame) const;
  // Nothing waits to be acknowledged.
  bool idle() const { return out_.empty(); }
  // There are items that no frame has carried yet.
  bool fresh() const { return sent_ < last(); }
  size_t bytes() const { return bytes_; }
  uint64_t last() const { return first_ + out_.size() - 1; }
  // A frame was made and leaves.
  void Sent(const wire::BlockFrame& frame);

  // --- In ---
  // What is new of a frame of this channel, in order. Throws BadMessage before anything of it
  // counts as taken in.
  std::vector<wire::BlockItem> Take(const wire::BlockFrame& frame);

 private:
  std::deque<std::string> out_;
  size_t bytes_ = 0;
  uint64_t first_ = 1;  // number of the first in out_
  uint64_t sent_ = 0;   // the last that a frame has carried
  uint64_t heard_ = 0;
  uint64_t room_ = wire::kMaxBlockFrame / 2;  // what the other takes, as it last said
};

}  // namespace mosspath::shard
