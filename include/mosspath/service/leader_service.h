// The duties of a controller while it holds the leader key: runs the scheduler and the services
// that write the scheduler's records and carry out its decisions. Exists for one term of
// leadership; answers that arrive after the term are dropped. Not thread-safe.
#pragma once

#include <asio/io_context.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "mosspath/election/elector.h"
#include "mosspath/kvstore/client.h"
#include "mosspath/net/stall_detector.h"
#include "mosspath/net/timer.h"
#include "mosspath/scheduler/scheduler.h"
#include "mosspath/service/cloud_client.h"
#include "mosspath/service/completion_writer.h"
#include "mosspath/service/job_service.h"
#include "mosspath/service/leader_command_sender.h"
#include "mosspath/service/leader_context.h"
#include "mosspath/service/leadership_term.h"
#include "mosspath/service/machine_list_poller.h"
#include "mosspath/service/machine_type_poller.h"
#include "mosspath/service/peer_frame_sender.h"
#include "mosspath/service/record_flusher.h"
#include "mosspath/service/scaling_service.h"
#include "mosspath/service/shard_lease_service.h"

namespace mosspath::service {

class LeaderService {
 public:
  // The referenced objects outlive the service.
  struct Dependencies {
    asio::io_context& io;
    const config::Settings& settings;
    const config::DerivedSettings& derived;
    kvstore::Client& store;
    CloudClient& cloud;
    election::Elector& elector;
    net::StallDetector& stalls;
    const JobService& jobs;
    PeerFrameSender& frames;
    std::shared_ptr<net::SocketBudget> sockets;
  };
  struct Handlers {
    // A job's completion has become durable.
    std::function<void(const std::string& id)> completed;
    // The cloud has returned its machine types.
    std::function<void(const std::vector<wire::MachineType>&)> machine_types;
    net::OnMalformed malformed;
  };

  // `token`: the fencing token of the term, the version of the leader key.
  LeaderService(const Dependencies& dependencies, Handlers handlers, uint64_t token);
  LeaderService(const LeaderService&) = delete;
  LeaderService& operator=(const LeaderService&) = delete;

  [[nodiscard]] scheduler::Scheduler& scheduler() { return scheduler_; }
  // Returns null if the settings don't lease shards.
  [[nodiscard]] shard::ShardLeaseManager* shard_leases();
  // Processes a frame from a shard's holder and returns the answer; none if the frame is refused.
  [[nodiscard]] std::optional<wire::ShardFrame> OnFrame(const wire::ShardFrame& frame);
  // Begins the duties in the next turn of the event loop, since the caller may be in the middle of
  // a batch of events.
  void Start();
  // Ends the term; no handler is called afterwards. Stop may be called from a callback of this
  // object, so the object must be destroyed in a later turn of the event loop.
  void Stop();
  // Schedules a placement pass. Called after a change that may let tasks start or stop.
  void ScheduleTick();

 private:
  void BeginDuties();
  void Tick();
  void MeasureLoopDelay(double tick_s);
  // If another controller may be able to lead better, schedules a resignation and returns true.
  void LogLeadershipIfDue();
  [[nodiscard]] bool ResignIfUnfit();
  void RunDuties();
  void PlacementPass();

  asio::io_context& io_;
  const config::Settings& settings_;
  const config::DerivedSettings& derived_;
  election::Elector& elector_;
  net::StallDetector& stalls_;
  const JobService& jobs_;
  LeadershipTerm term_;
  scheduler::Scheduler scheduler_;
  const LeaderContext context_;
  RecordFlusher record_flusher_;
  CompletionWriter completion_writer_;
  ScalingService scaling_;
  MachineListPoller machine_list_poller_;
  MachineTypePoller machine_type_poller_;
  LeaderCommandSender command_sender_;
  std::optional<ShardLeaseService> shard_lease_service_;
  net::Timer tick_timer_;
  net::Timer placement_timer_;
  bool placement_scheduled_ = false;
  std::optional<double> next_placement_at_;  // nullopt: no placement pass has run yet
  std::optional<double> next_leadership_log_at_;
  std::optional<double> next_cleanup_at_;  // nullopt: no clean-up of job records has run yet
  std::optional<double> tick_due_at_;      // nullopt: no tick has been scheduled yet
};

}  // namespace mosspath::service
