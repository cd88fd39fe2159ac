#include "simulation/meetings.h"

#include <spdlog/fmt/fmt.h>

#include <algorithm>
#include <cmath>

namespace mosspath::simulation {
namespace {

using Kind = Fault::Kind;

constexpr const char* kNames[] = {"refused-then-outage",
                                  "back-and-forth",
                                  "unreached",
                                  "slow-cancels",
                                  "old-copies",
                                  "late-writes",
                                  "held-commands",
                                  "ends-apart",
                                  "only-workers",
                                  "zone-whole",
                                  "slow-links",
                                  "held-reports",
                                  "job-ends",
                                  "mute",
                                  "limit",
                                  "ten-leaders",
                                  "all-away",
                                  "held-answers",
                                  "cancel-now",
                                  "cancel-hang",
                                  "bound"};
static_assert(std::size(kNames) ==
              static_cast<size_t>(CompoundFaultScenario::CompoundFault::kMeetings));

constexpr double kFirst = 45;       // the first trouble, when work is under way
constexpr double kGolden = 0.6180;  // steps of this ratio cover what is swept evenly
constexpr uint64_t kFirstId = 900'000;

// Between two figures, the further the seeds go the denser.
double Swept(uint64_t seed, double least, double most, uint64_t salt = 0) {
  const double step =
      static_cast<double>(
          seed / static_cast<uint64_t>(CompoundFaultScenario::CompoundFault::kMeetings) + 1) *
          kGolden +
      static_cast<double>(salt) * 0.37;
  return least + (most - least) * (step - std::floor(step));
}

}  // namespace

const char* CompoundFaultScenario::Name(CompoundFault m) { return kNames[static_cast<size_t>(m)]; }

std::vector<Fault> CompoundFaultScenario::Faults(uint64_t seed) {
  const config::Settings s = AvailabilityScenario::Of(seed, false);
  const double lease = s.agent_lease_s;
  const double offset = Swept(seed, 0, 1.3 * lease);
  const double soon = Swept(seed, 0, 0.4 * lease, 1);
  const double grant = lease / 8;
  const uint64_t round = seed / static_cast<uint64_t>(CompoundFault::kMeetings);
  const bool even = round % 2 == 0;
  const uint64_t pick = seed * 7919;
  // Longer than a cancellation has, but where that is nearly a minute: users give up after one, and
  // whoever could never ask can't be served.
  const double outage = std::min(1.3 * s.cancel_within_s, 50.0);
  const double t = kFirst;
  std::vector<Fault> out;
  const auto add = [&](Kind kind, double at, double for_s, bool hold = false) {
    out.push_back({kind, at, for_s, hold, pick + out.size()});
  };
  switch (Of(seed)) {
    case CompoundFault::kRefusedThenOutage:
      add(Kind::kCutState, t, Swept(seed, 1, s.cancel_within_s, 2));
      add(Kind::kOutage, t + std::min(offset, even ? 2.5 * grant : 1e9), outage);
      if (round % 3 == 1) add(Kind::kRestartConfirmer, t + soon + 1, 0.5);
      if (round % 3 == 2) add(Kind::kFreezeAny, t + soon, offset);
      break;
    case CompoundFault::kBackAndForth:
      add(Kind::kRestartLeader, t, 0);
      add(Kind::kRestartLeader, t + Swept(seed, 0, 2 * grant, 2), 0);
      add(Kind::kCrashAll, t + soon, 0);
      add(Kind::kRestartAfterMessages, t + soon + 3 + Swept(seed, 0, 2, 3), 0);
      break;
    case CompoundFault::kUnreached:
      add(even ? Kind::kCutAgentsInbound : Kind::kCutZone, t, Swept(seed, 2, 2 * lease, 2), even);
      add(Kind::kCrash, t + soon, even ? 0.2 : 6);
      add(Kind::kRestartLeader, t + soon + offset, 0);
      break;
    case CompoundFault::kSlowCancels:
      add(Kind::kSlowState, t, 2 * lease);
      add(Kind::kCutState, t + soon, lease / 2, even);
      add(Kind::kOutage, t + soon + offset / 2, outage);
      break;
    case CompoundFault::kOldCopies:
      add(Kind::kDuplicateHeartbeats, t, 3 * lease);
      add(Kind::kHang, t + soon, 1.2 * lease);
      add(Kind::kRestartLeader, t + soon + offset, 0);
      add(Kind::kRestartMachines, t + offset, 0);
      break;
    case CompoundFault::kLateWrites:
      add(Kind::kLateWrites, t, 2 * lease);
      add(even ? Kind::kRestartLeader : Kind::kCutState, t + soon, lease / 2);
      add(round % 3 == 0 ? Kind::kRestartAll : Kind::kFreeze, t + offset, lease / 2);
      break;
    case CompoundFault::kHeldCommands:
      add(even ? Kind::kCutAgents : Kind::kHang, t, Swept(seed, 2, 0.9 * lease, 2), true);
      add(Kind::kFreeze, t + soon / 2, Swept(seed, 0.5, lease, 3));
      add(Kind::kRestartLeader, t + soon + offset / 2, 0);
      break;
    case CompoundFault::kEndsApart:
      for (int i = 0; i < 4; ++i) {
        add(i % 2 == 0 ? Kind::kRestartLeader : Kind::kCrash, t + i * Swept(seed, 1, 12, 2), 2);
      }
      add(Kind::kLateWrites, t - 1, lease);
      break;
    case CompoundFault::kOnlyWorkers:
      add(Kind::kLeaderOnlyAgentsReachable, t, Swept(seed, 1, 3 * s.cancel_within_s, 2), even);
      add(even ? Kind::kCrash : Kind::kOutage, t + offset, lease);
      break;
    case CompoundFault::kZoneWhole:
      add(Kind::kCutZoneWhole, t, Swept(seed, 1.1, 2.5, 2) * lease, even);
      if (round % 3 == 1) add(Kind::kRestartLeader, t + soon, 0);
      if (round % 3 == 2) add(Kind::kOutage, t + soon, lease);
      break;
    case CompoundFault::kSlowLinks:
      add(Kind::kSlowLinks, 5, 70);
      if (round % 3 == 1) add(Kind::kRestartLeader, t + soon, 0);
      if (round % 3 == 2) add(Kind::kKillMachines, t + soon, 0);
      break;
    case CompoundFault::kHeldReports:
      add(Kind::kDelayHeartbeats, t, Swept(seed, 0.4, 2, 2) * lease);
      add(Kind::kCancelNow, t + soon / 2, 0);
      add(Kind::kRestartLeader, t + soon, 0);
      break;
    case CompoundFault::kJobEnds:
      add(Kind::kCancelAtEnd, 10, 100);
      add(Kind::kOddRequests, 12, 100);
      break;
    case CompoundFault::kMute:
      add(Kind::kCutAgentsOutbound, t, Swept(seed, 0.3, 3, 2) * lease);
      if (!even) add(Kind::kRestartLeader, t + offset, 0);
      if (round % 3 == 1) add(Kind::kCutAgentsInbound, t + soon, lease / 4);
      if (round % 3 == 2) add(Kind::kCancelNow, t + soon, 0);
      break;
    case CompoundFault::kLimit:
      add(even ? Kind::kCutZone : Kind::kCutAgentsInbound, t,
          Swept(seed, 0.5, 2, 2) * lease / (even ? 1 : 6));
      add(Kind::kRestartLeader, t + soon / 2, 0);
      add(Kind::kCancelNow, t + soon / 2 + Swept(seed, 0, 3, 3), 0);
      break;
    case CompoundFault::kTenLeaders:
      for (int i = 0; i < 10; ++i)
        add(Kind::kRestartLeader, t + i * 12 + Swept(seed + i, 0, 4, 2), 0);
      if (!even) add(Kind::kOutage, t + offset, lease);
      if (round % 3 == 1) add(Kind::kDuplicateHeartbeats, t, 100);
      break;
    case CompoundFault::kAllAway:
      add(Kind::kCancelNow, t - soon / 4, 0, even);
      // Users give up after a minute.
      add(Kind::kStopAll, t, std::min(50.0, Swept(seed, 1.1, 2, 2) * lease));
      if (round % 3 == 1) add(Kind::kCutAgentsOutbound, t + offset, lease / 2);
      break;
    case CompoundFault::kHeldAnswers:
      add(Kind::kDelayAnswers, t - 20, 60);
      add(Kind::kHang, t + soon, Swept(seed, 0.2, 0.9, 2) * lease);
      if (!even) add(Kind::kRestartLeader, t + soon + offset / 2, 0);
      break;
    case CompoundFault::kCancelNow:
      add(Kind::kCutState, t, Swept(seed, 1, 15, 2), false);
      add(Kind::kCancelNow, t, 0.2 * lease, !even);
      add(Kind::kOutage, t + Swept(seed, 0.5, 1.5, 3), outage);
      break;
    case CompoundFault::kCancelHang:
      add(Kind::kCancelNow, t, Swept(seed, 0.2, 1.2, 2) * lease, true);
      if (round % 3 == 1) add(Kind::kRestartLeader, t + soon, 0);
      if (round % 3 == 2) add(Kind::kFreeze, t + soon / 4, offset);
      break;
    case CompoundFault::kBound:
      add(Kind::kKillMachines, t, 0);
      add(Kind::kSpotTaken, t + soon / 4, 0);
      add(even ? Kind::kCutZone : Kind::kReplaced, t + soon, Swept(seed, 0.3, 1.5, 2) * lease);
      if (round % 3 == 1) add(Kind::kRestartLeader, t + soon + 1, 0);
      break;
    case CompoundFault::kMeetings:
      break;
  }
  std::sort(out.begin(), out.end(), [](const auto& a, const auto& b) { return a.at < b.at; });
  return out;
}

CompoundFaultScenario::CompoundFaultScenario(uint64_t seed, const std::vector<Fault>& faults,
                                             bool blocks)
    : AvailabilityScenario(seed, faults, blocks), seed_(seed), faults_(faults), more_(*this) {
  const double lease = world.settings.agent_lease_s;
  uint64_t n = 0;
  // Long tasks, of which some are cancelled just when it matters.
  for (int i = 0; i < 14; ++i) {
    Ask(n++, world.random.Uniform(2, kFirst - 8),
        kFirst + world.random.Uniform(-1, i % 2 == 0 ? lease / 4 : 1.5 * lease),
        1 + static_cast<uint32_t>(world.random.Below(6)), 2 * world.settings.cancel_within_s);
  }
  // Jobs of two or three tasks that end seconds to minutes apart.
  for (int i = 0; i < 10; ++i) {
    const uint32_t tasks = 2 + static_cast<uint32_t>(i % 2);
    Ask(n, world.random.Uniform(2, kFirst + 10), 0, tasks, 20);
    for (uint32_t k = 0; k < tasks; ++k) {
      const double longest = k == 0 ? 8 : 20.0 * k * k + 15;
      world.run_times_s[{fmt::format("req-{}", kFirstId + n), k}] =
          world.random.Uniform(1, longest);
    }
    ++n;
  }
  Bound();
  more_.Begin();
  on_users = [this](const Fault& f) { UsersDo(f); };
  world.on_job_end = [this](const std::string& id) { JobEnded(id); };
  for (const Fault& f : faults) {
    const bool whole = f.kind == Kind::kCutZoneWhole && f.for_s > lease;
    if (whole || f.kind == Kind::kKillMachines || f.kind == Kind::kSpotTaken) {
      // Which it hits is known afterwards.
      world.clock.At(f.at - 0.001, [this] {
        for (const auto& [id, w] : world.agents) busy_before_[id] = w->running_tasks();
      });
      world.clock.At(f.at + 0.001, [this] {
        for (const auto& [id, busy] : std::exchange(busy_before_, {})) {
          const SimulatedAgent& w = *world.agents.at(id);
          bound_lost_ += busy > 0 && !w.alive() ? 1 : 0;
          const auto open = [&](const auto& node) {
            return world.network.PassesBothWays(node, id);
          };
          const auto reached = std::count_if(world.nodes.begin(), world.nodes.end(), open);
          const bool some = reached > 0 && reached < std::ssize(world.nodes);
          busy_cut_ += busy > 0 && some ? 1 : 0;
        }
      });
    }
    if (f.kind != Kind::kCrash && f.kind != Kind::kRestartLeader) continue;
    world.clock.At(f.at - 0.001, [this] {
      for (const auto& [id, w] : world.agents) {
        const bool reached = world.network.PassesBothWays(Leader().name(), id);
        busy_unreached_ += !reached && w->running_tasks() > 0 ? 1 : 0;
      }
    });
  }
}

// Of a team with a limit that they reach, and bound to a zone, together or apart.
void CompoundFaultScenario::Bound() {
  const CompoundFault m = Of(seed_);
  if (m != CompoundFault::kLimit && m != CompoundFault::kBound) return;
  for (uint64_t i = 0; i < 12; ++i) {
    wire::JobSpec& s = Ask(100 + i, world.random.Uniform(2, kFirst - 5), 0, 4, 25);
    if (m == CompoundFault::kLimit) s.team = "tight";
    if (m == CompoundFault::kLimit) continue;
    s.single_zone = i % 3 == 0;
    s.spread_over_zones = i % 3 == 1;
    if (i % 3 == 2) s.zone = world.settings.zones[i / 3 % world.settings.zones.size()];
  }
}

void CompoundFaultScenario::UsersDo(const Fault& f) {
  switch (f.kind) {
    case Kind::kCancelNow: {
      const auto runs = [this](const SimulatedUser& u) { return world.RunsJob(u.spec.id); };
      // Up to eight of their machines hang.
      for (const SimulatedUser& u : more_.all()) {
        if (!f.hold || hung_ >= 8 || u.accepted <= 0 || u.called_off || !runs(u)) continue;
        for (auto& [id, w] : world.agents) {
          if (hung_ >= 8 || w->hung() || !w->RunsJob(u.spec.id)) continue;
          w->Hang(f.for_s);
          ++hung_;
        }
      }
      called_off_ += more_.CallOffSome(12, 0.2, runs);
      called_off_ += users().CallOffSome(4, 0.2, [&](const SimulatedUser& u) {
        return u.spec.kind == wire::JobKind::kArray && runs(u);
      });
      return;
    }
    case Kind::kCancelAtEnd:
      end_until_ = world.clock.now() + f.for_s;
      return;
    case Kind::kOddRequests:
      for (double at = 0; at < f.for_s; at += 2) world.clock.After(at, [this] { Odd(); });
      return;
    default:
      return;
  }
}

// Its user cancels, asks and submits again, all within the time in which the leader learns of it.
void CompoundFaultScenario::JobEnded(const std::string& id) {
  if (world.clock.now() > end_until_) return;
  for (SimulatedUsers* users : {&more_, &this->users()}) {
    for (size_t i = 0; i < users->all().size(); ++i) {
      if (users->all()[i].spec.id != id || users->all()[i].called_off) continue;
      const auto soon = [this](std::function<void()> f) {
        world.clock.After(world.random.Uniform(0, 1.2), std::move(f));
      };
      if (world.random.Below(3) != 0) {
        ++called_off_;
        soon([users, i] { users->CallOff(i); });
      }
      soon([users, i] { users->AskNow(i); });
      soon([users, i] { users->Repeat(i); });
    }
  }
}

void CompoundFaultScenario::Odd() {
  const size_t i = world.random.Below(more_.all().size());
  if (more_.all()[i].accepted > 0) more_.Repeat(i);
  for (size_t k = 0; k < more_.all().size(); ++k) {
    const SimulatedUser& u = more_.all()[k];
    // It stays done, however often it is cancelled.
    if (!world.rule_checker.IsDone(u.spec.id) || u.called_off || world.random.Below(8) != 0)
      continue;
    more_.CancelDone(k);
    break;
  }
  wire::JobSpec s = more_.all()[i].spec;
  s.id = fmt::format("req-{}", 2 * kFirstId + ++odd_);
  switch (odd_ % 4) {
    case 0:
      s.cpus = 1'000;
      break;
    case 1:
      s.types = std::vector<std::string>{"no-such-type"};
      break;
    case 2:
      s.zone = "nowhere";
      break;
    case 3:
      s.kind = wire::JobKind::kService;
      s.tasks = 2;
      s.single_zone = s.spread_over_zones = true;
      break;
  }
  more_.SubmitOdd(s);
}

wire::JobSpec& CompoundFaultScenario::Ask(uint64_t n, double asked, double cancelled,
                                          uint32_t tasks, double run_s) {
  SimulatedUser u;
  u.polls = true;
  u.asked = asked;
  if (cancelled > 0) u.cancels_after = std::max(0.1, cancelled - asked);
  wire::JobSpec& s = u.spec;
  s.id = fmt::format("req-{}", kFirstId + n);
  s.team = "desk";
  s.job_class = "meeting";
  s.priority = n % 2 == 0 ? wire::Priority::kHigh : wire::Priority::kNormal;
  s.tasks = tasks;
  s.cpus = 1;
  s.memory_gb = 1;
  s.image = "img-0";
  s.image_gb = 1;
  s.estimated_run_s = run_s;
  return more_.Add(std::move(u)).spec;
}

size_t CompoundFaultScenario::CancelledBetween(double from, double to) const {
  const auto& told = world.rule_checker.cancellations();
  return static_cast<size_t>(
      std::count_if(told.begin(), told.end(), [&](double at) { return at > from && at < to; }));
}

size_t CompoundFaultScenario::Reached() const {
  const auto first = [&](Kind kind) -> const Fault* {
    const auto it = std::find_if(faults_.begin(), faults_.end(),
                                 [&](const Fault& f) { return f.kind == kind; });
    return it == faults_.end() ? nullptr : &*it;
  };
  const Fault* a = nullptr;
  const Fault* b = nullptr;
  switch (Of(seed_)) {
    case CompoundFault::kRefusedThenOutage:
      a = first(Kind::kCutState);
      b = first(Kind::kOutage);
      return a != nullptr && b != nullptr ? CancelledBetween(a->at, b->at) : 0;
    case CompoundFault::kBackAndForth:
      return static_cast<size_t>(
          std::count_if(world.observed.elections.begin(), world.observed.elections.end(),
                        [](double at) { return at > kFirst && at < kFirst + 15; }));
    case CompoundFault::kUnreached:
      return busy_unreached_;
    case CompoundFault::kSlowCancels:
      a = first(Kind::kSlowState);
      return a != nullptr ? CancelledBetween(a->at, a->at + a->for_s) : 0;
    case CompoundFault::kOldCopies:
      return world.observed.outdated_duplicates;
    case CompoundFault::kLateWrites:
      return world.observed.late_writes;
    case CompoundFault::kHeldCommands:
      return world.observed.late_commands;
    case CompoundFault::kEndsApart: {
      size_t apart = 0;
      for (const auto& [task, at] : world.completed_at) {
        if (task.index == 0 || !world.run_times_s.contains(task)) continue;
        const auto one = world.completed_at.find({task.job, 0});
        if (one == world.completed_at.end()) continue;
        const auto [from, to] = std::minmax(one->second, at);
        apart += static_cast<size_t>(
            std::count_if(world.observed.elections.begin(), world.observed.elections.end(),
                          [from = from, to = to](double e) { return e > from && e < to; }));
      }
      return apart;
    }
    case CompoundFault::kOnlyWorkers:
      a = first(Kind::kLeaderOnlyAgentsReachable);
      return a != nullptr ? CancelledBetween(a->at, a->at + a->for_s) : 0;
    case CompoundFault::kZoneWhole:
      return busy_cut_;
    case CompoundFault::kSlowLinks:
      return world.observed.late_commands;
    case CompoundFault::kHeldReports:
    case CompoundFault::kLimit:
      return std::min(busy_unreached_, called_off_);
    case CompoundFault::kJobEnds:
      return called_off_ > 0 && more_.refused() > 0 ? called_off_ : 0;
    case CompoundFault::kMute:
      return world.observed.outbound_cut_commands;
    case CompoundFault::kTenLeaders: {
      const auto n = static_cast<size_t>(
          std::count_if(world.observed.elections.begin(), world.observed.elections.end(),
                        [](double at) { return at > kFirst && at < kFirst + 125; }));
      return n >= 8 ? n : 0;
    }
    case CompoundFault::kAllAway:
      a = first(Kind::kStopAll);
      return a != nullptr && a->for_s > world.settings.agent_lease_s ? called_off_ : 0;
    case CompoundFault::kHeldAnswers:
      return world.observed.late_answers;
    case CompoundFault::kCancelNow:
      a = first(Kind::kCutState);
      b = first(Kind::kOutage);
      return a != nullptr && b != nullptr ? CancelledBetween(a->at, b->at) : 0;
    case CompoundFault::kCancelHang:
      return std::min(hung_, called_off_);
    case CompoundFault::kBound:
      return bound_lost_;
    case CompoundFault::kMeetings:
      break;
  }
  return 0;
}

Outcome CompoundFaultScenario::Run() {
  Outcome out = AvailabilityScenario::Run();
  int vouched = 0;
  int learned = 0;
  for (const auto& c : controllers) {
    vouched += c->vouched();
    learned += c->learned();
  }
  out.figures.emplace_back("vouched", vouched);
  out.figures.emplace_back("learned", learned);
  out.figures.emplace_back("meeting", static_cast<double>(Of(seed_)));
  out.figures.emplace_back("reached", static_cast<double>(Reached()));
  return out;
}

}  // namespace mosspath::simulation
