#include "mosspath/service/holding.h"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <chrono>
#include <utility>
#include <vector>

#include "mosspath/scheduler/blocks.h"

namespace mosspath::service {
namespace {

constexpr double kPauseRatio = 3;  // between passes, in the time that the last one took

size_t OwnBlock(const config::Settings& settings) {
  const scheduler::Blocks blocks(settings);
  size_t own = 0;
  while (blocks.controller(own) != settings.node) ++own;
  return own;
}

double WallSeconds() {
  return std::chrono::duration<double>(std::chrono::system_clock::now().time_since_epoch()).count();
}

}  // namespace

Holding::Holding(asio::io_context& io, const config::Settings& settings,
                 const config::Derived& derived, election::Elector& elector,
                 const kvstore::Mirror& mirror, const JobTable& jobs, net::StallWatch& stalls,
                 FrameLinks& frames, std::shared_ptr<net::SocketBudget> sockets, uint64_t lease)
    : io_(io),
      settings_(settings),
      derived_(derived),
      elector_(elector),
      mirror_(mirror),
      jobs_(jobs),
      stalls_(stalls),
      frames_(frames),
      holder_(settings, derived, OwnBlock(settings), lease, net::Now(),
              [this](const std::string& id) -> std::optional<shard::Holder::Known> {
                const jobs::Accepted* job = jobs_.FindLive(id);
                if (job == nullptr) return std::nullopt;
                const double age = std::max(0.0, WallSeconds() - job->submitted_wall_s);
                return shard::Holder::Known{job->spec, job->version, net::Now() - age};
              }),
      tick_timer_(io),
      kick_timer_(io),
      links_(io, std::move(sockets)) {}

void Holding::Start() { Tick(); }

void Holding::Stop() {
  stopped_ = true;
  tick_timer_.Cancel();
  kick_timer_.Cancel();
  links_.Clear();
}

bool Holding::MayAct() const { return !stopped_ && elector_.ViewFresh(net::Now()); }

void Holding::Assigned(const shard::Routes& routes, int pack) {
  for (const auto& [id, e] : routes.Under(lease(), pack)) {
    holder_.Assigned(id, e.address, e.version, e.handed, net::Now());
  }
  std::vector<std::string> gone;
  for (const auto& [id, lost] : holder_.given_back()) {
    if (!routes.IsUnder(lease(), id)) gone.push_back(id);
  }
  for (const auto& id : gone) holder_.NotAssigned(id);
  Kick();
}

void Holding::AllAssigned(const shard::Routes& routes) {
  for (const auto& [id, e] : routes.Under(lease())) {
    holder_.Assigned(id, e.address, e.version, e.handed, net::Now());
  }
  Kick();
}

void Holding::DropEnded() {
  std::vector<std::string> over;
  for (const auto& [id, job] : holder_.dispatcher().jobs()) {
    if (jobs_.FindLive(id) == nullptr) over.push_back(id);
  }
  for (const auto& id : over) holder_.JobOver(id, net::Now());
}

void Holding::LeaderIs(const std::string& node, uint64_t token) {
  leader_ = node;
  holder_.LeaderIs(token);
}

scheduler::ReportAnswer Holding::OnReport(const wire::Report& r) {
  scheduler::ReportAnswer answer = holder_.OnReport(r, net::Now());
  Kick();
  return answer;
}

std::optional<wire::BlockFrame> Holding::OnFrame(const wire::BlockFrame& frame) {
  if (!MayAct() || !holder_.OnFrame(frame, net::Now())) return std::nullopt;
  Kick();
  return holder_.Answer();
}

void Holding::Kick() {
  if (kicked_ || stopped_) return;
  kicked_ = true;
  kick_timer_.After(next_place_ - net::Now(), [self = shared_from_this()] {
    self->kicked_ = false;
    self->stalls_.Look();
    if (!self->MayAct()) return;
    const double begun = net::Now();
    self->holder_.dispatcher().Place(begun);
    self->SendDirect();
    self->SendFrame();
    const double now = net::Now();
    self->next_place_ = now + std::max(self->derived_.place_gap_s, kPauseRatio * (now - begun));
  });
}

void Holding::Tick() {
  tick_timer_.After(settings_.report_s / 6, [self = shared_from_this()] { self->Tick(); });
  stalls_.Look();
  if (!MayAct()) return;
  if (holder_.Blind(net::Now())) {
    asio::post(io_, [self = shared_from_this()] {
      if (!self->stopped_) self->on_blind();
    });
    return;
  }
  holder_.Tick(net::Now());
  SendDirect();
  SendFrame();
  links_.Forget([&](const std::string& id) { return !Commands(id); });
}

void Holding::SendDirect() {
  for (scheduler::DirectOrder& order : holder_.dispatcher().TakeDirect(net::Now(), links_.Room())) {
    const double timeout = order.commands.empty() ? derived_.ask_s : settings_.report_s;
    links_.Send(
        std::move(order), timeout, on_malformed,
        [self = shared_from_this()](const scheduler::DirectOrder& o, scheduler::DirectOutcome outcome,
                                    const wire::Report* report) {
          if (self->stopped_) return;
          self->holder_.OnDirect(o, outcome, report, net::Now());
          if (report != nullptr) self->Kick();
        },
        [self = shared_from_this()] { return self->MayAct(); });
  }
}

void Holding::SendFrame() {
  if (leader_.empty() || leader_ == settings_.node || frames_.Busy(leader_)) return;
  auto frame = holder_.NextFrame(mirror_.revision(), net::Now());
  if (!frame) return;
  const double sent = net::Now();
  frames_.Send(leader_, std::move(*frame), settings_.report_s / 2,
               [self = shared_from_this(), sent](std::optional<wire::BlockFrame> answer) {
                 if (self->stopped_) return;
                 if (!answer || !self->MayAct()) return self->holder_.FrameLost();
                 bool taken = false;
                 const bool understood = net::Understood("peer", "block", self->on_malformed, [&] {
                   taken = self->holder_.OnFrame(*answer, net::Now());
                 });
                 if (!understood || !taken) return self->holder_.FrameLost();
                 // All that anybody had been told when the leader was asked, less its own lag, is
                 // known here too.
                 if (answer->view_age_s < 1e8 && self->mirror_.loaded() &&
                     self->mirror_.revision() >= answer->cancelled) {
                   self->elector_.Heard(sent - answer->view_age_s * (1 + 2 * config::kDrift));
                 }
                 self->Kick();
               });
}

}  // namespace mosspath::service
