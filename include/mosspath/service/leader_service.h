// The leader's duties while it holds the leader key: it feeds the dispatcher, writes its records
// and carries out its wishes. Ends with the leadership; answers that come later are dropped.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "mosspath/election/elector.h"
#include "mosspath/kvstore/client.h"
#include "mosspath/net/stall_detector.h"
#include "mosspath/scheduler/scheduler.h"
#include "mosspath/service/cloud_client.h"
#include "mosspath/service/command_client.h"
#include "mosspath/service/job_service.h"
#include "mosspath/service/keys.h"
#include "mosspath/service/peer_frame_sender.h"
#include "mosspath/shard/shard_lease_manager.h"

namespace mosspath::service {

class LeaderService : public std::enable_shared_from_this<LeaderService> {
 public:
  LeaderService(asio::io_context& io, const config::Settings& settings,
                const config::DerivedSettings& derived, kvstore::Client& state, CloudClient& cloud,
                election::Elector& elector, net::StallDetector& stalls, const JobService& jobs,
                PeerFrameSender& frames, std::shared_ptr<net::SocketBudget> sockets,
                uint64_t token);

  scheduler::Scheduler& scheduler() { return scheduler_; }
  // Null where blocks are not leased.
  shard::ShardLeaseManager* shard_leases() { return shard_leases_.get(); }
  // A frame of a holder; none: refused.
  std::optional<wire::ShardFrame> OnFrame(const wire::ShardFrame& frame);
  void Start();
  void Stop();
  // Something changed that may let tasks start or stop: acts on it soon.
  void ScheduleTick();

  // Called with the ids of jobs whose completion is durable.
  std::function<void(const std::string& id)> on_completed;
  std::function<void(const std::vector<wire::MachineType>&)> on_types;
  net::OnMalformed on_malformed;

 private:
  struct PendingScaleOut {
    wire::RentRequest request;
    net::Backoff backoff{1.0, 8.0};
    double not_before = 0;
    bool in_flight = false;
  };

  bool MayAct() const;
  net::HttpClient::StillWanted StillMayAct();
  void Tick();
  void SendCommands();
  void ChangeLeases();
  void SendFrames();
  // Orders that may leave now.
  size_t CommandCapacity() const;
  void CloseUnusedConnections();
  void Flush();
  void FlushSoon();
  void WriteCompletions();
  void WriteEnds(const std::vector<std::string>& ids,
                 const std::vector<jobs::RecordChange>& records);
  // A write of it is under way, or not in our view yet.
  bool IsEnding(const jobs::RecordChange& record) const;
  void CleanUpRecords();
  void PlanScaling();
  void PlanScalingSoon();
  void SendScaleOutRequests();
  // Nothing more of this offer is asked for after a refusal.
  void DropScaleOutRequests(const autoscaler::ScaleOutRequest& offer);
  void RefreshMachineTypes();
  void ListMachines();
  void ListMachinesPage(const std::string& after);

  asio::io_context& io_;
  const config::Settings& settings_;
  const config::DerivedSettings derived_;
  kvstore::Client& state_;
  CloudClient& cloud_;
  election::Elector& elector_;
  net::StallDetector& stalls_;
  const JobService& jobs_;
  const uint64_t token_;
  scheduler::Scheduler scheduler_;
  std::unique_ptr<shard::ShardLeaseManager> shard_leases_;
  PeerFrameSender& frames_;
  net::Timer tick_timer_;
  net::Timer kick_timer_;
  net::Timer scale_out_timer_;
  net::Timer flush_timer_;
  net::Timer fleet_timer_;
  net::Timer list_timer_;
  net::Timer types_timer_;
  bool stopped_ = false;
  std::vector<wire::ListedMachine> listed_;  // pages so far
  double list_requested_at_ = 0;
  double flush_not_before_ = 0;
  double last_flush_ = 0;
  uint64_t scale_out_count_ = 0;
  bool kicked_ = false;
  double next_place_ = 0;
  double next_plan_ = 0;
  double next_tidy_ = 0;
  double tick_due_ = 0;
  double late_ = 0;  // the last tick was, by so much
  CommandClient commands_;
  std::map<std::string, uint64_t> ending_;  // records being written: the version they replace
  std::vector<PendingScaleOut> scale_out_requests_;
};

}  // namespace mosspath::service
