#include "mosspath/shard/shard_lease_manager.h"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <utility>

#include "mosspath/scheduler/shard_map.h"

namespace mosspath::shard {
namespace {

// In multiples of the store lease's TTL. The silence of a holder is the time since its last frame.
constexpr double kReadyLeases = 1;     // after a longer silence, nothing is delegated to the holder
constexpr double kPatienceLeases = 4;  // after a longer silence, the holder's lease is revoked
constexpr double kPauseLeases = 2;     // pause from the end of a lease to the shard's next lease
// Pause from the revocation of a lease to the shard's next lease, in multiples of the agent lease's
// TTL.
constexpr double kRevokedPauseAgentLeases = 0.5;

}  // namespace

ShardLeaseManager::ShardLeaseManager(const config::Settings& settings,
                                     const config::DerivedSettings& derived,
                                     scheduler::Scheduler& scheduler, uint64_t token)
    : settings_(settings), derived_(derived), scheduler_(scheduler), token_(token) {
  const scheduler::ShardMap shard_map(settings);
  for (size_t index = 0; index < shard_map.size(); ++index) {
    if (shard_map.OwnerOf(index) == settings.name) {
      scheduler_.LeadShards(index);
    } else {
      shards_[shard_map.OwnerOf(index)].index = index;
    }
  }
}

void ShardLeaseManager::Shard::DelayLeaseUntil(double at) {
  next_lease_at = std::max(next_lease_at, std::optional(at));
}

ShardLeaseManager::Shard* ShardLeaseManager::Find(const std::string& node) {
  const auto it = shards_.find(node);
  return it == shards_.end() ? nullptr : &it->second;
}

void ShardLeaseManager::OnOffer(const std::string& node, uint64_t version, uint64_t store_lease,
                                double now) {
  Shard* shard = Find(node);
  if (shard == nullptr) return;
  if (version != kvstore::kKeyAbsent && version != shard->offer) {
    shard->DelayLeaseUntil(now + derived_.store_lease_s);
  }
  shard->offer = version;
  shard->store_lease = store_lease;
}

void ShardLeaseManager::OnInheritedLease(const std::string& node, uint64_t lease) {
  Shard* shard = Find(node);
  if (shard == nullptr) return;
  shard->lease = lease;
  shard->heard_at.reset();
  scheduler_.OpenLease(lease, shard->index, /*inherited=*/true);
}

void ShardLeaseManager::OnLease(const std::string& node, uint64_t lease, double now) {
  Shard* shard = Find(node);
  if (shard == nullptr || shard->lease == lease) return;
  if (shard->IsLeased()) CloseLease(node, *shard, now);
  shard->lease = lease;
  shard->channel = ReliableChannel();
  shard->synced = false;
  shard->heard_at = now;
  shard->opened_at = now;
  shard->write_in_flight = false;
  if (!shard->IsLeased()) return;
  spdlog::info("shard: lease_opened node={} lease={}", node, lease);
  scheduler_.OpenLease(lease, shard->index, /*inherited=*/false);
}

void ShardLeaseManager::CloseLease(const std::string& node, Shard& shard, double now) {
  spdlog::info("shard: lease_ended node={} lease={}", node, shard.lease);
  ended_leases_[shard.lease] = node;
  scheduler_.CloseLease(shard.lease, now + derived_.shard_hold_s, now);
  shard.DelayLeaseUntil(now + kPauseLeases * derived_.store_lease_s);
}

bool ShardLeaseManager::HasCeased(uint64_t lease) const {
  const auto offered_since = [&](const std::string& node) {
    return shards_.at(node).offer > lease;
  };
  if (const auto ended = ended_leases_.find(lease); ended != ended_leases_.end()) {
    return offered_since(ended->second);
  }
  // The lease ended before this term. This leader has no record of the former holder, which can be
  // any controller. So every other controller must have made an offer since. This controller needs
  // no offer as a proof, since it leads and holds no shard.
  return std::all_of(shards_.begin(), shards_.end(),
                     [&](const auto& entry) { return offered_since(entry.first); });
}

void ShardLeaseManager::ForgetEndedLeases(double now) {
  const auto expired = scheduler_.ExpiredLeases();
  for (const uint64_t lease : expired) {
    if (HasCeased(lease)) scheduler_.OnHolderCeased(lease, now);
  }
  std::erase_if(ended_leases_, [&](const auto& entry) { return !expired.contains(entry.first); });
}

std::vector<ShardLeaseManager::LeaseChange> ShardLeaseManager::PendingChanges(double now) {
  std::vector<LeaseChange> changes;
  ForgetEndedLeases(now);
  for (auto& [node, shard] : shards_) {
    if (shard.IsLeased()) {
      const bool must_revoke = MustRevoke(shard, now);
      if (must_revoke && !shard.write_in_flight) changes.push_back(Revoke(node, shard, now));
    } else if (MayLease(shard, now)) {
      shard.write_in_flight = true;
      changes.push_back({node, shard.offer, shard.store_lease, kvstore::kNoLease});
    }
  }
  return changes;
}

bool ShardLeaseManager::MustRevoke(Shard& shard, double now) {
  // The holder of an inherited lease sends this leader no frame until it has read which controller
  // leads now. So the time limits for its frames and claims are measured from the first call of
  // this function.
  if (!shard.opened_at) shard.opened_at = now;
  if (!shard.heard_at) shard.heard_at = now;
  const double silence_s = now - *shard.heard_at;
  // Until the holder has sent all its claims, the leader can't start tasks of earlier jobs: the
  // holder may run them already. So the leader waits for the claims for a limited time only.
  const bool sync_is_late = !shard.synced && now - *shard.opened_at > settings_.agent_lease_s;
  const bool silent = silence_s > kPatienceLeases * derived_.store_lease_s || sync_is_late;
  const bool ready = shard.synced && silence_s < kReadyLeases * derived_.store_lease_s;
  scheduler_.SetLeaseReady(shard.lease, ready && allowed_);
  return silent || !allowed_;
}

ShardLeaseManager::LeaseChange ShardLeaseManager::Revoke(const std::string& node, Shard& shard,
                                                         double now) {
  spdlog::info("shard: lease_revoked node={} lease={} reason={}", node, shard.lease,
               allowed_ ? "holder_silent" : "leases_not_allowed");
  shard.write_in_flight = true;
  shard.next_lease_at = now + kRevokedPauseAgentLeases * settings_.agent_lease_s;
  return {node, kvstore::kKeyAbsent, kvstore::kNoLease, shard.lease};
}

bool ShardLeaseManager::MayLease(const Shard& shard, double now) const {
  const bool is_offered = allowed_ && shard.offer != kvstore::kKeyAbsent;
  const bool is_due = !shard.next_lease_at || now >= *shard.next_lease_at;
  return is_offered && is_due && !shard.write_in_flight && scheduler_.recovery_complete();
}

void ShardLeaseManager::OnChangeWritten(const std::string& node, bool done, double now) {
  Shard* shard = Find(node);
  if (shard == nullptr) return;
  // Even a write that timed out may have succeeded. The delay gives the watch cache time to receive
  // the outcome before another lease is granted.
  shard->DelayLeaseUntil(now + (done ? derived_.call_timeout_s : derived_.store_lease_s));
  shard->write_in_flight = false;
}

bool ShardLeaseManager::OnFrame(const wire::ShardFrame& frame, double now) {
  Shard* shard = Find(frame.node);
  if (shard == nullptr || !shard->IsLeased()) return false;
  if (frame.from_leader || frame.lease != shard->lease || frame.leader_token != token_) {
    return false;
  }
  shard->heard_at = now;
  for (const auto& message : shard->channel.Receive(frame)) {
    scheduler_.OnHolderMessage(shard->lease, message, now);
    shard->synced = shard->synced || message.kind == wire::ShardMessage::Kind::kSyncComplete;
  }
  if (shard->synced && allowed_) scheduler_.SetLeaseReady(shard->lease, true);
  return true;
}

std::optional<wire::ShardFrame> ShardLeaseManager::MakeAnswer(const std::string& node) {
  Shard* shard = Find(node);
  if (shard == nullptr || !shard->IsLeased()) return std::nullopt;
  for (const auto& message : scheduler_.TakeHolderMessages(shard->lease)) {
    shard->channel.Enqueue(message);
  }
  wire::ShardFrame frame;
  frame.node = settings_.name;
  frame.leader_token = token_;
  frame.lease = shard->lease;
  frame.from_leader = true;
  frame.receive_window_bytes = wire::kMaxShardFrameBytes;
  shard->channel.FillFrame(frame);
  shard->channel.OnFrameSent(frame);
  shard->frame_lost = false;
  return frame;
}

std::vector<ShardLeaseManager::AddressedFrame> ShardLeaseManager::NextFrames() {
  std::vector<AddressedFrame> frames;
  for (auto& [node, shard] : shards_) {
    // The leader sends no frames until the holder has sent its claims (kSyncComplete): the frames
    // of the holder show that the holder has read which controller leads.
    if (!shard.IsLeased() || !shard.synced) continue;
    for (const auto& message : scheduler_.TakeHolderMessages(shard.lease)) {
      shard.channel.Enqueue(message);
    }
    const bool must_repeat = shard.frame_lost && !shard.channel.idle();
    if (!shard.channel.has_unsent() && !must_repeat) continue;
    if (auto frame = MakeAnswer(node)) frames.push_back({node, std::move(*frame)});
  }
  return frames;
}

void ShardLeaseManager::OnFrameLost(const std::string& node) {
  if (Shard* shard = Find(node)) shard->frame_lost = true;
}

std::string ShardLeaseManager::HolderOf(const std::string& machine) const {
  const uint64_t lease = scheduler_.LeaseOf(machine);
  if (lease == kvstore::kNoLease) return {};
  for (const auto& [node, shard] : shards_) {
    if (shard.lease == lease) return node;
  }
  return {};
}

void ShardLeaseManager::OnProcessStall(double now) {
  for (auto& [node, shard] : shards_) {
    shard.heard_at = std::max(shard.heard_at, std::optional(now));
  }
}

}  // namespace mosspath::shard
