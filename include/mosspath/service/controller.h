// One controller: the user, worker and peer interfaces wired to the duties.
#pragma once

#include <asio/io_context.hpp>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "mosspath/config/operator_settings.h"
#include "mosspath/election/elector.h"
#include "mosspath/kvstore/watch_cache.h"
#include "mosspath/net/http_server.h"
#include "mosspath/service/cloud_client.h"
#include "mosspath/service/job_service.h"
#include "mosspath/service/leader_service.h"
#include "mosspath/service/machine_type_cache.h"
#include "mosspath/service/metrics.h"
#include "mosspath/service/operator_settings_api.h"
#include "mosspath/service/peer_frame_sender.h"
#include "mosspath/service/peer_service.h"
#include "mosspath/service/record_format_support.h"
#include "mosspath/service/shard_holder_service.h"
#include "mosspath/service/user_api.h"
#include "mosspath/shard/routing_table.h"

namespace mosspath::service {

class Controller {
 public:
  Controller(asio::io_context& io, const config::Settings& settings);
  ~Controller();
  void Start();

 private:
  using Responder = net::HttpServer::Responder;

  void OnKey(const kvstore::Event& e);
  void OnMirrorLoaded();
  void OnElected(uint64_t token);
  void OnLost();
  bool Healthy() const;

  void OnPublicRequest(net::HttpRequest r, Responder respond);
  void OnPeerRequest(net::HttpRequest r, Responder respond);
  void OnHeartbeat(const net::HttpRequest& r, const Responder& respond);
  void UpdateBatching();
  // --- Blocks (docs/blocks.md) ---
  bool OnShardKey(const kvstore::Event& e);
  void UpdateOwnShard();
  void StopHolding();
  void OfferToHold();
  void ReleaseShard();
  void OnFrame(const net::HttpRequest& r, const Responder& respond);
  // Answers the report if another controller, or this one as a holder, commands the machine.
  bool AnswerForShard(const wire::Heartbeat& report, const Responder& respond);
  std::optional<wire::StatusSnapshot> OwnSnapshot() const;
  wire::PeerHeartbeat OwnHeartbeat() const;
  scheduler::JobCounts CountsOf(const std::string& id) const;

  asio::io_context& io_;
  const config::Settings settings_;
  const config::DerivedSettings derived_;
  const std::shared_ptr<net::SocketBudget> sockets_;
  kvstore::Client state_;
  CloudClient cloud_;
  kvstore::WatchCache mirror_;
  AdmissionService admission_;
  JobService jobs_;
  election::Elector elector_;
  net::StallDetector stalls_;
  std::unique_ptr<LeaderService> leader_;
  std::shared_ptr<ShardHolderService> shard_holder_;
  MachineTypeCache machine_types_;
  OperatorSettingsApi operator_settings_;
  RecordFormatSupport record_formats_;
  UserApi users_;
  // Progress and machine records as mirrored, with their versions.
  std::map<std::string, std::pair<wire::Json, uint64_t>> packs_;
  bool mirror_empty_ = true;
  double last_heartbeat_at_ = -1e18;  // taken as the leader
  Metrics metrics_;
  net::OnMalformed on_malformed_;
  PeerService peers_;
  PeerFrameSender frames_;
  shard::RoutingTable routes_;
  struct ShardOffer {
    uint64_t version = 0;
    uint64_t store_lease = 0;
  };
  std::map<std::string, ShardOffer> shard_offers_;
  uint64_t own_shard_store_lease_ = 0;  // that the lease of this node's block hangs on
  net::Timer offer_timer_;
  std::unique_ptr<net::HttpServer> public_;
  std::unique_ptr<net::HttpServer> peer_;
};

}  // namespace mosspath::service
