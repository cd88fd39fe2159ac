#include "simulation/simulated_environment.h"

#include <algorithm>
#include <iterator>
#include <utility>

#include "mosspath/jobs/job_index.h"
#include "simulation/store_keys.h"

namespace mosspath::simulation {
namespace {

constexpr size_t kNameDigits = 6;
// Bounds of a machine's boot time, as multiples of the boot time of the machine's type.
constexpr double kMinBootFactor = 0.6;
constexpr double kMaxBootFactor = 1.5;
// Upper bounds of the delays of repeated requests.
constexpr double kMaxPromptRepeatS = 0.5;
constexpr double kMaxLateRepeatS = 15;
constexpr double kMaxRepeatDelayLeases = 3;

}  // namespace

SimulatedEnvironment::SimulatedEnvironment(config::Settings deployment_settings,
                                           std::vector<wire::MachineType> machine_types,
                                           uint64_t seed)
    : settings(std::move(deployment_settings)),
      types(std::move(machine_types)),
      random(seed),
      network(clock, random),
      store(clock, decisions),
      rule_checker(settings, types) {}

void SimulatedEnvironment::RepeatLater(std::function<void()> carry_out) {
  if (clock.now() >= repeated_requests_until) return;
  // A third of the copies arrives at once, a third within seconds, and a third within leases.
  const double max_delays_s[] = {kMaxPromptRepeatS, kMaxLateRepeatS,
                                 kMaxRepeatDelayLeases * settings.agent_lease_s};
  const double max_delay_s = max_delays_s[random.Below(std::size(max_delays_s))];
  clock.After(random.Uniform(0, max_delay_s), [this, carry_out = std::move(carry_out)] {
    ++observed.repeated_requests;
    carry_out();
  });
}

std::string SimulatedEnvironment::ZoneOf(const std::string& node) const {
  const auto it = std::find(nodes.begin(), nodes.end(), node);
  return settings.zones[static_cast<size_t>(it - nodes.begin()) % settings.zones.size()];
}

void SimulatedEnvironment::Submit(const wire::JobSpec& spec) {
  specs[spec.id] = spec;
  rule_checker.OnSubmitted(spec, clock.now());
}

void SimulatedEnvironment::Accept(const wire::JobSpec& spec) {
  Submit(spec);
  store.Commit({}, {{kJobPrefix + spec.id, jobs::JobRecords::EncodeEntry(spec, 0)}});
}

uint64_t SimulatedEnvironment::Cancel(const std::string& id) {
  const std::string key = kJobPrefix + id;
  const uint64_t version = store.VersionOf(key);
  if (version == 0) return 0;
  const wire::Json final_record = jobs::EncodeFinalRecord(jobs::JobStatus::kCancelled);
  return store.Commit({{key, version}}, {{key, std::nullopt}, {kFinalPrefix + id, final_record}});
}

std::string SimulatedEnvironment::NextMachineName() {
  const std::string number = std::to_string(next_machine_++);
  return "vm-" + std::string(kNameDigits - std::min(kNameDigits, number.size()), '0') + number;
}

SimulatedAgent& SimulatedEnvironment::Add(const std::string& id, const std::string& type,
                                          const std::string& zone, bool spot) {
  const auto found = std::find_if(types.begin(), types.end(),
                                  [&](const auto& candidate) { return candidate.name == type; });
  auto& agent = agents[id];
  agent = std::make_unique<SimulatedAgent>(*this, id, *found, zone, spot);
  return *agent;
}

SimulatedAgent& SimulatedEnvironment::AddMachine(const std::string& type, const std::string& zone,
                                                 bool spot) {
  return Add(NextMachineName(), type, zone, spot);
}

std::string SimulatedEnvironment::RentMachine(const std::string& type, const std::string& zone,
                                              bool spot) {
  const auto up = static_cast<size_t>(std::count_if(
      agents.begin(), agents.end(), [](const auto& entry) { return entry.second->alive(); }));
  const std::string id = up + booting_ < capacity ? NextMachineName() : "";
  decisions.OnMachineRequested(clock.now(), type, zone, spot, id);
  if (id.empty()) return id;
  ++booting_;
  const double boot_s = types.front().boot_s * random.Uniform(kMinBootFactor, kMaxBootFactor);
  clock.After(boot_s, [this, id, type, zone, spot] {
    --booting_;
    Add(id, type, zone, spot);
  });
  return id;
}

std::vector<wire::ListedMachine> SimulatedEnvironment::ListMachines() const {
  std::vector<wire::ListedMachine> listed;
  const double then = std::max(0.0, clock.now() - settings.machine_list_lag_s);
  for (const auto& [id, agent] : agents) {
    if (!agent->ExistedAt(then)) continue;
    listed.push_back({id, agent->address(), agent->type(), agent->zone(), agent->spot(),
                      wire::MachineState::kRunning, clock.now()});
  }
  return listed;
}

bool SimulatedEnvironment::RunsJob(const std::string& job) const {
  return std::any_of(agents.begin(), agents.end(), [&](const auto& entry) {
    return entry.second->alive() && entry.second->RunsJob(job);
  });
}

SimulatedAgent* SimulatedEnvironment::FindByAddress(const std::string& address) {
  for (auto& [id, agent] : agents) {
    if (agent->alive() && agent->address() == address) return agent.get();
  }
  return nullptr;
}

void SimulatedEnvironment::ReplaceMachine(const std::string& id) {
  SimulatedAgent& old = *agents.at(id);
  if (!old.alive()) return;
  old.Terminate();
  AddMachine(types.front().name, old.zone(), false).set_address(old.address());
}

void SimulatedEnvironment::DeleteMachine(const std::string& id) {
  decisions.OnMachineReturned(clock.now(), id);
  if (const auto found = agents.find(id); found != agents.end()) found->second->Terminate();
}

}  // namespace mosspath::simulation
