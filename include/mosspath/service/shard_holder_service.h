// A controller's duties while it holds a block: it commands the block's machines and talks with the
// leader. Ends with the lease, or when the controller leads; answers that come later are dropped.
#pragma once

#include <functional>
#include <memory>
#include <string>

#include "mosspath/election/elector.h"
#include "mosspath/kvstore/watch_cache.h"
#include "mosspath/net/stall_detector.h"
#include "mosspath/service/command_client.h"
#include "mosspath/service/job_service.h"
#include "mosspath/service/peer_frame_sender.h"
#include "mosspath/shard/routing_table.h"
#include "mosspath/shard/shard_holder.h"

namespace mosspath::service {

class ShardHolderService : public std::enable_shared_from_this<ShardHolderService> {
 public:
  ShardHolderService(asio::io_context& io, const config::Settings& settings,
                     const config::DerivedSettings& derived, election::Elector& elector,
                     const kvstore::WatchCache& mirror, const JobService& jobs,
                     net::StallDetector& stalls, PeerFrameSender& frames,
                     std::shared_ptr<net::SocketBudget> sockets, uint64_t lease);

  uint64_t lease() const { return holder_.lease(); }
  shard::ShardHolder& holder() { return holder_; }
  void Start();
  void Stop();

  // The machines that the state service shows under this lease, in one pack or in all.
  void OnMachinesAssigned(const shard::RoutingTable& routes, int pack);
  void OnAllMachinesAssigned(const shard::RoutingTable& routes);
  // Jobs that ended while the mirror was loaded anew left no event.
  void RemoveEndedJobs();
  void OnLeader(const std::string& node, uint64_t token);

  // May act at this moment: the view that shows its lease is fresh.
  bool MayAct() const;
  bool Owns(const std::string& machine) const { return holder_.dispatcher().Owns(machine); }
  scheduler::HeartbeatAnswer OnHeartbeat(const wire::Heartbeat& r);
  std::optional<wire::ShardFrame> OnFrame(const wire::ShardFrame& frame);
  void ScheduleTick();

  // Most machines of the block can't be heard: others may hold it better.
  std::function<void()> on_partitioned;
  net::OnMalformed on_malformed;

 private:
  void Tick();
  void SendCommands();
  void SendFrame();

  asio::io_context& io_;
  const config::Settings& settings_;
  const config::DerivedSettings derived_;
  election::Elector& elector_;
  const kvstore::WatchCache& mirror_;
  const JobService& jobs_;
  net::StallDetector& stalls_;
  PeerFrameSender& frames_;
  shard::ShardHolder holder_;
  net::Timer tick_timer_;
  net::Timer kick_timer_;
  CommandClient commands_;
  std::string leader_;
  bool stopped_ = false;
  bool kicked_ = false;
  double next_place_ = 0;
};

}  // namespace mosspath::service
