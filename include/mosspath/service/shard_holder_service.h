// Runs this controller's shard holder: owns the timers, sends commands to the shard's machines, and
// exchanges frames with the leader. Lives until the shard lease ends or this controller is elected;
// answers that arrive later are dropped. Runs on the thread of its io_context.
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
                     const kvstore::WatchCache& cache, const JobService& jobs,
                     net::StallDetector& stalls, PeerFrameSender& frames,
                     std::shared_ptr<net::SocketBudget> sockets, uint64_t lease);

  uint64_t lease() const { return holder_.lease(); }
  shard::ShardHolder& holder() { return holder_; }
  void Start();
  void Stop();

  // Accept the machines that the machine records of one pack, or of all packs, assign to the shard
  // lease of this controller.
  void OnMachinesAssigned(const shard::RoutingTable& routes, int pack);
  void OnAllMachinesAssigned(const shard::RoutingTable& routes);
  // Removes the jobs that ended while the watch cache was reloaded. The watch cache delivers no
  // events for the ends of such jobs.
  void RemoveEndedJobs();
  void OnLeader(const std::string& node, uint64_t token);

  // Returns whether commands may be sent now: what this controller has read of the key-value store,
  // which includes the shard lease, is fresh.
  bool MayAct() const;
  bool Owns(const std::string& machine) const { return holder_.dispatcher().Owns(machine); }
  scheduler::HeartbeatAnswer OnHeartbeat(const wire::Heartbeat& heartbeat);
  std::optional<wire::ShardFrame> OnFrame(const wire::ShardFrame& frame);
  // Schedules a placement pass, after which commands and a frame are sent. No effect while a pass
  // is already scheduled.
  void ScheduleTick();

  // Called when most machines of the shard are unreachable from this controller. Another controller
  // may reach these machines.
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
  const kvstore::WatchCache& cache_;
  const JobService& jobs_;
  net::StallDetector& stalls_;
  PeerFrameSender& frames_;
  shard::ShardHolder holder_;
  net::Timer tick_timer_;
  net::Timer pass_timer_;
  CommandClient commands_;
  std::string leader_;
  bool stopped_ = false;
  bool pass_scheduled_ = false;
  double next_pass_at_ = 0;  // earliest time of the next placement pass
};

}  // namespace mosspath::service
