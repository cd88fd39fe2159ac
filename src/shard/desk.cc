#include "mosspath/shard/desk.h"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <utility>

#include "mosspath/scheduler/blocks.h"

namespace mosspath::shard {
namespace {

constexpr double kReadyGrants = 1;     // a holder unheard for so long is given nothing
constexpr double kPatienceGrants = 4;  // and its lease is taken back after this
constexpr double kPauseGrants = 2;     // before a block is leased again
constexpr double kPauseRevoked = 0.5;  // leases; the same after its lease was taken back

}  // namespace

Desk::Desk(const config::Settings& settings, const config::Derived& derived,
           scheduler::Dispatcher& dispatcher, uint64_t token)
    : settings_(settings), derived_(derived), dispatcher_(dispatcher), token_(token) {
  const scheduler::Blocks blocks(settings);
  for (size_t i = 0; i < blocks.size(); ++i) {
    if (blocks.controller(i) == settings.node) {
      dispatcher_.LeadBlocks(i);
    } else {
      blocks_[blocks.controller(i)].index = i;
    }
  }
}

Desk::Block* Desk::Find(const std::string& node) {
  const auto it = blocks_.find(node);
  return it == blocks_.end() ? nullptr : &it->second;
}

void Desk::Offered(const std::string& node, uint64_t version, uint64_t grant, double now) {
  Block* b = Find(node);
  if (b == nullptr) return;
  if (version != 0 && version != b->offer) {
    b->not_before = std::max(b->not_before, now + derived_.grant_s);
  }
  b->offer = version;
  b->grant = grant;
}

void Desk::Inherited(const std::string& node, uint64_t lease) {
  Block* b = Find(node);
  if (b == nullptr) return;
  b->lease = lease;
  b->heard = -1e18;
  dispatcher_.OpenLease(lease, b->index, /*inherited=*/true);
}

void Desk::Leased(const std::string& node, uint64_t lease, double now) {
  Block* b = Find(node);
  if (b == nullptr || b->lease == lease) return;
  if (b->lease != 0) {
    spdlog::info("blocks: {} holds its block no longer, lease {}", node, b->lease);
    held_[b->lease] = node;
    dispatcher_.CloseLease(b->lease, now + derived_.hold_s, now);
    b->not_before = std::max(b->not_before, now + kPauseGrants * derived_.grant_s);
  }
  b->lease = lease;
  b->channel = Channel();
  b->synced = false;
  b->heard = b->opened = now;
  b->writing = false;
  if (lease == 0) return;
  spdlog::info("blocks: {} holds its block under lease {}", node, lease);
  dispatcher_.OpenLease(lease, b->index, /*inherited=*/false);
}

bool Desk::Ceased(uint64_t lease) const {
  const auto since = [&](const std::string& node) { return blocks_.at(node).offer > lease; };
  if (const auto held = held_.find(lease); held != held_.end()) return since(held->second);
  // An earlier leader's: nobody knows whose. This node holds nothing any more.
  return std::all_of(blocks_.begin(), blocks_.end(), [&](const auto& b) { return since(b.first); });
}

std::vector<Desk::Change> Desk::Changes(double now) {
  std::vector<Change> changes;
  const auto past = dispatcher_.PastLeases();
  for (const uint64_t lease : past) {
    if (Ceased(lease)) dispatcher_.HolderCeased(lease, now);
  }
  std::erase_if(held_, [&](const auto& h) { return !past.contains(h.first); });
  for (auto& [node, b] : blocks_) {
    if (b.lease != 0) {
      if (b.opened < -1e17) b.opened = now;
      if (b.heard < -1e17) b.heard = now;  // an earlier leader's: its holder has yet to find us
      // Nothing of earlier jobs starts before it has told what it has.
      const bool silent = now - b.heard > kPatienceGrants * derived_.grant_s ||
                          (!b.synced && now - b.opened > settings_.lease_s);
      const bool ready = b.synced && now - b.heard < kReadyGrants * derived_.grant_s;
      dispatcher_.LeaseReady(b.lease, ready && allowed_);
      if ((!silent && allowed_) || b.writing) continue;
      spdlog::info("blocks: lease {} of {} is taken back: {}", b.lease, node,
                   allowed_ ? "it is not heard" : "blocks are not leased");
      b.writing = true;
      b.not_before = now + kPauseRevoked * settings_.lease_s;
      changes.push_back({node, 0, 0, b.lease});
    } else if (allowed_ && b.offer != 0 && !b.writing && now >= b.not_before &&
               dispatcher_.settled()) {
      b.writing = true;
      changes.push_back({node, b.offer, b.grant, 0});
    }
  }
  return changes;
}

void Desk::Written(const std::string& node, bool done, double now) {
  Block* b = Find(node);
  if (b == nullptr) return;
  // Whatever it was, the mirror shows it soon.
  b->not_before =
      std::max(b->not_before, now + (done ? derived_.call_timeout_s : derived_.grant_s));
  b->writing = false;
}

bool Desk::OnFrame(const wire::BlockFrame& frame, double now) {
  Block* b = Find(frame.node);
  if (b == nullptr || frame.from_leader || b->lease == 0 || frame.lease != b->lease ||
      frame.leader != token_) {
    return false;
  }
  b->heard = now;
  for (const auto& item : b->channel.Take(frame)) {
    dispatcher_.FromHolder(b->lease, item, now);
    b->synced = b->synced || item.kind == wire::BlockItem::Kind::kSynced;
  }
  if (b->synced && allowed_) dispatcher_.LeaseReady(b->lease, true);
  return true;
}

std::optional<wire::BlockFrame> Desk::Answer(const std::string& node) {
  Block* b = Find(node);
  if (b == nullptr || b->lease == 0) return std::nullopt;
  for (const auto& item : dispatcher_.ForHolder(b->lease)) b->channel.Send(item);
  wire::BlockFrame frame;
  frame.node = settings_.node;
  frame.leader = token_;
  frame.lease = b->lease;
  frame.from_leader = true;
  frame.room = wire::kMaxBlockFrame;
  b->channel.Fill(frame);
  b->channel.Sent(frame);
  b->lost_frame = false;
  return frame;
}

std::vector<std::pair<std::string, wire::BlockFrame>> Desk::NextFrames(double) {
  std::vector<std::pair<std::string, wire::BlockFrame>> frames;
  for (auto& [node, b] : blocks_) {
    // Its holder speaks first: it knows by then who leads.
    if (b.lease == 0 || !b.synced) continue;
    for (const auto& item : dispatcher_.ForHolder(b.lease)) b.channel.Send(item);
    if (!b.channel.fresh() && !(b.lost_frame && !b.channel.idle())) continue;
    if (auto frame = Answer(node)) frames.emplace_back(node, std::move(*frame));
  }
  return frames;
}

void Desk::FrameLost(const std::string& node) {
  if (Block* b = Find(node)) b->lost_frame = true;
}

std::string Desk::HolderOf(const std::string& machine) const {
  const uint64_t lease = dispatcher_.LeaseOf(machine);
  if (lease == 0) return {};
  for (const auto& [node, b] : blocks_) {
    if (b.lease == lease) return node;
  }
  return {};
}

void Desk::StoodStill(double now) {
  for (auto& [node, b] : blocks_) b.heard = std::max(b.heard, now);
}

}  // namespace mosspath::shard
