// This controller's participation in sharding (docs/sharding.md): offers to hold this controller's
// shard, holds the shard while the key-value store has a record of the shard's lease, and tracks
// the holders of all shards. Not thread-safe.
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
  // The referenced objects outlive this object.
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
  // Returns this controller's leader service; null while it does not lead.
  using GetLeader = std::function<LeaderService*()>;

  ShardMembership(const Dependencies& dependencies, net::OnMalformed on_malformed,
                  GetLeader leader);
  ~ShardMembership() { StopHolding(); }
  ShardMembership(const ShardMembership&) = delete;
  ShardMembership& operator=(const ShardMembership&) = delete;

  void Start();

  // --- Events of the watch cache ---
  void OnReset();
  // Handles the key of a shard offer or a shard lease. Returns false for any other key.
  bool OnKey(const kvstore::Event& event);
  void OnMachinesPack(int pack, const kvstore::Event& event);
  void OnLeaderKey();
  // The cache is loaded, for the first time or after a reset.
  void OnCacheLoaded();

  // --- Election of this controller ---
  // Stops holding the shard, since a leader holds no shard. As the leader, this controller probes
  // the machines of its former shard for their tasks, like all machines that it inherits.
  void StopHolding();
  // Passes all leases and offers to the lease manager of this controller, which now leads, and
  // deletes the record of this controller's own lease.
  void HandOverTo(LeaderService& leader, uint64_t token, double now);

  // Returns this controller's holder service; null while it holds no shard.
  [[nodiscard]] ShardHolderService* holder() { return holder_.get(); }
  [[nodiscard]] const shard::RoutingTable& routes() const { return routes_; }

 private:
  struct Offer {
    uint64_t version = 0;      // 0: no offer
    uint64_t store_lease = 0;  // the offer is attached to this store lease
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
  std::map<std::string, Offer> offers_;  // by controller
  // The store lease to which this controller's shard lease is attached; 0: no shard lease.
  uint64_t own_store_lease_ = 0;
  std::shared_ptr<ShardHolderService> holder_;
  net::Timer offer_timer_;
};

}  // namespace mosspath::service
