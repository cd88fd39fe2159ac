#include "mosspath/shard/channel.h"

#include <algorithm>

#include "mosspath/wire/json.h"

namespace mosspath::shard {
namespace {

constexpr size_t kHeader = 512;      // of a frame, at most
constexpr size_t kItemOverhead = 3;  // its length

}  // namespace

void Channel::Send(const wire::BlockItem& item) {
  out_.push_back(wire::Encode(item));
  bytes_ += out_.back().size();
}

void Channel::Fill(wire::BlockFrame& frame) const {
  frame.heard = heard_;
  frame.first = first_;
  frame.items.clear();
  const size_t most = std::min<size_t>(room_, wire::kMaxBlockFrame - kHeader);
  size_t bytes = 0;
  for (const auto& item : out_) {
    bytes += item.size() + kItemOverhead;
    if (bytes > most && !frame.items.empty()) break;
    frame.items.push_back(item);
  }
}

void Channel::Sent(const wire::BlockFrame& frame) {
  if (!frame.items.empty()) sent_ = std::max(sent_, frame.first + frame.items.size() - 1);
}

std::vector<wire::BlockItem> Channel::Take(const wire::BlockFrame& frame) {
  if (frame.heard > last()) throw wire::BadMessage("frame: acknowledges what was never sent");
  std::vector<wire::BlockItem> fresh;
  uint64_t number = frame.first;
  for (const auto& text : frame.items) {
    // A gap: an earlier frame is still under way, or was lost. It comes again.
    if (number > heard_ + fresh.size() + 1) break;
    if (number == heard_ + fresh.size() + 1) fresh.push_back(wire::DecodeBlockItem(text));
    ++number;
  }
  heard_ += fresh.size();
  while (first_ <= frame.heard) {
    bytes_ -= out_.front().size();
    out_.pop_front();
    ++first_;
  }
  room_ = frame.room;
  return fresh;
}

}  // namespace mosspath::shard
