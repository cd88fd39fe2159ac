#include "simulation/cluster.h"

#include <spdlog/fmt/fmt.h>

#include <algorithm>

namespace mosspath::simulation {
namespace {

constexpr double kCheckIntervalS = 0.5;
constexpr uint64_t kChecksPerRoomCheck = 4;

// Returns whether the machine could run one more task of the job, by all of the job's requirements.
bool HasRoom(const SimulatedAgent& agent, const RuleChecker::WaitingJob& waiting) {
  const wire::JobSpec& spec = *waiting.spec;
  if (!agent.alive() || agent.fails_all_tasks || (agent.spot() && !spec.spot_allowed)) return false;
  if (spec.zone && *spec.zone != agent.zone()) return false;
  if (spec.types &&
      std::find(spec.types->begin(), spec.types->end(), agent.type()) == spec.types->end()) {
    return false;
  }
  const auto& by_zone = waiting.running_by_zone;
  const auto found = by_zone.find(agent.zone());
  const size_t in_zone = found == by_zone.end() ? 0 : found->second;
  if (spec.single_zone && !by_zone.empty() && in_zone == 0) return false;
  if (spec.spread_over_zones && in_zone + 1 > (spec.tasks + 1) / 2) return false;
  return cluster::Fits(cluster::TaskResources(spec), agent.resources() - agent.used());
}

}  // namespace

config::Settings SmallSettings() {
  config::Settings settings;
  settings.name = "hut-0";
  settings.controller_count = 3;
  settings.zones = {"east", "west"};
  settings.teams = {{"free", 0, 0, 0, 0}, {"tight", 4, 10, 0, 0}};
  settings.heartbeat_s = 1.5;
  settings.agent_lease_s = 10;
  settings.cancel_within_s = 20;
  settings.store_requests_per_s = 100;
  settings.store_writes_per_s = 25;
  settings.store_value_kb = 8;
  settings.store_transaction_changes = 8;
  settings.cloud_requests_per_s = 5;
  settings.machine_list_lag_s = 3;
  return settings;
}

wire::MachineType SmallType() {
  wire::MachineType type;
  type.name = "box";
  type.cpus = 8;
  type.memory_gb = 32;
  type.cache_gb = 20;
  type.fetch_gb_per_s = 1;
  type.price = 1;
  type.boot_s = 10;
  type.zones = {"east", "west"};
  return type;
}

SimulatedCluster::SimulatedCluster(const config::Settings& settings,
                                   const std::vector<wire::MachineType>& types,
                                   size_t controller_count, uint64_t seed)
    : world(settings, types, seed) {
  AddControllers(controller_count);
  world.network.on_sent = [this](const std::string& from) { OnMessageSent(from); };
  world.clock.After(kCheckIntervalS, [this] { CheckLoop(); });
}

void SimulatedCluster::AddControllers(size_t count) {
  for (size_t i = 0; i < count; ++i) world.nodes.push_back("hut-" + std::to_string(i));
  world.on_heartbeat = [this](const std::string& node, const wire::Heartbeat& heartbeat,
                              const SimulatedEnvironment::HeartbeatResponder& respond) {
    for (auto& controller : controllers) {
      if (controller->name() == node) controller->OnHeartbeat(heartbeat, respond);
    }
  };
  for (size_t i = 0; i < count; ++i) {
    // The controllers get a slow, an accurate and a fast clock in turn.
    const double drift = 1.0 + config::kMaxClockDrift * (static_cast<double>(i % 3) - 1);
    controllers.push_back(std::make_unique<SimulatedController>(world, world.nodes[i], drift));
  }
}

SimulatedController& SimulatedCluster::Leader(uint64_t fallback) {
  for (auto& controller : controllers) {
    if (controller->leading()) return *controller;
  }
  return *controllers[fallback % controllers.size()];
}

void SimulatedCluster::ScheduleFaults(const std::vector<Fault>& faults) {
  for (const Fault& fault : faults) {
    world.clock.At(fault.at, [this, fault] { ApplyFault(*this, fault); });
    world.rule_checker.OnFaultUntil(EndOfFault(fault, world.settings));
  }
}

void SimulatedCluster::RestartAfterMessages(uint64_t messages, double downtime_s) {
  messages_until_restart_ = messages;
  restart_downtime_s_ = downtime_s;
}

void SimulatedCluster::OnMessageSent(const std::string& from) {
  if (messages_until_restart_ == 0) return;
  for (auto& controller : controllers) {
    if (controller->name() != from || !controller->electing()) continue;
    if (--messages_until_restart_ > 0) continue;
    // The crash is a separate event, so that the event that sends the message completes first.
    world.clock.After(0, [this, &controller] { controller->Crash(restart_downtime_s_); });
  }
}

void SimulatedCluster::CheckLoop() {
  Check();
  world.clock.After(kCheckIntervalS, [this] { CheckLoop(); });
}

void SimulatedCluster::Check() {
  const double now = world.clock.now();
  world.rule_checker.CheckNow(now);
  if (now > world.rule_checker.faults_until() && ++checks_ % kChecksPerRoomCheck == 0) CheckRoom();
  CheckRecovery();
}

// Even if machines are unreachable, recovery completes within the sum of four times: the time in
// which agents try all controllers, one agent lease for machines that the leader can't query, one
// agent lease for machines that don't receive the leader's messages, and one heartbeat interval.
void SimulatedCluster::CheckRecovery() {
  const double now = world.clock.now();
  const config::DerivedSettings derived(world.settings);
  const double max_recovery_s =
      derived.agents_try_all_s + 2 * derived.agent_lease_over_s + world.settings.heartbeat_s;
  for (auto& controller : controllers) {
    if (!controller->up() || !controller->leading() ||
        controller->leader_scheduler()->recovery_complete()) {
      recoveries_.erase(controller->name());
      continue;
    }
    const uint64_t token = controller->token();
    Recovery& recovery =
        recoveries_.try_emplace(controller->name(), Recovery{token, now}).first->second;
    if (recovery.token != token) recovery = Recovery{token, now};
    if (recovery.reported || now - recovery.since <= max_recovery_s) continue;
    recovery.reported = true;
    world.rule_checker.AddBreach(
        fmt::format("unsettled: {} for {:.0f} s", controller->name(), max_recovery_s));
  }
}

void SimulatedCluster::CheckRoom() {
  for (const auto& waiting : world.rule_checker.WaitingJobs()) {
    world.rule_checker.OnMachinesWithRoom(waiting.spec->id, MachinesWithRoom(waiting),
                                          world.clock.now());
  }
}

std::vector<std::string> SimulatedCluster::MachinesWithRoom(
    const RuleChecker::WaitingJob& waiting) const {
  std::vector<std::string> machines;
  if (!waiting.team_has_room || world.faulty_jobs.contains(waiting.spec->id)) return machines;
  for (const auto& [id, agent] : world.agents) {
    if (HasRoom(*agent, waiting)) machines.push_back(id);
  }
  return machines;
}

}  // namespace mosspath::simulation
