#include "simulation/cluster.h"

#include <spdlog/fmt/fmt.h>

#include <algorithm>

namespace mosspath::simulation {
namespace {

constexpr const char* kNames[] = {
    "crash",        "crash-all", "freeze",     "freeze-any",     "cut-state",   "cut-workers",
    "cut-peers",    "cut-zone",  "outage",     "slow-state",     "unread",      "die",
    "hang",         "deaf",      "copies",     "only-workers",   "bounce",      "bounce-all",
    "bounce-step",  "reborn",    "replaced",   "spot-taken",     "capacity",    "late-writes",
    "only-leader",  "confirmer", "mute",       "cut-zone-whole", "slow-links",  "held-reports",
    "held-answers", "all-away",  "cancel-now", "cancel-at-end",  "odd-requests"};
static_assert(std::size(kNames) == static_cast<size_t>(Fault::Kind::kKinds));

// A machine that hears nothing for less than a few leases is hardly told from a slow one.
constexpr double kDeafTimes = 6;

// From 10 to 500 ms.
double AtOnce(const Fault& f) { return 0.01 + 0.49 * static_cast<double>(f.pick % 97) / 96; }

}  // namespace

config::Settings SmallSettings() {
  config::Settings s;
  s.name = "hut-0";
  s.controller_count = 3;
  s.zones = {"east", "west"};
  s.teams = {{"free", 0, 0, 0, 0}, {"tight", 4, 10, 0, 0}};
  s.heartbeat_s = 1.5;
  s.agent_lease_s = 10;
  s.cancel_within_s = 20;
  s.store_requests_per_s = 100;
  s.store_writes_per_s = 25;
  s.store_value_kb = 8;
  s.store_transaction_changes = 8;
  s.cloud_requests_per_s = 5;
  s.machine_list_lag_s = 3;
  return s;
}

wire::MachineType SmallType() {
  wire::MachineType t;
  t.name = "box";
  t.cpus = 8;
  t.memory_gb = 32;
  t.cache_gb = 20;
  t.fetch_gb_per_s = 1;
  t.price = 1;
  t.boot_s = 10;
  t.zones = {"east", "west"};
  return t;
}

std::string ToText(const Fault& f) {
  return fmt::format("{:.1f} s: {} for {:.1f} s{} (pick {})", f.at,
                     kNames[static_cast<size_t>(f.kind)], f.for_s, f.hold ? ", held back" : "",
                     f.pick);
}

std::vector<Fault> Draw(uint64_t seed, size_t n, double from, double to) {
  Random random(seed);
  std::vector<Fault> out;
  for (size_t i = 0; i < n; ++i) {
    const auto kind =
        static_cast<Fault::Kind>(random.Below(static_cast<uint64_t>(Fault::Kind::kDrawn)));
    out.push_back({kind, random.Uniform(from, to), random.Uniform(0.5, 25), random.Below(2) == 0,
                   random.Below(1'000'000)});
  }
  std::sort(out.begin(), out.end(), [](const auto& a, const auto& b) { return a.at < b.at; });
  return out;
}

SimulatedCluster::SimulatedCluster(const config::Settings& settings,
                                   const std::vector<wire::MachineType>& types,
                                   size_t controllers_count, uint64_t seed)
    : world(settings, types, seed) {
  for (size_t i = 0; i < controllers_count; ++i) world.nodes.push_back("hut-" + std::to_string(i));
  world.on_heartbeat = [this](const std::string& node, const wire::Heartbeat& r,
                              const SimulatedEnvironment::HeartbeatResponder& answer) {
    for (auto& c : controllers) {
      if (c->name() == node) c->OnReport(r, answer);
    }
  };
  for (size_t i = 0; i < controllers_count; ++i) {
    const double drift = 1.0 + config::kMaxClockDrift * (static_cast<double>(i % 3) - 1);
    controllers.push_back(std::make_unique<SimulatedController>(world, world.nodes[i], drift));
  }
  world.network.on_sent = [this](const std::string& from) { Sent(from); };
  world.clock.After(0.5, [this] { CheckLoop(); });
}

// Whatever can't be reached or doesn't hear, a leader knows where all tasks are after the time that
// workers take to find it, a lease for what it can't ask, and a lease for what doesn't hear.
void SimulatedCluster::Check() {
  const double now = world.clock.now();
  world.rule_checker.CheckNow(now);
  if (now > world.rule_checker.faults_until() && ++checks_ % 4 == 0) CheckRoom();
  const config::DerivedSettings derived(world.settings);
  const double most =
      derived.agents_try_all_s + 2 * derived.agent_lease_over_s + world.settings.heartbeat_s;
  for (auto& c : controllers) {
    if (!c->up() || !c->leading() || c->dispatcher()->recovery_complete()) {
      unsettled_.erase(c->name());
      continue;
    }
    auto [it, added] = unsettled_.try_emplace(c->name(), Unsettled{c->token(), now});
    if (it->second.token != c->token()) it->second = {c->token(), now};
    if (now - it->second.since <= most) continue;
    world.rule_checker.AddBreach(fmt::format("unsettled: {} for {:.0f} s", c->name(), most));
    it->second.since = 1e18;
  }
}

void SimulatedCluster::CheckRoom() {
  for (const auto& w : world.rule_checker.WaitingJobs()) {
    const wire::JobSpec& s = *w.spec;
    std::vector<std::string> machines;
    for (const auto& [id, m] : world.agents) {
      if (!w.team_has_room || world.faulty_jobs.contains(s.id)) break;
      if (!m->alive() || m->fails_all_tasks || (m->spot() && !s.spot_allowed)) continue;
      if (s.zone && *s.zone != m->zone()) continue;
      if (s.types && std::find(s.types->begin(), s.types->end(), m->type()) == s.types->end()) {
        continue;
      }
      const auto there = w.running_by_zone.find(m->zone());
      const size_t in_zone = there == w.running_by_zone.end() ? 0 : there->second;
      if (s.single_zone && !w.running_by_zone.empty() && in_zone == 0) continue;
      if (s.spread_over_zones && in_zone + 1 > (s.tasks + 1) / 2) continue;
      if (m->used_cpus() + s.cpus <= m->cpus() + 1e-6) machines.push_back(id);
    }
    world.rule_checker.OnMachinesWithRoom(s.id, machines, world.clock.now());
  }
}

void SimulatedCluster::CheckLoop() {
  Check();
  world.clock.After(0.5, [this] { CheckLoop(); });
}

void SimulatedCluster::Plan(const std::vector<Fault>& faults) {
  for (const Fault& f : faults) {
    world.clock.At(f.at, [this, f] { Play(f); });
    world.rule_checker.OnFaultUntil(Over(f));
  }
}

double SimulatedCluster::Over(const Fault& f) const {
  switch (f.kind) {
    case Fault::Kind::kDuplicateHeartbeats:
      return f.at + f.for_s + 3 * world.settings.agent_lease_s;
    case Fault::Kind::kCutAgentsInbound:
      return f.at + kDeafTimes * f.for_s;
    case Fault::Kind::kLateWrites:
      return f.at + f.for_s + 12;
    case Fault::Kind::kCrashAll:
      return f.at + 3;
    // What slow links deliver, and what comes of it; answers are held for up to a lease.
    case Fault::Kind::kSlowLinks:
    case Fault::Kind::kDelayAnswers:
      return f.at + f.for_s + std::max(30.0, world.settings.agent_lease_s);
    default:
      return f.at + f.for_s;
  }
}

// After the message, so that it is the last of what the process did.
void SimulatedCluster::Sent(const std::string& from) {
  if (steps_left_ == 0) return;
  for (auto& c : controllers) {
    if (c->name() != from || !c->electing() || --steps_left_ > 0) continue;
    world.clock.After(0, [this, &c] { c->Crash(back_after_s_); });
  }
}

SimulatedController& SimulatedCluster::Leader(uint64_t otherwise) {
  for (auto& c : controllers) {
    if (c->leading()) return *c;
  }
  return *controllers[otherwise % controllers.size()];
}

void SimulatedCluster::Play(const Fault& f) {
  SimulatedController& leader = Leader(f.pick);
  SimulatedController& any = *controllers[f.pick % controllers.size()];
  SimulatedNetwork& net = world.network;
  switch (f.kind) {
    case Fault::Kind::kCrash:
      return leader.Crash(std::min(f.for_s, 8.0));
    case Fault::Kind::kCrashAll:
      for (auto& c : controllers) c->Crash(3);
      return;
    case Fault::Kind::kFreeze:
      return leader.Freeze(f.for_s);
    case Fault::Kind::kFreezeAny:
      return any.Freeze(f.for_s);
    case Fault::Kind::kCutState:
      return net.Cut(leader.name(), "state", f.for_s, f.hold);
    case Fault::Kind::kCutAgents:
      for (auto& [id, w] : world.agents) net.Cut(leader.name(), id, f.for_s, f.hold);
      return;
    case Fault::Kind::kCutPeers:
      for (const auto& other : world.nodes) {
        if (other != any.name()) net.Cut(any.name(), other, f.for_s, f.hold);
      }
      return;
    case Fault::Kind::kCutZone: {
      const std::string& zone = world.settings.zones[f.pick % world.settings.zones.size()];
      for (auto& [id, w] : world.agents) {
        if (w->zone() != zone) continue;
        for (const auto& node : world.nodes) net.Cut(node, id, f.for_s, true);
      }
      return;
    }
    case Fault::Kind::kOutage:
      if (world.store.up()) world.store.Outage(f.for_s);
      return;
    case Fault::Kind::kSlowState:
      return net.Slow("state", 10, f.for_s);
    case Fault::Kind::kLeaderReadsFail:
      return leader.Unread(f.for_s);
    case Fault::Kind::kKillMachines:
    case Fault::Kind::kHang: {
      // One in ten of them.
      size_t i = f.pick;
      for (auto& [id, w] : world.agents) {
        if (i++ % 10 != 0 || !w->alive()) continue;
        if (f.kind == Fault::Kind::kHang) {
          w->Hang(f.for_s);
        } else {
          w->Terminate();
        }
      }
      return;
    }
    case Fault::Kind::kCutAgentsInbound: {
      // One in eight, one in two now and then.
      const size_t step = f.pick % 5 == 0 ? 2 : 8;
      size_t i = f.pick;
      for (auto& [id, w] : world.agents) {
        if (i++ % step != 0) continue;
        for (const auto& node : world.nodes) net.CutOneWay(node, id, kDeafTimes * f.for_s, f.hold);
      }
      return;
    }
    case Fault::Kind::kDuplicateHeartbeats:
      world.duplicate_heartbeats_until = world.clock.now() + f.for_s;
      return;
    case Fault::Kind::kLeaderOnlyAgentsReachable:
    case Fault::Kind::kOnlyAgentsReachable: {
      const bool leads = f.kind == Fault::Kind::kLeaderOnlyAgentsReachable || f.pick % 2 == 0;
      const std::string name = leads ? leader.name() : any.name();
      net.Cut(name, "state", f.for_s, f.hold);
      for (const auto& other : world.nodes) {
        if (other != name) net.Cut(name, other, f.for_s, f.hold);
      }
      return;
    }
    case Fault::Kind::kRestartLeader:
      return leader.Crash(AtOnce(f));
    case Fault::Kind::kRestartAll:
      for (auto& c : controllers) c->Crash(AtOnce(f));
      return;
    case Fault::Kind::kRestartAfterMessages:
      back_after_s_ = AtOnce(f);
      steps_left_ = 1 + f.pick / 500 % 200;
      // In the middle of an election, mostly.
      if (f.pick % 3 != 0) leader.Crash(AtOnce(f));
      return;
    case Fault::Kind::kRestartMachines:
    case Fault::Kind::kReplaced: {
      size_t i = f.pick;
      std::vector<std::string> some;
      for (auto& [id, w] : world.agents) {
        if (i++ % 10 == 0 && w->alive()) some.push_back(id);
      }
      for (const auto& id : some) {
        if (f.kind == Fault::Kind::kReplaced) {
          world.ReplaceMachine(id);
        } else {
          world.agents.at(id)->Restart(f.pick % 2 == 0);
        }
      }
      return;
    }
    case Fault::Kind::kSpotTaken: {
      const std::string& zone = world.settings.zones[f.pick % world.settings.zones.size()];
      size_t i = f.pick;
      for (auto& [id, w] : world.agents) {
        if (w->spot() && w->zone() == zone && w->alive() && i++ % 2 == 0) w->Terminate();
      }
      return;
    }
    case Fault::Kind::kCapacity: {
      const size_t taken = world.capacity / 2;
      world.capacity -= taken;
      world.clock.After(f.for_s, [this, taken] { world.capacity += taken; });
      return;
    }
    case Fault::Kind::kLateWrites:
      world.late_writes_until = world.clock.now() + f.for_s;
      world.late_writes_share = 0.2 + 0.1 * static_cast<double>(f.pick % 6);
      return;
    case Fault::Kind::kRestartConfirmer:
      for (auto& c : controllers) {
        if (c->name() == world.observed.last_confirmer) c->Crash(AtOnce(f));
      }
      return;
    case Fault::Kind::kCutAgentsOutbound:
    case Fault::Kind::kSlowLinks:
    case Fault::Kind::kDelayHeartbeats: {
      // A zone's, all, or one in three.
      const std::string& zone = world.settings.zones[f.pick % world.settings.zones.size()];
      size_t i = f.pick;
      for (auto& [id, w] : world.agents) {
        ++i;
        if (f.pick % 3 == 0 ? w->zone() != zone : f.pick % 3 == 1 && i % 3 != 0) continue;
        if (f.kind == Fault::Kind::kCutAgentsOutbound) w->CutOutbound(f.for_s);
        if (f.kind == Fault::Kind::kSlowLinks) net.Slow(id, 150, f.for_s);
        if (f.kind != Fault::Kind::kDelayHeartbeats) continue;
        for (const auto& node : world.nodes) net.CutOneWay(id, node, f.for_s, true);
      }
      return;
    }
    case Fault::Kind::kCutZoneWhole: {
      // The state service, the cloud and the users are regional; with its controllers cut from them
      // too, or not.
      const std::string& zone = world.settings.zones[f.pick % world.settings.zones.size()];
      const auto inside = [&](const std::string& node) { return world.ZoneOf(node) == zone; };
      for (const auto& node : world.nodes) {
        for (const auto& other : world.nodes) {
          if (inside(node) && !inside(other)) net.Cut(node, other, f.for_s, f.hold);
        }
        for (auto& [id, w] : world.agents) {
          if (inside(node) != (w->zone() == zone)) net.Cut(node, id, f.for_s, f.hold);
        }
        if (!inside(node) || f.pick / 2 % 3 == 0) continue;
        for (const char* host : {"state", "cloud", "users"}) net.Cut(node, host, f.for_s, f.hold);
      }
      return;
    }
    case Fault::Kind::kDelayAnswers:
      world.delayed_answers_until = world.clock.now() + f.for_s;
      return;
    case Fault::Kind::kStopAll:
      for (auto& c : controllers) c->Crash(f.for_s);
      return;
    case Fault::Kind::kCancelNow:
    case Fault::Kind::kCancelAtEnd:
    case Fault::Kind::kOddRequests:
      if (on_users) on_users(f);
      return;
    case Fault::Kind::kKinds:
      return;
  }
}

}  // namespace mosspath::simulation
