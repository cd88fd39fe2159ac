#include "mosspath/service/shard_membership.h"

#include <spdlog/spdlog.h>

#include <asio/post.hpp>
#include <optional>
#include <utility>

#include "mosspath/service/keys.h"
#include "mosspath/wire/json.h"

namespace mosspath::service {
namespace {

constexpr const char* kStoreLeaseField = "grant";  // field of the records of offers and leases

uint64_t StoreLeaseOf(const kvstore::Event& event) {
  return event.value ? event.value->value(kStoreLeaseField, uint64_t{0}) : 0;
}

uint64_t VersionOf(const kvstore::Event& event) { return event.value ? event.version : 0; }

// A callback that ignores the result of a write: this controller reads the outcome of the write
// from the watch cache.
void IgnoreResult(const kvstore::TransactionResult&) {}

}  // namespace

ShardMembership::ShardMembership(const Dependencies& dependencies, net::OnMalformed on_malformed,
                                 GetLeader leader)
    : context_(dependencies),
      on_malformed_(std::move(on_malformed)),
      leader_(std::move(leader)),
      offer_timer_(dependencies.io) {}

void ShardMembership::Start() {
  if (context_.settings.lease_shards) OfferToHold();
}

shard::ShardLeaseManager* ShardMembership::LeaseManager() const {
  LeaderService* leader = leader_();
  return leader != nullptr ? leader->shard_leases() : nullptr;
}

void ShardMembership::OnReset() {
  routes_.Clear();
  offers_.clear();
  own_store_lease_ = 0;
}

bool ShardMembership::OnKey(const kvstore::Event& event) {
  if (event.key.starts_with(keys::kShardOffers)) {
    OnOfferKey(event.key.substr(keys::kShardOffers.size()), event);
    return true;
  }
  if (event.key.starts_with(keys::kShardLeases)) {
    OnLeaseKey(event.key.substr(keys::kShardLeases.size()), event);
    return true;
  }
  return false;
}

void ShardMembership::OnOfferKey(const std::string& node, const kvstore::Event& event) {
  const Offer offer{VersionOf(event), StoreLeaseOf(event)};
  offers_[node] = offer;
  if (shard::ShardLeaseManager* manager = LeaseManager()) {
    manager->OnOffer(node, offer.version, offer.store_lease, net::Now());
  }
}

void ShardMembership::OnLeaseKey(const std::string& node, const kvstore::Event& event) {
  routes_.OnLease(node, VersionOf(event));
  if (node == context_.settings.name) {
    own_store_lease_ = StoreLeaseOf(event);
    if (context_.cache.loaded()) UpdateHolder();
  } else if (shard::ShardLeaseManager* manager = LeaseManager()) {
    manager->OnLease(node, VersionOf(event), net::Now());
  }
}

void ShardMembership::OnMachinesPack(int pack, const kvstore::Event& event) {
  routes_.OnPack(pack, event.value ? &*event.value : nullptr, event.version);
  if (holder_) holder_->OnMachinesAssigned(routes_, pack);
}

void ShardMembership::OnLeaderKey() {
  if (holder_) holder_->OnLeader(context_.elector.leader(), context_.elector.leader_token());
}

void ShardMembership::OnCacheLoaded() {
  if (shard::ShardLeaseManager* manager = LeaseManager()) {
    for (const auto& peer : context_.settings.peers) {
      manager->OnLease(peer.name, routes_.LeaseOf(peer.name), net::Now());
    }
  }
  UpdateHolder();
  if (!holder_) return;
  holder_->RemoveEndedJobs();
  holder_->OnAllMachinesAssigned(routes_);
  OnLeaderKey();
}

// Starts or stops holding this controller's shard, according to the shard's lease in the key-value
// store.
void ShardMembership::UpdateHolder() {
  const uint64_t lease = routes_.LeaseOf(context_.settings.name);
  const bool held =
      lease != 0 && leader_() == nullptr && own_store_lease_ == context_.elector.store_lease();
  if (holder_ && (!held || holder_->lease() != lease)) StopHolding();
  if (held && !holder_) StartHolding(lease);
}

void ShardMembership::StartHolding(uint64_t lease) {
  holder_ = std::make_shared<ShardHolderService>(
      context_.io, context_.settings, context_.derived, context_.elector, context_.cache,
      context_.jobs, context_.stalls, context_.frames, context_.sockets, lease);
  holder_->on_malformed = on_malformed_;
  holder_->on_partitioned = [this] { ReleaseShard(); };
  scheduler::Scheduler& scheduler = holder_->holder().dispatcher();
  scheduler.Apply(context_.operator_settings.settings());
  if (!context_.machine_types.empty()) {
    scheduler.SetMachineTypes(context_.machine_types.types());
  }
  holder_->OnAllMachinesAssigned(routes_);
  OnLeaderKey();
  spdlog::info("shard: lease_begun node={} lease={}", context_.settings.name, lease);
  asio::post(context_.io, [holder = holder_] { holder->Start(); });
}

void ShardMembership::StopHolding() {
  if (!holder_) return;
  spdlog::info("shard: lease_ended node={} lease={}", context_.settings.name, holder_->lease());
  holder_->Stop();
  holder_.reset();
}

// Releases the shard lease because most of the shard's machines are unreachable from this
// controller. Another controller may reach these machines.
void ShardMembership::ReleaseShard() {
  if (!holder_) return;
  spdlog::info("shard: lease_released lease={} cause=partitioned_from_agents", holder_->lease());
  const std::string key = keys::kShardLeases + context_.settings.name;
  kvstore::Transaction transaction;
  transaction.conditions.push_back({key, holder_->lease()});
  transaction.changes.push_back({key, std::nullopt});
  StopHolding();
  context_.store.Commit(transaction, context_.derived.call_timeout_s, IgnoreResult);
}

// Writes the offer to hold this controller's shard. The offer is attached to the store lease. So
// the offer's existence tells the leader that this controller runs and renews its store lease.
void ShardMembership::OfferToHold() {
  offer_timer_.After(context_.derived.store_lease_s / 2, [this] { OfferToHold(); });
  const std::string& node = context_.settings.name;
  const uint64_t store_lease = context_.elector.store_lease();
  if (store_lease == 0 || !context_.cache.loaded()) return;
  const Offer& offer = offers_[node];
  if (offer.store_lease == store_lease) return;
  // An offer under a new store lease guarantees that this controller no longer acts under an older
  // shard lease. So this controller must stop holding the shard before it writes the offer. The
  // leader relies on the guarantee: it assumes that no agent lease of an unreachable machine under
  // the older shard lease is renewed after the offer.
  if (own_store_lease_ != store_lease) StopHolding();
  kvstore::Transaction transaction;
  // Without the condition, a delayed retry of this write could be executed later and appear as a
  // newer offer.
  transaction.conditions.push_back({keys::kShardOffers + node, offer.version});
  transaction.changes.push_back(
      {keys::kShardOffers + node, wire::Json{{kStoreLeaseField, store_lease}}, store_lease});
  context_.store.Commit(transaction, context_.derived.call_timeout_s, IgnoreResult);
}

void ShardMembership::HandOverTo(LeaderService& leader, uint64_t token, double now) {
  shard::ShardLeaseManager* manager = leader.shard_leases();
  if (manager == nullptr) return;
  manager->AllowLeases(context_.operator_settings.settings().lease_blocks);
  for (const auto& [lease, node] : routes_.leases()) manager->OnInheritedLease(node, lease);
  for (const auto& [node, offer] : offers_) {
    manager->OnOffer(node, offer.version, offer.store_lease, now);
  }
  const std::string& own = context_.settings.name;
  if (routes_.LeaseOf(own) == 0) return;
  kvstore::Transaction transaction;
  transaction.conditions.push_back({keys::kLeader, token});
  transaction.changes.push_back({keys::kShardLeases + own, std::nullopt});
  context_.store.Commit(transaction, context_.derived.call_timeout_s, IgnoreResult);
}

}  // namespace mosspath::service
