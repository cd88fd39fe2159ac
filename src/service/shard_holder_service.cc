#include "mosspath/service/shard_holder_service.h"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <chrono>
#include <utility>
#include <vector>

#include "mosspath/scheduler/shard_map.h"

namespace mosspath::service {
namespace {

constexpr double kPauseRatio = 3;  // between passes, in the time that the last one took

size_t OwnBlock(const config::Settings& settings) {
  const scheduler::ShardMap blocks(settings);
  size_t own = 0;
  while (blocks.OwnerOf(own) != settings.name) ++own;
  return own;
}

double WallSeconds() {
  return std::chrono::duration<double>(std::chrono::system_clock::now().time_since_epoch()).count();
}

}  // namespace

ShardHolderService::ShardHolderService(asio::io_context& io, const config::Settings& settings,
                                       const config::DerivedSettings& derived,
                                       election::Elector& elector,
                                       const kvstore::WatchCache& mirror, const JobService& jobs,
                                       net::StallDetector& stalls, PeerFrameSender& frames,
                                       std::shared_ptr<net::SocketBudget> sockets, uint64_t lease)
    : io_(io),
      settings_(settings),
      derived_(derived),
      elector_(elector),
      mirror_(mirror),
      jobs_(jobs),
      stalls_(stalls),
      frames_(frames),
      holder_(settings, derived, OwnBlock(settings), lease, net::Now(),
              [this](const std::string& id) -> std::optional<shard::ShardHolder::LiveJob> {
                const jobs::AcceptedJob* job = jobs_.FindLive(id);
                if (job == nullptr) return std::nullopt;
                const double age = std::max(0.0, WallSeconds() - job->submitted_wall_s);
                return shard::ShardHolder::LiveJob{job->spec, job->version, net::Now() - age};
              }),
      tick_timer_(io),
      kick_timer_(io),
      commands_(io, std::move(sockets)) {}

void ShardHolderService::Start() { Tick(); }

void ShardHolderService::Stop() {
  stopped_ = true;
  tick_timer_.Cancel();
  kick_timer_.Cancel();
  commands_.Clear();
}

bool ShardHolderService::MayAct() const { return !stopped_ && elector_.ViewIsFresh(net::Now()); }

void ShardHolderService::OnMachinesAssigned(const shard::RoutingTable& routes, int pack) {
  for (const auto& [id, e] : routes.MachinesUnder(lease(), pack)) {
    holder_.OnMachineAssigned(id, e.address, e.version, e.handover_revision, net::Now());
  }
  std::vector<std::string> gone;
  for (const auto& [id, lost] : holder_.returned()) {
    if (!routes.IsUnder(lease(), id)) gone.push_back(id);
  }
  for (const auto& id : gone) holder_.OnMachineUnassigned(id);
  ScheduleTick();
}

void ShardHolderService::OnAllMachinesAssigned(const shard::RoutingTable& routes) {
  for (const auto& [id, e] : routes.MachinesUnder(lease())) {
    holder_.OnMachineAssigned(id, e.address, e.version, e.handover_revision, net::Now());
  }
  ScheduleTick();
}

void ShardHolderService::RemoveEndedJobs() {
  std::vector<std::string> over;
  for (const auto& [id, job] : holder_.dispatcher().jobs()) {
    if (jobs_.FindLive(id) == nullptr) over.push_back(id);
  }
  for (const auto& id : over) holder_.OnJobEnded(id, net::Now());
}

void ShardHolderService::OnLeader(const std::string& node, uint64_t token) {
  leader_ = node;
  holder_.OnLeader(token);
}

scheduler::HeartbeatAnswer ShardHolderService::OnHeartbeat(const wire::Heartbeat& r) {
  scheduler::HeartbeatAnswer answer = holder_.OnHeartbeat(r, net::Now());
  ScheduleTick();
  return answer;
}

std::optional<wire::ShardFrame> ShardHolderService::OnFrame(const wire::ShardFrame& frame) {
  if (!MayAct() || !holder_.OnFrame(frame, net::Now())) return std::nullopt;
  ScheduleTick();
  return holder_.MakeAnswer();
}

void ShardHolderService::ScheduleTick() {
  if (kicked_ || stopped_) return;
  kicked_ = true;
  kick_timer_.After(next_place_ - net::Now(), [self = shared_from_this()] {
    self->kicked_ = false;
    self->stalls_.Check();
    if (!self->MayAct()) return;
    const double begun = net::Now();
    self->holder_.dispatcher().Place(begun);
    self->SendCommands();
    self->SendFrame();
    const double now = net::Now();
    self->next_place_ =
        now + std::max(self->derived_.placement_interval_s, kPauseRatio * (now - begun));
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
  holder_.Tick(net::Now());
  SendCommands();
  SendFrame();
  commands_.Forget([&](const std::string& id) { return !Owns(id); });
}

void ShardHolderService::SendCommands() {
  for (scheduler::CommandBatch& order :
       holder_.dispatcher().TakeCommands(net::Now(), commands_.Capacity())) {
    const double timeout = order.commands.empty() ? derived_.probe_answer_s : settings_.heartbeat_s;
    commands_.Send(
        std::move(order), timeout, on_malformed,
        [self = shared_from_this()](const scheduler::CommandBatch& o,
                                    scheduler::CommandOutcome outcome,
                                    const wire::Heartbeat* report) {
          if (self->stopped_) return;
          self->holder_.OnCommandOutcome(o, outcome, report, net::Now());
          if (report != nullptr) self->ScheduleTick();
        },
        [self = shared_from_this()] { return self->MayAct(); });
  }
}

void ShardHolderService::SendFrame() {
  if (leader_.empty() || leader_ == settings_.name || frames_.IsBusy(leader_)) return;
  auto frame = holder_.NextFrame(mirror_.revision(), net::Now());
  if (!frame) return;
  const double sent = net::Now();
  frames_.Send(
      leader_, std::move(*frame), settings_.heartbeat_s / 2,
      [self = shared_from_this(), sent](std::optional<wire::ShardFrame> answer) {
        if (self->stopped_) return;
        if (!answer || !self->MayAct()) return self->holder_.OnFrameLost();
        bool taken = false;
        const bool understood = net::TryRead("peer", "block", self->on_malformed, [&] {
          taken = self->holder_.OnFrame(*answer, net::Now());
        });
        if (!understood || !taken) return self->holder_.OnFrameLost();
        // All that anybody had been told when the leader was asked, less its own lag, is
        // known here too.
        if (answer->view_age_s < 1e8 && self->mirror_.loaded() &&
            self->mirror_.revision() >= answer->newest_cancellation) {
          self->elector_.OnLeaderView(sent - answer->view_age_s * (1 + 2 * config::kMaxClockDrift));
        }
        self->ScheduleTick();
      });
}

}  // namespace mosspath::service
