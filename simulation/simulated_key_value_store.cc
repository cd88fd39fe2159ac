#include "simulation/simulated_key_value_store.h"

namespace mosspath::simulation {

void SimulatedKeyValueStore::Outage(double duration_s) {
  ExpireLeases();
  down_until_ = clock_.now() + duration_s;
  for (auto& [id, lease] : leases_) lease.until = down_until_ + lease.life_s;
}

void SimulatedKeyValueStore::ExpireLeases() {
  if (!up()) return;
  for (auto lease = leases_.begin(); lease != leases_.end();) {
    if (lease->second.until > clock_.now()) {
      ++lease;
      continue;
    }
    RemoveEntriesOf(lease->first);
    lease = leases_.erase(lease);
  }
}

void SimulatedKeyValueStore::RemoveEntriesOf(uint64_t lease) {
  for (auto entry = entries_.begin(); entry != entries_.end();) {
    if (entry->second.lease != lease) {
      ++entry;
      continue;
    }
    ++revision_;
    entry = entries_.erase(entry);
  }
}

uint64_t SimulatedKeyValueStore::GrantLease(double life_s) {
  ExpireLeases();
  leases_[next_lease_] = {life_s, clock_.now() + life_s};
  return next_lease_++;
}

bool SimulatedKeyValueStore::RenewLease(uint64_t lease) {
  ExpireLeases();
  const auto found = leases_.find(lease);
  if (found == leases_.end()) return false;
  found->second.until = clock_.now() + found->second.life_s;
  return true;
}

void SimulatedKeyValueStore::RevokeLease(uint64_t lease) {
  if (const auto found = leases_.find(lease); found != leases_.end()) {
    found->second.until = clock_.now();
  }
  ExpireLeases();
}

uint64_t SimulatedKeyValueStore::Commit(const std::vector<Condition>& conditions,
                                        const std::vector<Change>& changes, uint64_t lease) {
  ExpireLeases();
  if (lease != 0 && !leases_.contains(lease)) return 0;
  for (const Condition& condition : conditions) {
    if (VersionOf(condition.key) != condition.version) return 0;
  }
  ++revision_;
  for (const Change& change : changes) {
    decisions_.OnStoreChange(clock_.now(), change.key, change.value, lease);
    if (change.value) {
      entries_[change.key] = {*change.value, revision_, lease};
    } else {
      entries_.erase(change.key);
    }
  }
  return revision_;
}

const std::map<std::string, SimulatedKeyValueStore::Entry>& SimulatedKeyValueStore::entries() {
  ExpireLeases();
  return entries_;
}

std::shared_ptr<const SimulatedKeyValueStore::View> SimulatedKeyValueStore::Snapshot() {
  ExpireLeases();
  if (!snapshot_ || snapshot_->revision != revision_) {
    snapshot_ = std::make_shared<const View>(View{entries_, revision_});
  }
  return snapshot_;
}

uint64_t SimulatedKeyValueStore::VersionOf(const std::string& key) {
  const auto entry = entries_.find(key);
  return entry == entries_.end() ? 0 : entry->second.version;
}

}  // namespace mosspath::simulation
