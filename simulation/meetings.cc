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
static_assert(std::size(kNames) == static_cast<size_t>(MeetingDay::Meeting::kMeetings));

constexpr double kFirst = 45;       // the first trouble, when work is under way
constexpr double kGolden = 0.6180;  // steps of this ratio cover what is swept evenly
constexpr uint64_t kFirstId = 900'000;

// Between two figures, the further the seeds go the denser.
double Swept(uint64_t seed, double least, double most, uint64_t salt = 0) {
  const double step =
      static_cast<double>(seed / static_cast<uint64_t>(MeetingDay::Meeting::kMeetings) + 1) *
          kGolden +
      static_cast<double>(salt) * 0.37;
  return least + (most - least) * (step - std::floor(step));
}

}  // namespace

const char* MeetingDay::Name(Meeting m) { return kNames[static_cast<size_t>(m)]; }

std::vector<Fault> MeetingDay::Faults(uint64_t seed) {
  const config::Settings s = AdditionDay::Of(seed, false);
  const double lease = s.lease_s;
  const double offset = Swept(seed, 0, 1.3 * lease);
  const double soon = Swept(seed, 0, 0.4 * lease, 1);
  const double grant = lease / 8;
  const uint64_t round = seed / static_cast<uint64_t>(Meeting::kMeetings);
  const bool even = round % 2 == 0;
  const uint64_t pick = seed * 7919;
  // Longer than a cancellation has, but where that is nearly a minute: users give up after one, and
  // whoever could never ask can't be served.
  const double outage = std::min(1.3 * s.cancel_s, 50.0);
  const double t = kFirst;
  std::vector<Fault> out;
  const auto add = [&](Kind kind, double at, double for_s, bool hold = false) {
    out.push_back({kind, at, for_s, hold, pick + out.size()});
  };
  switch (Of(seed)) {
    case Meeting::kRefusedThenOutage:
      add(Kind::kCutState, t, Swept(seed, 1, s.cancel_s, 2));
      add(Kind::kOutage, t + std::min(offset, even ? 2.5 * grant : 1e9), outage);
      if (round % 3 == 1) add(Kind::kConfirmer, t + soon + 1, 0.5);
      if (round % 3 == 2) add(Kind::kFreezeAny, t + soon, offset);
      break;
    case Meeting::kBackAndForth:
      add(Kind::kBounce, t, 0);
      add(Kind::kBounce, t + Swept(seed, 0, 2 * grant, 2), 0);
      add(Kind::kCrashAll, t + soon, 0);
      add(Kind::kBounceStep, t + soon + 3 + Swept(seed, 0, 2, 3), 0);
      break;
    case Meeting::kUnreached:
      add(even ? Kind::kDeaf : Kind::kCutZone, t, Swept(seed, 2, 2 * lease, 2), even);
      add(Kind::kCrash, t + soon, even ? 0.2 : 6);
      add(Kind::kBounce, t + soon + offset, 0);
      break;
    case Meeting::kSlowCancels:
      add(Kind::kSlowState, t, 2 * lease);
      add(Kind::kCutState, t + soon, lease / 2, even);
      add(Kind::kOutage, t + soon + offset / 2, outage);
      break;
    case Meeting::kOldCopies:
      add(Kind::kCopies, t, 3 * lease);
      add(Kind::kHang, t + soon, 1.2 * lease);
      add(Kind::kBounce, t + soon + offset, 0);
      add(Kind::kReborn, t + offset, 0);
      break;
    case Meeting::kLateWrites:
      add(Kind::kLateWrites, t, 2 * lease);
      add(even ? Kind::kBounce : Kind::kCutState, t + soon, lease / 2);
      add(round % 3 == 0 ? Kind::kBounceAll : Kind::kFreeze, t + offset, lease / 2);
      break;
    case Meeting::kHeldCommands:
      add(even ? Kind::kCutWorkers : Kind::kHang, t, Swept(seed, 2, 0.9 * lease, 2), true);
      add(Kind::kFreeze, t + soon / 2, Swept(seed, 0.5, lease, 3));
      add(Kind::kBounce, t + soon + offset / 2, 0);
      break;
    case Meeting::kEndsApart:
      for (int i = 0; i < 4; ++i) {
        add(i % 2 == 0 ? Kind::kBounce : Kind::kCrash, t + i * Swept(seed, 1, 12, 2), 2);
      }
      add(Kind::kLateWrites, t - 1, lease);
      break;
    case Meeting::kOnlyWorkers:
      add(Kind::kOnlyLeader, t, Swept(seed, 1, 3 * s.cancel_s, 2), even);
      add(even ? Kind::kCrash : Kind::kOutage, t + offset, lease);
      break;
    case Meeting::kZoneWhole:
      add(Kind::kCutZoneWhole, t, Swept(seed, 1.1, 2.5, 2) * lease, even);
      if (round % 3 == 1) add(Kind::kBounce, t + soon, 0);
      if (round % 3 == 2) add(Kind::kOutage, t + soon, lease);
      break;
    case Meeting::kSlowLinks:
      add(Kind::kSlowLinks, 5, 70);
      if (round % 3 == 1) add(Kind::kBounce, t + soon, 0);
      if (round % 3 == 2) add(Kind::kDie, t + soon, 0);
      break;
    case Meeting::kHeldReports:
      add(Kind::kHeldReports, t, Swept(seed, 0.4, 2, 2) * lease);
      add(Kind::kCancelNow, t + soon / 2, 0);
      add(Kind::kBounce, t + soon, 0);
      break;
    case Meeting::kJobEnds:
      add(Kind::kCancelAtEnd, 10, 100);
      add(Kind::kOddRequests, 12, 100);
      break;
    case Meeting::kMute:
      add(Kind::kMute, t, Swept(seed, 0.3, 3, 2) * lease);
      if (!even) add(Kind::kBounce, t + offset, 0);
      if (round % 3 == 1) add(Kind::kDeaf, t + soon, lease / 4);
      if (round % 3 == 2) add(Kind::kCancelNow, t + soon, 0);
      break;
    case Meeting::kLimit:
      add(even ? Kind::kCutZone : Kind::kDeaf, t, Swept(seed, 0.5, 2, 2) * lease / (even ? 1 : 6));
      add(Kind::kBounce, t + soon / 2, 0);
      add(Kind::kCancelNow, t + soon / 2 + Swept(seed, 0, 3, 3), 0);
      break;
    case Meeting::kTenLeaders:
      for (int i = 0; i < 10; ++i) add(Kind::kBounce, t + i * 12 + Swept(seed + i, 0, 4, 2), 0);
      if (!even) add(Kind::kOutage, t + offset, lease);
      if (round % 3 == 1) add(Kind::kCopies, t, 100);
      break;
    case Meeting::kAllAway:
      add(Kind::kCancelNow, t - soon / 4, 0, even);
      // Users give up after a minute.
      add(Kind::kAllAway, t, std::min(50.0, Swept(seed, 1.1, 2, 2) * lease));
      if (round % 3 == 1) add(Kind::kMute, t + offset, lease / 2);
      break;
    case Meeting::kHeldAnswers:
      add(Kind::kHeldAnswers, t - 20, 60);
      add(Kind::kHang, t + soon, Swept(seed, 0.2, 0.9, 2) * lease);
      if (!even) add(Kind::kBounce, t + soon + offset / 2, 0);
      break;
    case Meeting::kCancelNow:
      add(Kind::kCutState, t, Swept(seed, 1, 15, 2), false);
      add(Kind::kCancelNow, t, 0.2 * lease, !even);
      add(Kind::kOutage, t + Swept(seed, 0.5, 1.5, 3), outage);
      break;
    case Meeting::kCancelHang:
      add(Kind::kCancelNow, t, Swept(seed, 0.2, 1.2, 2) * lease, true);
      if (round % 3 == 1) add(Kind::kBounce, t + soon, 0);
      if (round % 3 == 2) add(Kind::kFreeze, t + soon / 4, offset);
      break;
    case Meeting::kBound:
      add(Kind::kDie, t, 0);
      add(Kind::kSpotTaken, t + soon / 4, 0);
      add(even ? Kind::kCutZone : Kind::kReplaced, t + soon, Swept(seed, 0.3, 1.5, 2) * lease);
      if (round % 3 == 1) add(Kind::kBounce, t + soon + 1, 0);
      break;
    case Meeting::kMeetings:
      break;
  }
  std::sort(out.begin(), out.end(), [](const auto& a, const auto& b) { return a.at < b.at; });
  return out;
}

