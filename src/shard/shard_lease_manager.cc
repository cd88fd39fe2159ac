#include "mosspath/shard/shard_lease_manager.h"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <utility>

#include "mosspath/scheduler/shard_map.h"

namespace mosspath::shard {
namespace {

constexpr double kReadyGrants = 1;     // a holder unheard for so long is given nothing
constexpr double kPatienceGrants = 4;  // and its lease is taken back after this
constexpr double kPauseGrants = 2;     // before a block is leased again
constexpr double kPauseRevoked = 0.5;  // leases; the same after its lease was taken back

}  // namespace

ShardLeaseManager::ShardLeaseManager(const config::Settings& settings,
                                     const config::DerivedSettings& derived,
                                     scheduler::Scheduler& dispatcher, uint64_t token)
    : settings_(settings), derived_(derived), dispatcher_(dispatcher), token_(token) {
  const scheduler::ShardMap blocks(settings);
  for (size_t i = 0; i < blocks.size(); ++i) {
    if (blocks.OwnerOf(i) == settings.name) {
      dispatcher_.LeadShards(i);
    } else {
      shards_[blocks.OwnerOf(i)].index = i;
    }
  }
}

ShardLeaseManager::Shard* ShardLeaseManager::Find(const std::string& node) {
  const auto it = shards_.find(node);
  return it == shards_.end() ? nullptr : &it->second;
}

void ShardLeaseManager::OnOffer(const std::string& node, uint64_t version, uint64_t grant,
                                double now) {
  Shard* b = Find(node);
  if (b == nullptr) return;
  if (version != 0 && version != b->offer) {
    b->not_before = std::max(b->not_before, now + derived_.store_lease_s);
  }
  b->offer = version;
  b->store_lease = grant;
}

void ShardLeaseManager::OnInheritedLease(const std::string& node, uint64_t lease) {
  Shard* b = Find(node);
  if (b == nullptr) return;
  b->lease = lease;
  b->heard_at = -1e18;
  dispatcher_.OpenLease(lease, b->index, /*inherited=*/true);
}

void ShardLeaseManager::OnLease(const std::string& node, uint64_t lease, double now) {
  Shard* b = Find(node);
  if (b == nullptr || b->lease == lease) return;
  if (b->lease != 0) {
    spdlog::info("blocks: {} holds its block no longer, lease {}", node, b->lease);
    ended_leases_[b->lease] = node;
    dispatcher_.CloseLease(b->lease, now + derived_.shard_hold_s, now);
    b->not_before = std::max(b->not_before, now + kPauseGrants * derived_.store_lease_s);
  }
  b->lease = lease;
  b->channel = ReliableChannel();
  b->synced = false;
  b->heard_at = b->opened_at = now;
  b->write_in_flight = false;
  if (lease == 0) return;
  spdlog::info("blocks: {} holds its block under lease {}", node, lease);
  dispatcher_.OpenLease(lease, b->index, /*inherited=*/false);
}

bool ShardLeaseManager::HasCeased(uint64_t lease) const {
  const auto since = [&](const std::string& node) { return shards_.at(node).offer > lease; };
  if (const auto held = ended_leases_.find(lease); held != ended_leases_.end())
    return since(held->second);
  // An earlier leader's: nobody knows whose. This node holds nothing any more.
  return std::all_of(shards_.begin(), shards_.end(), [&](const auto& b) { return since(b.first); });
}

std::vector<ShardLeaseManager::LeaseChange> ShardLeaseManager::PendingChanges(double now) {
  std::vector<LeaseChange> changes;
  const auto past = dispatcher_.ExpiredLeases();
  for (const uint64_t lease : past) {
    if (HasCeased(lease)) dispatcher_.OnHolderCeased(lease, now);
  }
  std::erase_if(ended_leases_, [&](const auto& h) { return !past.contains(h.first); });
  for (auto& [node, b] : shards_) {
    if (b.lease != 0) {
      if (b.opened_at < -1e17) b.opened_at = now;
      if (b.heard_at < -1e17)
        b.heard_at = now;  // an earlier leader's: its holder has yet to find us
      // Nothing of earlier jobs starts before it has told what it has.
      const bool silent = now - b.heard_at > kPatienceGrants * derived_.store_lease_s ||
                          (!b.synced && now - b.opened_at > settings_.agent_lease_s);
      const bool ready = b.synced && now - b.heard_at < kReadyGrants * derived_.store_lease_s;
      dispatcher_.SetLeaseReady(b.lease, ready && allowed_);
      if ((!silent && allowed_) || b.write_in_flight) continue;
      spdlog::info("blocks: lease {} of {} is taken back: {}", b.lease, node,
                   allowed_ ? "it is not heard" : "blocks are not leased");
      b.write_in_flight = true;
      b.not_before = now + kPauseRevoked * settings_.agent_lease_s;
      changes.push_back({node, 0, 0, b.lease});
    } else if (allowed_ && b.offer != 0 && !b.write_in_flight && now >= b.not_before &&
               dispatcher_.recovery_complete()) {
      b.write_in_flight = true;
      changes.push_back({node, b.offer, b.store_lease, 0});
    }
  }
  return changes;
}

void ShardLeaseManager::OnChangeWritten(const std::string& node, bool done, double now) {
  Shard* b = Find(node);
  if (b == nullptr) return;
  // Whatever it was, the mirror shows it soon.
  b->not_before =
      std::max(b->not_before, now + (done ? derived_.call_timeout_s : derived_.store_lease_s));
  b->write_in_flight = false;
}

bool ShardLeaseManager::OnFrame(const wire::ShardFrame& frame, double now) {
  Shard* b = Find(frame.node);
  if (b == nullptr || frame.from_leader || b->lease == 0 || frame.lease != b->lease ||
      frame.leader_token != token_) {
    return false;
  }
  b->heard_at = now;
  for (const auto& item : b->channel.Receive(frame)) {
    dispatcher_.OnHolderMessage(b->lease, item, now);
    b->synced = b->synced || item.kind == wire::ShardMessage::Kind::kSyncComplete;
  }
  if (b->synced && allowed_) dispatcher_.SetLeaseReady(b->lease, true);
  return true;
}

std::optional<wire::ShardFrame> ShardLeaseManager::MakeAnswer(const std::string& node) {
  Shard* b = Find(node);
  if (b == nullptr || b->lease == 0) return std::nullopt;
  for (const auto& item : dispatcher_.TakeHolderMessages(b->lease)) b->channel.Enqueue(item);
  wire::ShardFrame frame;
  frame.node = settings_.name;
  frame.leader_token = token_;
  frame.lease = b->lease;
  frame.from_leader = true;
  frame.receive_window_bytes = wire::kMaxShardFrameBytes;
  b->channel.FillFrame(frame);
  b->channel.OnFrameSent(frame);
  b->frame_lost = false;
  return frame;
}

std::vector<std::pair<std::string, wire::ShardFrame>> ShardLeaseManager::NextFrames(double) {
  std::vector<std::pair<std::string, wire::ShardFrame>> frames;
  for (auto& [node, b] : shards_) {
    // Its holder speaks first: it knows by then who leads.
    if (b.lease == 0 || !b.synced) continue;
    for (const auto& item : dispatcher_.TakeHolderMessages(b.lease)) b.channel.Enqueue(item);
    if (!b.channel.has_unsent() && !(b.frame_lost && !b.channel.idle())) continue;
    if (auto frame = MakeAnswer(node)) frames.emplace_back(node, std::move(*frame));
  }
  return frames;
}

void ShardLeaseManager::OnFrameLost(const std::string& node) {
  if (Shard* b = Find(node)) b->frame_lost = true;
}

std::string ShardLeaseManager::HolderOf(const std::string& machine) const {
  const uint64_t lease = dispatcher_.LeaseOf(machine);
  if (lease == 0) return {};
  for (const auto& [node, b] : shards_) {
    if (b.lease == lease) return node;
  }
  return {};
}

void ShardLeaseManager::OnProcessStall(double now) {
  for (auto& [node, b] : shards_) b.heard_at = std::max(b.heard_at, now);
}

}  // namespace mosspath::shard
