#include "mosspath/scheduler/provisioning_tracker.h"

#include <algorithm>
#include <set>
#include <utility>

#include "mosspath/scheduler/shard_leases.h"
#include "mosspath/scheduler/time_points.h"

namespace mosspath::scheduler {

using cluster::Machine;

namespace {

// The tracker keeps the ids of at most this many deleted machines, to recognize their late
// heartbeats.
constexpr size_t kMaxDeletedMachines = 4096;
// A booting machine is deleted if it has not come up after this many boot times of its type, plus
// the maximum lag of the cloud's list and the silence after which an agent is suspected.
constexpr double kBootPatienceBoots = 2.5;
// A machine that is up, but whose agent has not reached the leader after this many agent leases, is
// deleted.
constexpr double kUpPatienceLeases = 4;
// An urgent job is recent for this many boot times or heartbeat intervals, whichever is longer.
constexpr double kRecentBoots = 2;
constexpr double kRecentHeartbeats = 10;
// The cloud's list may lag by up to this many times its usual lag.
constexpr double kListLagFactor = 2;
// A machine that a list omits is marked as missing only if it was silent for this many heartbeat
// intervals before the list was requested.
constexpr double kMissingHeartbeats = 2;

Machine* FindMachine(const ProvisioningTracker::MachineMaps& all_machines, const std::string& id) {
  for (cluster::Machines* machines : all_machines) {
    if (const auto it = machines->find(id); it != machines->end()) return &it->second;
  }
  return nullptr;
}

// Returns whether the machine need not be tracked as booting: its agent has reported, the recovery
// already waits for it, or another controller commands it.
bool IsAccountedFor(const Machine& machine) {
  return !machine.address.empty() || machine.awaits_recovery || machine.shard_lease != kNoLease;
}

}  // namespace

ProvisioningTracker::ProvisioningTracker(const config::Settings& settings,
                                         const config::DerivedSettings& derived)
    : heartbeat_s_(settings.heartbeat_s),
      agent_lease_s_(settings.agent_lease_s),
      list_lag_s_(settings.machine_list_lag_s),
      agent_suspect_s_(derived.agent_suspect_s) {}

void ProvisioningTracker::OnProvisioned(const std::vector<std::string>& ids,
                                        const autoscaler::ScaleOutRequest& offer,
                                        const MachineMaps& all_machines, double now) {
  for (const auto& id : ids) {
    if (deleted_at_.contains(id)) continue;
    const Machine* machine = FindMachine(all_machines, id);
    const bool reports_already = machine != nullptr && !machine->address.empty();
    if (reports_already) continue;
    booting_[id] = {{offer.type, offer.zone, offer.spot, 1}, now, false};
  }
}

void ProvisioningTracker::OnRefused(const autoscaler::ScaleOutRequest& offer, double until) {
  closed_until_[{offer.type, offer.zone, offer.spot}] = until;
}

void ProvisioningTracker::OnMachineDeleted(const std::string& id, double now) {
  booting_.erase(id);
  deleted_at_[id] = now;
  while (deleted_at_.size() > kMaxDeletedMachines) {
    deleted_at_.erase(
        std::min_element(deleted_at_.begin(), deleted_at_.end(),
                         [](const auto& a, const auto& b) { return a.second < b.second; }));
  }
}

void ProvisioningTracker::OnMachineList(const std::vector<wire::ListedMachine>& listed,
                                        const MachineMaps& all_machines, double requested_at,
                                        double now) {
  for (const auto& entry : listed) {
    if (deleted_at_.contains(entry.id)) continue;
    if (Machine* machine = FindMachine(all_machines, entry.id)) {
      machine->failed = entry.state == wire::MachineState::kFailed;
      machine->missing_from_list = false;
      if (IsAccountedFor(*machine)) continue;
    }
    TakeListedBooting(entry, now);
  }
  MarkMissing(listed, all_machines, requested_at);
}

// Adds or updates a listed machine whose agent has not reported: it is booting, was provisioned by
// an earlier leader, or never comes up.
void ProvisioningTracker::TakeListedBooting(const wire::ListedMachine& listed, double now) {
  const auto [it, added] = booting_.try_emplace(listed.id);
  BootingMachine& machine = it->second;
  if (added) {
    machine.offer = {listed.type, listed.zone, listed.spot, 1};
    machine.since = now - listed.age_s;
  }
  // The time limit of a machine that is up starts when the list first reports the machine as
  // running. The age of the machine is ignored, because even the agent of an old machine may not
  // have had the time to reach this leader.
  if (listed.state == wire::MachineState::kRunning && !machine.up) {
    machine.up = true;
    machine.since = now;
  }
  if (listed.state == wire::MachineState::kFailed) machine.since = kLongAgo;
}

// Marks the silent machines that the list omits. A new machine may appear late in the cloud's
// list, but once listed, a machine stays in the list for as long as the machine exists. A silent
// machine that the list omits has therefore been reclaimed.
void ProvisioningTracker::MarkMissing(const std::vector<wire::ListedMachine>& listed,
                                      const MachineMaps& all_machines, double requested_at) const {
  std::set<std::string> listed_ids;
  for (const auto& entry : listed) listed_ids.insert(entry.id);
  const double listed_if_known_before = requested_at - kListLagFactor * list_lag_s_ - heartbeat_s_;
  const double silent_since = requested_at - kMissingHeartbeats * heartbeat_s_;
  for (cluster::Machines* machines : all_machines) {
    for (auto& [id, machine] : *machines) {
      const double known_at =
          machine.address.empty() ? machine.lease_renewed_at : machine.first_contact_at;
      const double heard_at = std::max(machine.last_contact_at, known_at);
      if (!listed_ids.contains(id) && known_at < listed_if_known_before &&
          heard_at < silent_since) {
        machine.missing_from_list = true;
      }
    }
  }
}

double ProvisioningTracker::LargestBurstCpus(double now, const cluster::MachineTypeCatalog& types) {
  double boot_s = 0;
  for (const auto& [name, type] : types.all()) boot_s = std::max(boot_s, type.boot_s);
  const double recent_s = std::max(kRecentBoots * boot_s, kRecentHeartbeats * heartbeat_s_);
  std::erase_if(urgent_jobs_,
                [&](const UrgentJob& job) { return now - job.submitted_at > recent_s; });
  double largest = 0;
  for (const UrgentJob& job : urgent_jobs_) largest = std::max(largest, job.cpus);
  return largest;
}

void ProvisioningTracker::AppendBootingMachines(double now,
                                                const cluster::MachineTypeCatalog& types,
                                                std::vector<autoscaler::FleetMachine>& machines,
                                                std::vector<std::string>& given_up) const {
  for (const auto& [id, booting] : booting_) {
    if (now - booting.since > BootPatienceS(booting, types)) {
      given_up.push_back(id);
      continue;
    }
    autoscaler::FleetMachine machine;
    machine.id = id;
    machine.type = booting.offer.type;
    machine.zone = booting.offer.zone;
    machine.spot = booting.offer.spot;
    machine.schedulable = true;
    machines.push_back(std::move(machine));
  }
}

double ProvisioningTracker::BootPatienceS(const BootingMachine& machine,
                                          const cluster::MachineTypeCatalog& types) const {
  if (machine.up) return kUpPatienceLeases * agent_lease_s_;
  const wire::MachineType* type = types.Find(machine.offer.type);
  const double boot_s = type != nullptr ? type->boot_s : agent_lease_s_;
  return boot_s * kBootPatienceBoots + kListLagFactor * list_lag_s_ + agent_suspect_s_;
}

}  // namespace mosspath::scheduler