MeetingDay::MeetingDay(uint64_t seed, const std::vector<Fault>& faults, bool blocks)
    : AdditionDay(seed, faults, blocks), seed_(seed), faults_(faults), more_(*this) {
  const double lease = world.settings.lease_s;
  uint64_t n = 0;
  // Long tasks, of which some are cancelled just when it matters.
  for (int i = 0; i < 14; ++i) {
    Ask(n++, world.random.Uniform(2, kFirst - 8),
        kFirst + world.random.Uniform(-1, i % 2 == 0 ? lease / 4 : 1.5 * lease),
        1 + static_cast<uint32_t>(world.random.Below(6)), 2 * world.settings.cancel_s);
  }
  // Jobs of two or three tasks that end seconds to minutes apart.
  for (int i = 0; i < 10; ++i) {
    const uint32_t tasks = 2 + static_cast<uint32_t>(i % 2);
    Ask(n, world.random.Uniform(2, kFirst + 10), 0, tasks, 20);
    for (uint32_t k = 0; k < tasks; ++k) {
      const double longest = k == 0 ? 8 : 20.0 * k * k + 15;
      world.run_s[{fmt::format("req-{}", kFirstId + n), k}] = world.random.Uniform(1, longest);
    }
    ++n;
  }
  Bound();
  more_.Begin();
  on_users = [this](const Fault& f) { UsersDo(f); };
  world.on_job_end = [this](const std::string& id) { JobEnded(id); };
  for (const Fault& f : faults) {
    const bool whole = f.kind == Kind::kCutZoneWhole && f.for_s > lease;
    if (whole || f.kind == Kind::kDie || f.kind == Kind::kSpotTaken) {
      // Which it hits is known afterwards.
      world.clock.At(f.at - 0.001, [this] {
        for (const auto& [id, w] : world.workers) busy_before_[id] = w->running();
      });
      world.clock.At(f.at + 0.001, [this] {
        for (const auto& [id, busy] : std::exchange(busy_before_, {})) {
          const Worker& w = *world.workers.at(id);
          bound_lost_ += busy > 0 && !w.alive() ? 1 : 0;
          const auto open = [&](const auto& node) { return world.network.Open(node, id); };
          const auto reached = std::count_if(world.nodes.begin(), world.nodes.end(), open);
          const bool some = reached > 0 && reached < std::ssize(world.nodes);
          busy_cut_ += busy > 0 && some ? 1 : 0;
        }
      });
    }
    if (f.kind != Kind::kCrash && f.kind != Kind::kBounce) continue;
    world.clock.At(f.at - 0.001, [this] {
      for (const auto& [id, w] : world.workers) {
        const bool reached = world.network.Open(Leader().name(), id);
        busy_unreached_ += !reached && w->running() > 0 ? 1 : 0;
      }
    });
  }
}

