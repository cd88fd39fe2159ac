#include "mosspath/scheduler/provisioning_tracker.h"

#include <algorithm>
#include <set>

namespace mosspath::scheduler {
namespace {

constexpr size_t kMaxDead = 4096;
constexpr double kBootPatience = 2.5;  // boot times after which a machine is given up
constexpr double kLatelyBoots = 2;     // boot times, or
constexpr double kLatelyReports = 10;  // reports, over which the largest urgent job counts
constexpr double kUpPatience = 4;      // leases, for a machine that is up to find us

cluster::Machine* Find(const ProvisioningTracker::Fleet& fleet, const std::string& id) {
  for (cluster::Machines* machines : fleet) {
    if (const auto it = machines->find(id); it != machines->end()) return &it->second;
  }
  return nullptr;
}

}  // namespace

ProvisioningTracker::ProvisioningTracker(const config::Settings& settings,
                                         const config::DerivedSettings& derived)
    : report_s_(settings.heartbeat_s),
      lease_s_(settings.agent_lease_s),
      list_lag_s_(settings.machine_list_lag_s),
      silent_s_(derived.agent_suspect_s) {}

void ProvisioningTracker::OnProvisioned(const std::vector<std::string>& ids,
                                        const autoscaler::ScaleOutRequest& offer,
                                        const Fleet& fleet, double now) {
  for (const auto& id : ids) {
    if (deleted_at_.contains(id)) continue;
    const cluster::Machine* m = Find(fleet, id);
    if (m != nullptr && !m->address.empty()) continue;
    booting_[id] = {{offer.type, offer.zone, offer.spot, 1}, now, false};
  }
}

void ProvisioningTracker::OnRefused(const autoscaler::ScaleOutRequest& offer, double until) {
  closed_until_[{offer.type, offer.zone, offer.spot}] = until;
}

void ProvisioningTracker::OnMachineDeleted(const std::string& id, double now) {
  booting_.erase(id);
  deleted_at_[id] = now;
  while (deleted_at_.size() > kMaxDead) {
    deleted_at_.erase(std::min_element(deleted_at_.begin(), deleted_at_.end(),
                                       [](auto& a, auto& b) { return a.second < b.second; }));
  }
}

void ProvisioningTracker::OnMachineList(const std::vector<wire::ListedMachine>& listed,
                                        const Fleet& fleet, double asked, double now) {
  std::set<std::string> names;
  for (const auto& l : listed) {
    names.insert(l.id);
    if (deleted_at_.contains(l.id)) continue;
    const bool failed = l.state == wire::MachineState::kFailed;
    if (cluster::Machine* m = Find(fleet, l.id)) {
      m->failed = failed;
      m->missing_from_list = false;
      if (!m->address.empty() || m->awaits_recovery || m->shard_lease != 0) continue;
    }
    // Not heard of yet: booting, rented by an earlier leader, or never coming up.
    auto [it, added] = booting_.try_emplace(l.id);
    BootingMachine& b = it->second;
    if (added) {
      b.offer = {l.type, l.zone, l.spot, 1};
      b.since = now - l.age_s;
    }
    // Its age says nothing about a machine that is up: its worker may just not have found us yet.
    if (l.state == wire::MachineState::kRunning && !b.up) {
      b.up = true;
      b.since = now;
    }
    if (failed) b.since = -1e18;
  }
  // The list lags, but keeps what it has shown until it is gone: a silent machine that it no
  // longer shows has been taken.
  const double settled_by = asked - 2 * list_lag_s_ - report_s_;
  for (cluster::Machines* machines : fleet) {
    for (auto& [id, m] : *machines) {
      const double known = m.address.empty() ? m.lease_renewed_at : m.first_contact_at;
      const double heard = std::max(m.last_contact_at, known);
      if (!names.contains(id) && known < settled_by && heard < asked - 2 * report_s_) {
        m.missing_from_list = true;
      }
    }
  }
}

double ProvisioningTracker::LargestBurstCpus(double now, const cluster::MachineTypeCatalog& types) {
  double boot_s = 0;
  for (const auto& [name, t] : types.all()) boot_s = std::max(boot_s, t.boot_s);
  const double lately = std::max(kLatelyBoots * boot_s, kLatelyReports * report_s_);
  std::erase_if(arrivals_, [&](const Arrival& a) { return now - a.at > lately; });
  double most = 0;
  for (const Arrival& a : arrivals_) most = std::max(most, a.cpus);
  return most;
}

void ProvisioningTracker::AppendBootingMachines(double now,
                                                const cluster::MachineTypeCatalog& types,
                                                std::vector<autoscaler::FleetMachine>& units,
                                                std::vector<std::string>& hopeless) const {
  for (const auto& [id, b] : booting_) {
    const auto* t = types.Find(b.offer.type);
    const double patience =
        b.up ? kUpPatience * lease_s_
             : (t != nullptr ? t->boot_s : lease_s_) * kBootPatience + 2 * list_lag_s_ + silent_s_;
    if (now - b.since > patience) {
      hopeless.push_back(id);
      continue;
    }
    autoscaler::FleetMachine u;
    u.id = id;
    u.type = b.offer.type;
    u.zone = b.offer.zone;
    u.spot = b.offer.spot;
    u.schedulable = true;
    units.push_back(std::move(u));
  }
}

}  // namespace mosspath::scheduler
