// One controller: owns the services, connects them with the interfaces for
// users, agents, peers and operators, and dispatches the key-value store's events
// to them. Not thread-safe: runs on one event loop.
#pragma once

#include <asio/io_context.hpp>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>

#include "mosspath/config/operator_settings.h"
#include "mosspath/election/elector.h"
#include "mosspath/kvstore/watch_cache.h"
#include "mosspath/net/http_server.h"
#include "mosspath/net/stall_detector.h"
#include "mosspath/service/agent_heartbeat_handler.h"
#include "mosspath/service/cloud_client.h"
#include "mosspath/service/job_service.h"
#include "mosspath/service/leader_service.h"
#include "mosspath/service/machine_type_cache.h"
#include "mosspath/service/metrics.h"
#include "mosspath/service/operator_settings_api.h"
#include "mosspath/service/peer_frame_sender.h"
#include "mosspath/service/peer_routes.h"
#include "mosspath/service/peer_service.h"
#include "mosspath/service/public_routes.h"
#include "mosspath/service/record_format_support.h"
#include "mosspath/service/shard_membership.h"
#include "mosspath/service/user_api.h"

namespace mosspath::service {

class Controller {
 public:
  // The event loop outlives the controller.
  Controller(asio::io_context& io, const config::Settings& settings);
  ~Controller();
  Controller(const Controller&) = delete;
  Controller& operator=(const Controller&) = delete;

  // Opens the servers and joins the cluster. Throws if an address can't be used.
  void Start();

 private:
  using Types = MachineTypeCache::Types;

  // A pack of machine or progress records, as last read from the watch cache.
  struct RecordPack {
    wire::Json value;
    uint64_t version = 0;
  };

  [[nodiscard]] kvstore::WatchCache::Handlers CacheHandlers();
  void StartServers();

  // --- Events of the watch cache ---
  void OnCacheReset();
  void OnKey(const kvstore::Event& event);
  void OnLeaderKey(const kvstore::Event& event);
  void OnRecordFormatsKey(const kvstore::Event& event);
  void OnJobRecordKey(const kvstore::Event& event);
  void OnProgressKey(const kvstore::Event& event);
  void OnMachinesKey(const kvstore::Event& event);
  void KeepPack(const kvstore::Event& event);
  void OnCacheLoaded();
  void RemoveEndedJobs();
  void DeclareRecordFormats();

  // --- Leadership ---
  void OnElected(uint64_t token);
  void OnLost();
  [[nodiscard]] std::unique_ptr<LeaderService> MakeLeader(uint64_t token);
  void LoadRecords(scheduler::Scheduler& scheduler) const;
  void LoadJobs(scheduler::Scheduler& scheduler, double now) const;
  [[nodiscard]] bool IsEntitledLeader() const;

  // --- Between the services ---
  void OnProcessStall(double from, double now);
  void OnMachineTypes(const Types& types);
  void OnOperatorSettings();
  void OnJobCancelled(const std::string& job);
  void UpdateBatching();
  [[nodiscard]] std::optional<wire::ShardFrame> OnShardFrame(const wire::ShardFrame& frame);
  [[nodiscard]] CommandFigures CommandFiguresNow();
  [[nodiscard]] bool IsHealthy() const;
  [[nodiscard]] std::optional<wire::StatusSnapshot> OwnSnapshot() const;
  [[nodiscard]] wire::PeerHeartbeat OwnHeartbeat() const;
  [[nodiscard]] scheduler::JobCounts CountsOf(const std::string& job) const;

  asio::io_context& io_;
  const config::Settings settings_;
  const config::DerivedSettings derived_;
  const std::shared_ptr<net::SocketBudget> sockets_;
  Metrics metrics_;
  const net::OnMalformed on_malformed_;
  kvstore::Client store_;
  CloudClient cloud_;
  kvstore::WatchCache cache_;
  AdmissionService admission_;
  JobService jobs_;
  election::Elector elector_;
  net::StallDetector stalls_;
  std::unique_ptr<LeaderService> leader_;  // null while this controller does not lead
  MachineTypeCache machine_types_;
  OperatorSettingsApi operator_settings_;
  RecordFormatSupport record_formats_;
  UserApi users_;
  PeerFrameSender frames_;
  ShardMembership shards_;
  PeerService peers_;
  AgentHeartbeatHandler heartbeats_;
  PublicRoutes public_routes_;
  PeerRoutes peer_routes_;
  std::map<std::string, RecordPack> packs_;  // by record key
  bool cache_empty_ = true;  // no key other than final records was read since the last reset
  std::unique_ptr<net::HttpServer> public_server_;
  std::unique_ptr<net::HttpServer> peer_server_;
};

}  // namespace mosspath::service