// Of a team with a limit that they reach, and bound to a zone, together or apart.
void MeetingDay::Bound() {
  const Meeting m = Of(seed_);
  if (m != Meeting::kLimit && m != Meeting::kBound) return;
  for (uint64_t i = 0; i < 12; ++i) {
    wire::JobSpec& s = Ask(100 + i, world.random.Uniform(2, kFirst - 5), 0, 4, 25);
    if (m == Meeting::kLimit) s.team = "tight";
    if (m == Meeting::kLimit) continue;
    s.one_zone = i % 3 == 0;
    s.spread = i % 3 == 1;
    if (i % 3 == 2) s.zone = world.settings.zones[i / 3 % world.settings.zones.size()];
  }
}

void MeetingDay::UsersDo(const Fault& f) {
  switch (f.kind) {
    case Kind::kCancelNow: {
      const auto runs = [this](const User& u) { return world.Runs(u.spec.id); };
      // Up to eight of their machines hang.
      for (const User& u : more_.all()) {
        if (!f.hold || hung_ >= 8 || u.accepted <= 0 || u.called_off || !runs(u)) continue;
        for (auto& [id, w] : world.workers) {
          if (hung_ >= 8 || w->hung() || !w->Has(u.spec.id)) continue;
          w->Hang(f.for_s);
          ++hung_;
        }
      }
      called_off_ += more_.CallOffSome(12, 0.2, runs);
      called_off_ += users().CallOffSome(
          4, 0.2, [&](const User& u) { return u.spec.kind == wire::Kind::kArray && runs(u); });
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
void MeetingDay::JobEnded(const std::string& id) {
  if (world.clock.now() > end_until_) return;
  for (Users* users : {&more_, &this->users()}) {
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

void MeetingDay::Odd() {
  const size_t i = world.random.Below(more_.all().size());
  if (more_.all()[i].accepted > 0) more_.Repeat(i);
  for (size_t k = 0; k < more_.all().size(); ++k) {
    const User& u = more_.all()[k];
    // It stays done, however often it is cancelled.
    if (!world.checker.IsDone(u.spec.id) || u.called_off || world.random.Below(8) != 0) continue;
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
      s.kind = wire::Kind::kService;
      s.tasks = 2;
      s.one_zone = s.spread = true;
      break;
  }
  more_.SubmitOdd(s);
}

wire::JobSpec& MeetingDay::Ask(uint64_t n, double asked, double cancelled, uint32_t tasks,
                               double run_s) {
  User u;
  u.polls = true;
  u.asked = asked;
  if (cancelled > 0) u.cancels_after = std::max(0.1, cancelled - asked);
  wire::JobSpec& s = u.spec;
  s.id = fmt::format("req-{}", kFirstId + n);
  s.team = "desk";
  s.job_class = "meeting";
  s.rank = n % 2 == 0 ? wire::Rank::kHigh : wire::Rank::kNormal;
  s.tasks = tasks;
  s.cpus = 1;
  s.memory_gb = 1;
  s.image = "img-0";
  s.image_gb = 1;
  s.estimate_s = run_s;
  return more_.Add(std::move(u)).spec;
}

size_t MeetingDay::CancelledBetween(double from, double to) const {
  const auto& told = world.checker.cancellations();
  return static_cast<size_t>(
      std::count_if(told.begin(), told.end(), [&](double at) { return at > from && at < to; }));
}

size_t MeetingDay::Reached() const {
  const auto first = [&](Kind kind) -> const Fault* {
    const auto it = std::find_if(faults_.begin(), faults_.end(),
                                 [&](const Fault& f) { return f.kind == kind; });
    return it == faults_.end() ? nullptr : &*it;
  };
  const Fault* a = nullptr;
  const Fault* b = nullptr;
  switch (Of(seed_)) {
    case Meeting::kRefusedThenOutage:
      a = first(Kind::kCutState);
      b = first(Kind::kOutage);
      return a != nullptr && b != nullptr ? CancelledBetween(a->at, b->at) : 0;
    case Meeting::kBackAndForth:
      return static_cast<size_t>(
          std::count_if(world.elections.begin(), world.elections.end(),
                        [](double at) { return at > kFirst && at < kFirst + 15; }));
    case Meeting::kUnreached:
      return busy_unreached_;
    case Meeting::kSlowCancels:
      a = first(Kind::kSlowState);
      return a != nullptr ? CancelledBetween(a->at, a->at + a->for_s) : 0;
    case Meeting::kOldCopies:
      return world.old_copies;
    case Meeting::kLateWrites:
      return world.late_writes;
    case Meeting::kHeldCommands:
      return world.late_orders;
    case Meeting::kEndsApart: {
      size_t apart = 0;
      for (const auto& [task, at] : world.done_at) {
        if (task.index == 0 || !world.run_s.contains(task)) continue;
        const auto one = world.done_at.find({task.job, 0});
        if (one == world.done_at.end()) continue;
        const auto [from, to] = std::minmax(one->second, at);
        apart += static_cast<size_t>(
            std::count_if(world.elections.begin(), world.elections.end(),
                          [from = from, to = to](double e) { return e > from && e < to; }));
      }
      return apart;
    }
    case Meeting::kOnlyWorkers:
      a = first(Kind::kOnlyLeader);
      return a != nullptr ? CancelledBetween(a->at, a->at + a->for_s) : 0;
    case Meeting::kZoneWhole:
      return busy_cut_;
    case Meeting::kSlowLinks:
      return world.late_orders;
    case Meeting::kHeldReports:
    case Meeting::kLimit:
      return std::min(busy_unreached_, called_off_);
    case Meeting::kJobEnds:
      return called_off_ > 0 && more_.refused() > 0 ? called_off_ : 0;
    case Meeting::kMute:
      return world.mute_orders;
    case Meeting::kTenLeaders: {
      const auto n = static_cast<size_t>(
          std::count_if(world.elections.begin(), world.elections.end(),
                        [](double at) { return at > kFirst && at < kFirst + 125; }));
      return n >= 8 ? n : 0;
    }
    case Meeting::kAllAway:
      a = first(Kind::kAllAway);
      return a != nullptr && a->for_s > world.settings.lease_s ? called_off_ : 0;
    case Meeting::kHeldAnswers:
      return world.late_answers;
    case Meeting::kCancelNow:
      a = first(Kind::kCutState);
      b = first(Kind::kOutage);
      return a != nullptr && b != nullptr ? CancelledBetween(a->at, b->at) : 0;
    case Meeting::kCancelHang:
      return std::min(hung_, called_off_);
    case Meeting::kBound:
      return bound_lost_;
    case Meeting::kMeetings:
      break;
  }
  return 0;
}

Outcome MeetingDay::Run() {
  Outcome out = AdditionDay::Run();
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
