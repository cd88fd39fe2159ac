// This controller's part in the sharding of machines (docs/sharding.md): offers
// to hold its shard, holds it while the state service shows the lease, and
// knows who holds the others.
#pragma once

#include <asio/io_context.hpp>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>

#include "mosspath/config/settings.h"
#include "mosspath/election/elector.h"
#include "mosspath/kvstore/client.h"
#include "mosspath/kvstore/watch_cache.h"
#include "mosspath/net/malformed_message.h"
#include "mosspath/net/stall_detector.h"
#include "mosspath/net/timer.h"
#include "mosspath/service/job_service.h"
#include "mosspath/service/leader_service.h"
#include "mosspath/service/machine_type_cache.h"
#include "mosspath/service/operator_settings_api.h"
#include "mosspath/service/peer_frame_sender.h"
#include "mosspath/service/shard_holder_service.h"
#include "mosspath/shard/routing_table.h"

namespace mosspath::service {

class ShardMembership {
 public:
  // All that these refer to outlives the membership.
  struct Dependencies {
    asio::io_context& io;
    const config::Settings& settings;
    const config::DerivedSettings& derived;
    kvstore::Client& store;
    const kvstore::WatchCache& cache;
    election::Elector& elector;
    const JobService& jobs;
    net::StallDetector& stalls;
    PeerFrameSender& frames;
    const MachineTypeCache& machine_types;
    const OperatorSettingsApi& operator_settings;
    std::shared_ptr<net::SocketBudget> sockets;
  };
  // This controller as the leader; null while it does not lead.
  using GetLeader = std::function<LeaderService*()>;

  ShardMembership(const Dependencies& dependencies, net::OnMalformed on_malformed,
                  GetLeader leader);
  ~ShardMembership() { StopHolding(); }
  ShardMembership(const ShardMembership&) = delete;
  ShardMembership& operator=(const ShardMembership&) = delete;

  void Start();

  // --- What the watch cache shows ---
  void OnReset();
  // An offer or a lease of a shard. Returns false if the key is neither.
  bool OnKey(const kvstore::Event& event);
  void OnMachinesPack(int pack, const kvstore::Event& event);
  void OnLeaderKey();
  // The cache is loaded, again or for the first time.
  void OnCacheLoaded();

  // --- This controller leads from now on ---
  // Whoever leads holds no shard: what it held is asked what it has, like all
  // that is inherited.
  void StopHolding();
  // Gives the new leader's lease manager all leases and offers, and removes
  // this node's own lease.
  void HandOverTo(LeaderService& leader, uint64_t token, double now);

  // This controller as a holder; null while it holds no shard.
  [[nodiscard]] ShardHolderService* holder() { return holder_.get(); }
  [[nodiscard]] const shard::RoutingTable& routes() const { return routes_; }

 private:
  struct Offer {
    uint64_t version = 0;      // 0: no offer
    uint64_t store_lease = 0;  // to which the offer is attached
  };

  [[nodiscard]] shard::ShardLeaseManager* LeaseManager() const;
  void OnOfferKey(const std::string& node, const kvstore::Event& event);
  void OnLeaseKey(const std::string& node, const kvstore::Event& event);
  void UpdateHolder();
  void StartHolding(uint64_t lease);
  void ReleaseShard();
  void OfferToHold();

  const Dependencies context_;
  const net::OnMalformed on_malformed_;
  const GetLeader leader_;
  shard::RoutingTable routes_;
  std::map<std::string, Offer> offers_;  // by their controllers
  uint64_t own_store_lease_ = 0;         // to which this node's shard lease is attached; 0: none
  std::shared_ptr<ShardHolderService> holder_;
  net::Timer offer_timer_;
};

}  // namespace mosspath::service
