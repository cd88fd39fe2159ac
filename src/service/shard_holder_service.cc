#include "mosspath/service/shard_holder_service.h"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <chrono>
#include <utility>
#include <vector>

#include "mosspath/scheduler/shard_map.h"

namespace mosspath::service {
namespace {

// Minimum pause between placement passes, as a multiple of the duration of the last pass.
constexpr double kPauseRatio = 3;

size_t OwnShard(const config::Settings& settings) {
  const scheduler::ShardMap shards(settings);
  size_t own = 0;
  while (shards.OwnerOf(own) != settings.name) ++own;
  return own;
}

double WallSeconds() {
  return std::chrono::duration<double>(std::chrono::system_clock::now().time_since_epoch()).count();
}

}  // namespace

ShardHolderService::ShardHolderService(asio::io_context& io, const config::Settings& settings,
                                       const config::DerivedSettings& derived,
                                       election::Elector& elector, const kvstore::WatchCache& cache,
                                       const JobService& jobs, net::StallDetector& stalls,
                                       PeerFrameSender& frames,
                                       std::shared_ptr<net::SocketBudget> sockets, uint64_t lease)
    : io_(io),
      settings_(settings),
      derived_(derived),
      elector_(elector),
      cache_(cache),
      jobs_(jobs),
      stalls_(stalls),
      frames_(frames),
      holder_(settings, derived, OwnShard(settings), lease, net::Now(),
              [this](const std::string& id) -> std::optional<shard::ShardHolder::LiveJob> {
                const jobs::AcceptedJob* job = jobs_.FindLive(id);
                if (job == nullptr) return std::nullopt;
                const double age_s = std::max(0.0, WallSeconds() - job->submitted_wall_s);
                return shard::ShardHolder::LiveJob{job->spec, job->version, net::Now() - age_s};
              }),
      tick_timer_(io),
      pass_timer_(io),
      commands_(io, std::move(sockets)) {}

void ShardHolderService::Start() { Tick(); }

void ShardHolderService::Stop() {
  stopped_ = true;
  tick_timer_.Cancel();
  pass_timer_.Cancel();
  commands_.Clear();
}

bool ShardHolderService::MayAct() const { return !stopped_ && elector_.ViewIsFresh(net::Now()); }

void ShardHolderService::OnMachinesAssigned(const shard::RoutingTable& routes, int pack) {
  for (const auto& [id, route] : routes.MachinesUnder(lease(), pack)) {
    holder_.OnMachineAssigned(id, route.address, route.version, route.handover_revision,
                              net::Now());
  }
  std::vector<std::string> unassigned;
  for (const auto& [id, returned_machine] : holder_.returned()) {
    if (!routes.IsUnder(lease(), id)) unassigned.push_back(id);
  }
  for (const auto& id : unassigned) holder_.OnMachineUnassigned(id);
  ScheduleTick();
}

void ShardHolderService::OnAllMachinesAssigned(const shard::RoutingTable& routes) {
  for (const auto& [id, route] : routes.MachinesUnder(lease())) {
    holder_.OnMachineAssigned(id, route.address, route.version, route.handover_revision,
                              net::Now());
  }
  ScheduleTick();
}

void ShardHolderService::RemoveEndedJobs() {
  std::vector<std::string> ended;
  for (const auto& [id, job] : holder_.dispatcher().jobs()) {
    if (jobs_.FindLive(id) == nullptr) ended.push_back(id);
  }
  for (const auto& id : ended) holder_.OnJobEnded(id, net::Now());
}

void ShardHolderService::OnLeader(const std::string& node, uint64_t token) {
  leader_ = node;
  holder_.OnLeader(token);
}

scheduler::HeartbeatAnswer ShardHolderService::OnHeartbeat(const wire::Heartbeat& heartbeat) {
  scheduler::HeartbeatAnswer answer = holder_.OnHeartbeat(heartbeat, net::Now());
  ScheduleTick();
  return answer;
}

std::optional<wire::ShardFrame> ShardHolderService::OnFrame(const wire::ShardFrame& frame) {
  if (!MayAct() || !holder_.OnFrame(frame, net::Now())) return std::nullopt;
  ScheduleTick();
  return holder_.MakeAnswer();
}

void ShardHolderService::ScheduleTick() {
  if (pass_scheduled_ || stopped_) return;
  pass_scheduled_ = true;
  pass_timer_.After(next_pass_at_ - net::Now(), [self = shared_from_this()] {
    self->pass_scheduled_ = false;
    self->stalls_.Check();
    if (!self->MayAct()) return;
    const double began_at = net::Now();
    self->holder_.dispatcher().Place(began_at);
    self->SendCommands();
    self->SendFrame();
    const double now = net::Now();
    self->next_pass_at_ =
        now + std::max(self->derived_.placement_interval_s, kPauseRatio * (now - began_at));
  });
}

void ShardHolderService::Tick() {
  tick_timer_.After(settings_.heartbeat_s / 6, [self = shared_from_this()] { self->Tick(); });
  stalls_.Check();
  if (!MayAct()) return;
  if (holder_.IsPartitionedFromAgents(net::Now())) {
    asio::post(io_, [self = shared_from_this()] {
      if (!self->stopped_) self->on_partitioned();
    });
    return;
  }
  if (cache_.loaded()) holder_.OnRevisionRead(cache_.revision());
  holder_.Tick(net::Now());
  SendCommands();
  SendFrame();
  commands_.Forget([&](const std::string& id) { return !Owns(id); });
}

void ShardHolderService::SendCommands() {
  for (scheduler::CommandBatch& batch :
       holder_.dispatcher().TakeCommands(net::Now(), commands_.Capacity())) {
    const double timeout = batch.commands.empty() ? derived_.probe_answer_s : settings_.heartbeat_s;
    commands_.Send(
        std::move(batch), timeout, on_malformed,
        [self = shared_from_this()](const scheduler::CommandBatch& sent_batch,
                                    scheduler::CommandOutcome outcome,
                                    const wire::Heartbeat* heartbeat) {
          if (self->stopped_) return;
          self->holder_.OnCommandOutcome(sent_batch, outcome, heartbeat, net::Now());
          if (heartbeat != nullptr) self->ScheduleTick();
        },
        [self = shared_from_this()] { return self->MayAct(); });
  }
}

void ShardHolderService::SendFrame() {
  if (leader_.empty() || leader_ == settings_.name || frames_.IsBusy(leader_)) return;
  auto frame = holder_.NextFrame(cache_.revision(), net::Now());
  if (!frame) return;
  const double sent_at = net::Now();
  frames_.Send(leader_, std::move(*frame), settings_.heartbeat_s / 2,
               [self = shared_from_this(), sent_at](std::optional<wire::ShardFrame> answer) {
                 if (self->stopped_) return;
                 if (!answer || !self->MayAct()) return self->holder_.OnFrameLost();
                 bool accepted = false;
                 const bool decoded = net::TryRead("peer", "block", self->on_malformed, [&] {
                   accepted = self->holder_.OnFrame(*answer, net::Now());
                 });
                 if (!decoded || !accepted) return self->holder_.OnFrameLost();
                 // The leader's view is what the leader has read of the key-value store. It holds
                 // all cancellations that any controller had confirmed to users until
                 // `view_age_s` before the answer was sent. If this controller's watch cache has
                 // read up to the newest of these cancellations, it holds all of them too. The age
                 // is counted from `sent_at`, which is earlier than the answer and therefore safe.
                 // The factor covers clock drift.
                 if (answer->view_age_s < 1e8 && self->cache_.loaded() &&
                     self->cache_.revision() >= answer->newest_cancellation) {
                   self->elector_.OnLeaderView(sent_at - answer->view_age_s *
                                                             (1 + 2 * config::kMaxClockDrift));
                 }
                 self->ScheduleTick();
               });
}

}  // namespace mosspath::service
