#include "mosspath/service/leader_service.h"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <asio/post.hpp>
#include <utility>

namespace mosspath::service {
namespace {

constexpr double kTicksPerHeartbeat = 6;
// Minimum pause between placement passes, as a multiple of the duration of the last pass.
constexpr double kPauseRatio = 3;
// Heartbeat intervals between two log lines about the leadership.
constexpr double kLeadershipLogHeartbeats = 2;

}  // namespace

LeaderService::LeaderService(const Dependencies& dependencies, Handlers handlers, uint64_t token)
    : io_(dependencies.io),
      settings_(dependencies.settings),
      derived_(dependencies.derived),
      elector_(dependencies.elector),
      stalls_(dependencies.stalls),
      jobs_(dependencies.jobs),
      term_(dependencies.elector, token),
      scheduler_(settings_, derived_, token, net::Now()),
      context_{.io = io_,
               .settings = settings_,
               .derived = derived_,
               .store = dependencies.store,
               .cloud = dependencies.cloud,
               .jobs = jobs_,
               .term = term_,
               .scheduler = scheduler_},
      record_flusher_(context_, [this] { ScheduleTick(); }),
      completion_writer_(context_, std::move(handlers.completed)),
      scaling_(context_, stalls_),
      machine_list_poller_(context_),
      machine_type_poller_(context_, std::move(handlers.machine_types)),
      command_sender_(context_, dependencies.sockets, handlers.malformed,
                      [this] { ScheduleTick(); }),
      tick_timer_(io_),
      placement_timer_(io_) {
  if (settings_.lease_shards) {
    shard_lease_service_.emplace(context_, elector_, dependencies.frames, handlers.malformed,
                                 [this] { ScheduleTick(); });
  }
}

shard::ShardLeaseManager* LeaderService::shard_leases() {
  return shard_lease_service_ ? &shard_lease_service_->manager() : nullptr;
}

void LeaderService::Start() {
  asio::post(io_, term_.Guard([this] { BeginDuties(); }));
}

void LeaderService::BeginDuties() {
  Tick();
  record_flusher_.Start();
  scaling_.Start();
  machine_type_poller_.Start();
  machine_list_poller_.Start();
}

void LeaderService::Stop() {
  term_.End();
  tick_timer_.Cancel();
  placement_timer_.Cancel();
  record_flusher_.Stop();
  scaling_.Stop();
  machine_list_poller_.Stop();
  machine_type_poller_.Stop();
  command_sender_.Stop();
}

void LeaderService::Tick() {
  const double tick_s = settings_.heartbeat_s / kTicksPerHeartbeat;
  MeasureLoopDelay(tick_s);
  tick_timer_.After(tick_s, [this] { Tick(); });
  stalls_.Check();
  LogLeadershipIfDue();
  if (ResignIfUnfit() || !term_.MayAct()) return;
  RunDuties();
}

void LeaderService::LogLeadershipIfDue() {
  const double now = net::Now();
  if (next_leadership_log_at_ && now < *next_leadership_log_at_) return;
  next_leadership_log_at_ = now + kLeadershipLogHeartbeats * settings_.heartbeat_s;
  elector_.LogLeadership(now);
}

void LeaderService::MeasureLoopDelay(double tick_s) {
  const double now = net::Now();
  command_sender_.set_loop_delay(tick_due_at_ ? now - *tick_due_at_ : 0);
  tick_due_at_ = now + tick_s;
}

// Posts the resignation to the event loop. The resignation stops this service, which must not
// happen within this call.
bool LeaderService::ResignIfUnfit() {
  const double now = net::Now();
  if (elector_.IsStale(now) && elector_.MayResign(now)) {
    asio::post(io_, term_.Guard([this] {
      spdlog::info("election: view_stale age_s={:.1f}", elector_.view_age_s(net::Now()));
      elector_.Resign(election::LeadershipLossReason::kViewIsStale);
    }));
    return true;
  }
  if (!term_.MayAct()) return false;
  // IsPartitionedFromAgents must be called at every tick, even if this leader may not resign yet:
  // it measures how long the partition has lasted.
  const bool partitioned = scheduler_.IsPartitionedFromAgents(now);
  if (!partitioned || !elector_.MayResign(now)) return false;
  // Without the resignation, the agent leases would expire and the tasks would be lost, although
  // another controller may be able to reach the agents.
  asio::post(io_, term_.Guard([this] {
    if (term_.MayAct()) elector_.Resign(election::LeadershipLossReason::kAgentsPartitioned);
  }));
  return true;
}

void LeaderService::RunDuties() {
  scheduler_.Tick(net::Now());
  completion_writer_.WriteCompletions();
  command_sender_.SendCommands();
  command_sender_.CloseUnusedConnections();
  if (shard_lease_service_) {
    shard_lease_service_->WriteLeaseChanges();
    shard_lease_service_->SendFrames();
  }
  const double now = net::Now();
  if (!next_cleanup_at_ || now >= *next_cleanup_at_) {
    next_cleanup_at_ = now + settings_.heartbeat_s;
    completion_writer_.CleanUpRecords();
  }
}

// Placement passes block the event loop, which also handles heartbeats, lease renewals and user
// requests. So the passes are rate-limited, and take a limited fraction of the time even if a pass
// is long.
void LeaderService::ScheduleTick() {
  if (placement_scheduled_) return;
  placement_scheduled_ = true;
  const double wait_s = next_placement_at_ ? *next_placement_at_ - net::Now() : 0;
  placement_timer_.After(wait_s, [this] { PlacementPass(); });
}

void LeaderService::PlacementPass() {
  placement_scheduled_ = false;
  stalls_.Check();
  if (!term_.MayAct()) return;
  const double began = net::Now();
  scheduler_.Place(began);
  completion_writer_.WriteCompletions();
  command_sender_.SendCommands();
  if (shard_lease_service_) shard_lease_service_->SendFrames();
  if (scheduler_.wants_scaling_plan()) scaling_.PlanSoon();
  if (scheduler_.has_unrecorded_machines()) record_flusher_.FlushSoon();
  const double ended = net::Now();
  next_placement_at_ =
      ended + std::max(derived_.placement_interval_s, kPauseRatio * (ended - began));
}

std::optional<wire::ShardFrame> LeaderService::OnFrame(const wire::ShardFrame& frame) {
  if (!shard_lease_service_ || !shard_lease_service_->OnFrame(frame)) return std::nullopt;
  ScheduleTick();
  return shard_lease_service_->MakeAnswer(frame.node);
}

}  // namespace mosspath::service
