#include "simulation/faults.h"

#include <spdlog/fmt/fmt.h>

#include <algorithm>
#include <iterator>

#include "simulation/cluster.h"

namespace mosspath::simulation {
namespace {

using Kind = Fault::Kind;

constexpr double kMaxCrashS = 8;
constexpr double kCrashAllS = 3;
constexpr double kSlowStoreFactor = 10;
constexpr double kSlowLinkFactor = 150;
constexpr size_t kAffectedMachineStride = 10;  // a fault affects every tenth machine
// An inbound cut lasts this many times the fault's duration. Controllers can't distinguish a cut
// that is shorter than a few agent leases from a slow machine.
constexpr double kInboundCutFactor = 6;
constexpr double kMaxWriteDelayS = 12;  // maximum time from sending a store write to applying it
constexpr double kMaxDuplicateDelayLeases = 3;
// Messages over slow links, and the answers to these messages, arrive at most this long after the
// end of the fault.
constexpr double kLateDeliveryS = 30;
// A brief contact waits at most this long for a machine to receive an answer.
constexpr double kMaxContactHeartbeats = 2;
constexpr double kContactCheckS = 0.02;

// ---------------------------------------------------------------------------- affected hosts

SimulatedController& SelectedController(SimulatedCluster& cluster, const Fault& fault) {
  return *cluster.controllers[fault.selector % cluster.controllers.size()];
}

const std::string& SelectedZone(const SimulatedCluster& cluster, const Fault& fault) {
  const auto& zones = cluster.world.settings.zones;
  return zones[fault.selector % zones.size()];
}

// Returns every n-th machine of all machines, including terminated ones. The selector sets the
// offset.
std::vector<SimulatedAgent*> EveryNthAgent(SimulatedCluster& cluster, const Fault& fault,
                                           size_t n) {
  std::vector<SimulatedAgent*> selected;
  size_t index = fault.selector;
  for (auto& [id, agent] : cluster.world.agents) {
    if (index++ % n == 0) selected.push_back(agent.get());
  }
  return selected;
}

std::vector<SimulatedAgent*> EveryTenthAgentIfAlive(SimulatedCluster& cluster, const Fault& fault) {
  std::vector<SimulatedAgent*> selected = EveryNthAgent(cluster, fault, kAffectedMachineStride);
  std::erase_if(selected, [](const SimulatedAgent* agent) { return !agent->alive(); });
  return selected;
}

// Returns the machines of one zone, a third of all machines, or all machines, by the selector.
std::vector<SimulatedAgent*> AgentsOfGroup(SimulatedCluster& cluster, const Fault& fault) {
  constexpr size_t kGroups = 3;
  std::vector<SimulatedAgent*> selected;
  const uint64_t group = fault.selector % kGroups;
  const std::string& zone = SelectedZone(cluster, fault);
  size_t index = fault.selector;
  for (auto& [id, agent] : cluster.world.agents) {
    ++index;
    if (group == 0 && agent->zone() != zone) continue;
    if (group == 1 && index % kGroups != 0) continue;
    selected.push_back(agent.get());
  }
  return selected;
}

// Returns a restart time from 10 to 500 ms.
double RestartTime(const Fault& fault) {
  return 0.01 + 0.49 * static_cast<double>(fault.selector % 97) / 96;
}

// ---------------------------------------------------------------------------- controllers

void Crash(SimulatedCluster& cluster, const Fault& fault) {
  cluster.Leader(fault.selector).Crash(std::min(fault.duration_s, kMaxCrashS));
}

void CrashAll(SimulatedCluster& cluster, const Fault&) {
  for (auto& controller : cluster.controllers) controller->Crash(kCrashAllS);
}

void Freeze(SimulatedCluster& cluster, const Fault& fault) {
  cluster.Leader(fault.selector).Freeze(fault.duration_s);
}

void FreezeAny(SimulatedCluster& cluster, const Fault& fault) {
  SelectedController(cluster, fault).Freeze(fault.duration_s);
}

void LeaderReadsFail(SimulatedCluster& cluster, const Fault& fault) {
  cluster.Leader(fault.selector).FailReads(fault.duration_s);
}

void RestartLeader(SimulatedCluster& cluster, const Fault& fault) {
  cluster.Leader(fault.selector).Crash(RestartTime(fault));
}

void RestartAll(SimulatedCluster& cluster, const Fault& fault) {
  for (auto& controller : cluster.controllers) controller->Crash(RestartTime(fault));
}

void RestartAfterMessages(SimulatedCluster& cluster, const Fault& fault) {
  constexpr uint64_t kMaxMessages = 200;
  SimulatedController& leader = cluster.Leader(fault.selector);
  cluster.RestartAfterMessages(1 + fault.selector / 500 % kMaxMessages, RestartTime(fault));
  // For two of three selectors the leader also restarts now, so that the restart after n messages
  // happens during the election that follows.
  if (fault.selector % 3 != 0) leader.Crash(RestartTime(fault));
}

void RestartConfirmer(SimulatedCluster& cluster, const Fault& fault) {
  for (auto& controller : cluster.controllers) {
    if (controller->name() != cluster.world.observed.last_confirmer) continue;
    controller->Crash(RestartTime(fault));
  }
}

void StopAll(SimulatedCluster& cluster, const Fault& fault) {
  for (auto& controller : cluster.controllers) controller->Crash(fault.duration_s);
}

// ---------------------------------------------------------------------------- network

void CutFromPeers(SimulatedCluster& cluster, const Fault& fault, const std::string& node) {
  for (const auto& other : cluster.world.nodes) {
    if (other != node) cluster.world.network.Cut(node, other, fault.duration_s, fault.hold);
  }
}

void CutFromStore(SimulatedCluster& cluster, const Fault& fault, const std::string& node) {
  cluster.world.network.Cut(node, kStoreHost, fault.duration_s, fault.hold);
}

void CutStore(SimulatedCluster& cluster, const Fault& fault) {
  CutFromStore(cluster, fault, cluster.Leader(fault.selector).name());
}

void CutAgents(SimulatedCluster& cluster, const Fault& fault) {
  const std::string& leader = cluster.Leader(fault.selector).name();
  for (const auto& [id, agent] : cluster.world.agents) {
    cluster.world.network.Cut(leader, id, fault.duration_s, fault.hold);
  }
}

void CutPeers(SimulatedCluster& cluster, const Fault& fault) {
  CutFromPeers(cluster, fault, SelectedController(cluster, fault).name());
}

void CutZoneAgents(SimulatedCluster& cluster, const Fault& fault) {
  const std::string& zone = SelectedZone(cluster, fault);
  for (const auto& [id, agent] : cluster.world.agents) {
    if (agent->zone() != zone) continue;
    for (const auto& node : cluster.world.nodes) {
      cluster.world.network.Cut(node, id, fault.duration_s, true);
    }
  }
}

void LeaderOnlyAgentsReachable(SimulatedCluster& cluster, const Fault& fault) {
  const std::string& leader = cluster.Leader(fault.selector).name();
  CutFromStore(cluster, fault, leader);
  CutFromPeers(cluster, fault, leader);
}

void OnlyAgentsReachable(SimulatedCluster& cluster, const Fault& fault) {
  if (fault.selector % 2 == 0) return LeaderOnlyAgentsReachable(cluster, fault);
  const std::string& node = SelectedController(cluster, fault).name();
  CutFromStore(cluster, fault, node);
  CutFromPeers(cluster, fault, node);
}

void CutInbound(SimulatedEnvironment& world, const SimulatedAgent& agent, double duration_s,
                bool hold) {
  for (const auto& node : world.nodes) {
    world.network.CutOneWay(node, agent.id(), duration_s, hold);
  }
}

void CutAgentsInbound(SimulatedCluster& cluster, const Fault& fault) {
  // For one selector in five, every second machine is cut off; otherwise, every eighth machine.
  const size_t one_in = fault.selector % 5 == 0 ? 2 : 8;
  const double duration_s = kInboundCutFactor * fault.duration_s;
  for (const SimulatedAgent* agent : EveryNthAgent(cluster, fault, one_in)) {
    CutInbound(cluster.world, *agent, duration_s, fault.hold);
  }
}

// Cuts the agent off once it has received an answer after the one to the heartbeat `acknowledged`,
// or at `latest`.
void CutInboundAfterAnswer(SimulatedEnvironment& world, const SimulatedAgent& agent,
                           uint64_t acknowledged, double latest, const Fault& fault) {
  const bool answered = agent.acknowledged_sequence() > acknowledged;
  if (answered || world.clock.now() >= latest) {
    world.observed.busy_brief_contacts += answered && agent.running_tasks() > 0 ? 1 : 0;
    return CutInbound(world, agent, fault.duration_s, fault.hold);
  }
  world.clock.After(kContactCheckS, [&world, &agent, acknowledged, latest, fault] {
    CutInboundAfterAnswer(world, agent, acknowledged, latest, fault);
  });
}

double MaxContactS(const config::Settings& settings) {
  return kMaxContactHeartbeats * settings.heartbeat_s;
}

void BriefContact(SimulatedCluster& cluster, const Fault& fault) {
  SimulatedEnvironment& world = cluster.world;
  for (const SimulatedAgent* agent : AgentsOfGroup(cluster, fault)) {
    CutInbound(world, *agent, fault.duration_s, fault.hold);
    world.clock.After(fault.duration_s, [&world, agent, fault] {
      const double latest = world.clock.now() + MaxContactS(world.settings);
      CutInboundAfterAnswer(world, *agent, agent->acknowledged_sequence(), latest, fault);
    });
  }
}

void CutAgentsOutbound(SimulatedCluster& cluster, const Fault& fault) {
  for (SimulatedAgent* agent : AgentsOfGroup(cluster, fault)) {
    agent->CutOutbound(fault.duration_s);
  }
}

void DelayHeartbeats(SimulatedCluster& cluster, const Fault& fault) {
  for (const SimulatedAgent* agent : AgentsOfGroup(cluster, fault)) {
    for (const auto& node : cluster.world.nodes) {
      cluster.world.network.CutOneWay(agent->id(), node, fault.duration_s, true);
    }
  }
}

void SlowLinks(SimulatedCluster& cluster, const Fault& fault) {
  for (const SimulatedAgent* agent : AgentsOfGroup(cluster, fault)) {
    cluster.world.network.Slow(agent->id(), kSlowLinkFactor, fault.duration_s);
  }
}

// Partitions a zone from the other zones. The store, the cloud provider and the users are outside
// all zones. For two of three values of the selector, the partition also separates the zone's
// controllers from the store, the cloud provider and the users.
void PartitionZone(SimulatedCluster& cluster, const Fault& fault) {
  SimulatedEnvironment& world = cluster.world;
  const std::string& zone = SelectedZone(cluster, fault);
  const bool cut_from_region = fault.selector / 2 % 3 != 0;
  const auto inside = [&](const std::string& node) { return world.ZoneOf(node) == zone; };
  const auto cut = [&](const std::string& node, const std::string& host) {
    world.network.Cut(node, host, fault.duration_s, fault.hold);
  };
  for (const auto& node : world.nodes) {
    for (const auto& other : world.nodes) {
      if (inside(node) && !inside(other)) cut(node, other);
    }
    for (const auto& [id, agent] : world.agents) {
      if (inside(node) != (agent->zone() == zone)) cut(node, id);
    }
    if (!inside(node) || !cut_from_region) continue;
    for (const char* host : {kStoreHost, kCloudHost, kUsersHost}) cut(node, host);
  }
}

void DuplicateHeartbeats(SimulatedCluster& cluster, const Fault& fault) {
  cluster.world.duplicate_heartbeats_until = cluster.world.clock.now() + fault.duration_s;
}

void RepeatRequests(SimulatedCluster& cluster, const Fault& fault) {
  cluster.world.repeated_requests_until = cluster.world.clock.now() + fault.duration_s;
}

void DelayAnswers(SimulatedCluster& cluster, const Fault& fault) {
  cluster.world.delayed_answers_until = cluster.world.clock.now() + fault.duration_s;
}

// ---------------------------------------------------------------------------- store

void StoreOutage(SimulatedCluster& cluster, const Fault& fault) {
  if (cluster.world.store.up()) cluster.world.store.Outage(fault.duration_s);
}

void SlowStore(SimulatedCluster& cluster, const Fault& fault) {
  cluster.world.network.Slow(kStoreHost, kSlowStoreFactor, fault.duration_s);
}

void LateWrites(SimulatedCluster& cluster, const Fault& fault) {
  cluster.world.late_writes_until = cluster.world.clock.now() + fault.duration_s;
  cluster.world.late_writes_share = 0.2 + 0.1 * static_cast<double>(fault.selector % 6);
}

// ---------------------------------------------------------------------------- machines

void TerminateMachines(SimulatedCluster& cluster, const Fault& fault) {
  for (SimulatedAgent* agent : EveryTenthAgentIfAlive(cluster, fault)) agent->Terminate();
}

void HangMachines(SimulatedCluster& cluster, const Fault& fault) {
  for (SimulatedAgent* agent : EveryTenthAgentIfAlive(cluster, fault))
    agent->Hang(fault.duration_s);
}

void RestartMachines(SimulatedCluster& cluster, const Fault& fault) {
  const bool next_epoch = fault.selector % 2 == 0;
  for (SimulatedAgent* agent : EveryTenthAgentIfAlive(cluster, fault)) agent->Restart(next_epoch);
}

void ReplaceMachines(SimulatedCluster& cluster, const Fault& fault) {
  for (const SimulatedAgent* agent : EveryTenthAgentIfAlive(cluster, fault)) {
    cluster.world.ReplaceMachine(agent->id());
  }
}

void ReclaimSpot(SimulatedCluster& cluster, const Fault& fault) {
  const std::string& zone = SelectedZone(cluster, fault);
  size_t index = fault.selector;
  for (auto& [id, agent] : cluster.world.agents) {
    if (!agent->spot() || agent->zone() != zone || !agent->alive()) continue;
    if (index++ % 2 == 0) agent->Terminate();
  }
}

void HalveCapacity(SimulatedCluster& cluster, const Fault& fault) {
  SimulatedEnvironment& world = cluster.world;
  const size_t taken = world.capacity / 2;
  world.capacity -= taken;
  world.clock.After(fault.duration_s, [&world, taken] { world.capacity += taken; });
}

// ---------------------------------------------------------------------------- users

void NotifyUsers(SimulatedCluster& cluster, const Fault& fault) {
  if (cluster.on_user_fault) cluster.on_user_fault(fault);
}

// ---------------------------------------------------------------------------- end times

double AfterDuration(const Fault& fault, const config::Settings&) {
  return fault.at + fault.duration_s;
}

double AfterCrashAll(const Fault& fault, const config::Settings&) { return fault.at + kCrashAllS; }

double AfterInboundCut(const Fault& fault, const config::Settings&) {
  return fault.at + kInboundCutFactor * fault.duration_s;
}

double AfterDuplicates(const Fault& fault, const config::Settings& settings) {
  return fault.at + fault.duration_s + kMaxDuplicateDelayLeases * settings.agent_lease_s;
}

double AfterLateWrites(const Fault& fault, const config::Settings&) {
  return fault.at + fault.duration_s + kMaxWriteDelayS;
}

// Repeated requests must harm nobody, so they excuse no delay.
double AtOnce(const Fault& fault, const config::Settings&) { return fault.at; }

double AfterBriefContact(const Fault& fault, const config::Settings& settings) {
  return fault.at + 2 * fault.duration_s + MaxContactS(settings);
}

// Answers to direct commands are delayed by less than an agent lease.
double AfterLateDelivery(const Fault& fault, const config::Settings& settings) {
  return fault.at + fault.duration_s + std::max(kLateDeliveryS, settings.agent_lease_s);
}

// ---------------------------------------------------------------------------- table

struct FaultType {
  Kind kind;
  const char* name;
  void (*apply)(SimulatedCluster& cluster, const Fault& fault);
  double (*end)(const Fault& fault, const config::Settings& settings) = AfterDuration;
};

constexpr FaultType kFaultTypes[] = {
    {Kind::kCrash, "crash", Crash},
    {Kind::kCrashAll, "crash-all", CrashAll, AfterCrashAll},
    {Kind::kFreeze, "freeze", Freeze},
    {Kind::kFreezeAny, "freeze-any", FreezeAny},
    {Kind::kCutStore, "cut-store", CutStore},
    {Kind::kCutAgents, "cut-agents", CutAgents},
    {Kind::kCutPeers, "cut-peers", CutPeers},
    {Kind::kCutZoneAgents, "cut-zone-agents", CutZoneAgents},
    {Kind::kStoreOutage, "store-outage", StoreOutage},
    {Kind::kSlowStore, "slow-store", SlowStore},
    {Kind::kLeaderReadsFail, "leader-reads-fail", LeaderReadsFail},
    {Kind::kTerminateMachines, "terminate-machines", TerminateMachines},
    {Kind::kHangMachines, "hang-machines", HangMachines},
    {Kind::kCutAgentsInbound, "cut-agents-inbound", CutAgentsInbound, AfterInboundCut},
    {Kind::kDuplicateHeartbeats, "duplicate-heartbeats", DuplicateHeartbeats, AfterDuplicates},
    {Kind::kOnlyAgentsReachable, "only-agents-reachable", OnlyAgentsReachable},
    {Kind::kRestartLeader, "restart-leader", RestartLeader},
    {Kind::kRestartAll, "restart-all", RestartAll},
    {Kind::kRestartAfterMessages, "restart-after-messages", RestartAfterMessages},
    {Kind::kRestartMachines, "restart-machines", RestartMachines},
    {Kind::kReplaceMachines, "replace-machines", ReplaceMachines},
    {Kind::kReclaimSpot, "reclaim-spot", ReclaimSpot},
    {Kind::kHalveCapacity, "halve-capacity", HalveCapacity},
    {Kind::kLateWrites, "late-writes", LateWrites, AfterLateWrites},
    {Kind::kLeaderOnlyAgentsReachable, "leader-only-agents-reachable", LeaderOnlyAgentsReachable},
    {Kind::kRestartConfirmer, "restart-confirmer", RestartConfirmer},
    {Kind::kCutAgentsOutbound, "cut-agents-outbound", CutAgentsOutbound},
    {Kind::kPartitionZone, "partition-zone", PartitionZone},
    {Kind::kSlowLinks, "slow-links", SlowLinks, AfterLateDelivery},
    {Kind::kDelayHeartbeats, "delay-heartbeats", DelayHeartbeats},
    {Kind::kDelayAnswers, "delay-answers", DelayAnswers, AfterLateDelivery},
    {Kind::kStopAll, "stop-all", StopAll},
    {Kind::kCancelNow, "cancel-now", NotifyUsers},
    {Kind::kCancelAtEnd, "cancel-at-end", NotifyUsers},
    {Kind::kUnusualRequests, "unusual-requests", NotifyUsers},
    {Kind::kBriefContact, "brief-contact", BriefContact, AfterBriefContact},
    {Kind::kRepeatRequests, "repeat-requests", RepeatRequests, AtOnce},
};

constexpr bool TableMatchesEnumOrder() {
  for (size_t i = 0; i < std::size(kFaultTypes); ++i) {
    if (kFaultTypes[i].kind != static_cast<Kind>(i)) return false;
  }
  return std::size(kFaultTypes) == static_cast<size_t>(Kind::kKinds);
}
static_assert(TableMatchesEnumOrder());

const FaultType& FaultTypeOf(const Fault& fault) {
  return kFaultTypes[static_cast<size_t>(fault.kind)];
}

}  // namespace

std::string ToText(const Fault& fault) {
  return fmt::format("{:.1f} s: {} for {:.1f} s{} (pick {})", fault.at, FaultTypeOf(fault).name,
                     fault.duration_s, fault.hold ? ", held back" : "", fault.selector);
}

std::vector<Fault> DrawFaults(uint64_t seed, size_t count, double from, double to) {
  constexpr double kMinDurationS = 0.5;
  constexpr double kMaxDurationS = 25;
  constexpr uint64_t kSelectors = 1'000'000;
  Random random(seed);
  std::vector<Fault> faults;
  for (size_t i = 0; i < count; ++i) {
    // The order of these draws must not change. Otherwise a seed would give another schedule than
    // before.
    Fault fault;
    fault.kind = static_cast<Kind>(random.Below(kDrawnKinds));
    fault.at = random.Uniform(from, to);
    fault.duration_s = random.Uniform(kMinDurationS, kMaxDurationS);
    fault.hold = random.Below(2) == 0;
    fault.selector = random.Below(kSelectors);
    faults.push_back(fault);
  }
  SortByTime(faults);
  return faults;
}

void SortByTime(std::vector<Fault>& faults) {
  std::sort(faults.begin(), faults.end(),
            [](const Fault& a, const Fault& b) { return a.at < b.at; });
}

double EndOfFault(const Fault& fault, const config::Settings& settings) {
  return FaultTypeOf(fault).end(fault, settings);
}

void ApplyFault(SimulatedCluster& cluster, const Fault& fault) {
  FaultTypeOf(fault).apply(cluster, fault);
}

}  // namespace mosspath::simulation
