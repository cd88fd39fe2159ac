#include "mosspath/scheduler/provisioning_tracker.h"

#include <algorithm>
#include <set>
#include <utility>

#include "mosspath/scheduler/shard_leases.h"
#include "mosspath/scheduler/time_points.h"

namespace mosspath::scheduler {

using cluster::Machine;

namespace {

// Deleted machines whose late heartbeats are still recognized.
constexpr size_t kMaxDeletedMachines = 4096;
// Boot times after which a machine that has not come up is given up.
constexpr double kBootPatienceBoots = 2.5;
// Agent leases after which a machine that is up, but has not found the leader, is given up.
constexpr double kUpPatienceLeases = 4;
// An urgent job is recent for the longer of so many boot times and so many heartbeat intervals.
constexpr double kRecentBoots = 2;
constexpr double kRecentHeartbeats = 10;
// Times its usual lag that the cloud's list is allowed.
constexpr double kListLagFactor = 2;
// Heartbeat intervals before a list was requested, in which a machine must have been silent to
// count as missing from it.
constexpr double kMissingHeartbeats = 2;

Machine* FindMachine(const ProvisioningTracker::MachineMaps& all_machines, const std::string& id) {
  for (cluster::Machines* machines : all_machines) {
    if (const auto it = machines->find(id); it != machines->end()) return &it->second;
  }
  return nullptr;
}

// Whether the machine is accounted for without its agent having to report to this controller.
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

// A machine that has not been heard of yet: booting, provisioned by an earlier leader, or never
// coming up.
void ProvisioningTracker::TakeListedBooting(const wire::ListedMachine& listed, double now) {
  const auto [it, added] = booting_.try_emplace(listed.id);
  BootingMachine& machine = it->second;
  if (added) {
    machine.offer = {listed.type, listed.zone, listed.spot, 1};
    machine.since = now - listed.age_s;
  }
  // The age of a machine that is up says nothing: its agent may just not have found us yet.
  if (listed.state == wire::MachineState::kRunning && !machine.up) {
    machine.up = true;
    machine.since = now;
  }
  if (listed.state == wire::MachineState::kFailed) machine.since = kLongAgo;
}

// The list lags, but keeps what it has shown until it is gone: a silent machine that the list no
// longer shows has been reclaimed.
void ProvisioningTracker::MarkMissing(const std::vector<wire::ListedMachine>& listed,
                                      const MachineMaps& all_machines, double requested_at) const {
  std::set<std::string> listed_ids;
  for (const auto& entry : listed) listed_ids.insert(entry.id);
  const double listed_if_known_by = requested_at - kListLagFactor * list_lag_s_ - heartbeat_s_;
  const double silent_since = requested_at - kMissingHeartbeats * heartbeat_s_;
  for (cluster::Machines* machines : all_machines) {
    for (auto& [id, machine] : *machines) {
      const double known_at =
          machine.address.empty() ? machine.lease_renewed_at : machine.first_contact_at;
      const double heard_at = std::max(machine.last_contact_at, known_at);
      if (!listed_ids.contains(id) && known_at < listed_if_known_by && heard_at < silent_since) {
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
