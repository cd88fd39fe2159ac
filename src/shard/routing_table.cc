#include "mosspath/shard/routing_table.h"

#include "mosspath/scheduler/durable_state.h"

namespace mosspath::shard {

void RoutingTable::OnLease(const std::string& node, uint64_t lease) {
  std::erase_if(leases_, [&](const auto& l) { return l.second == node; });
  if (lease != 0) leases_[lease] = node;
}

void RoutingTable::OnPack(int pack, const wire::Json* value, uint64_t version) {
  packs_.erase(pack);
  if (value == nullptr || !value->is_object()) return;
  auto& entries = packs_[pack];
  for (const auto& [id, text] : value->items()) {
    auto [address, lease, handed] = scheduler::DecodeMachineRecord(text);
    if (lease != 0) entries[id] = {std::move(address), lease, version, handed};
  }
}

uint64_t RoutingTable::LeaseOf(const std::string& node) const {
  for (const auto& [lease, holder] : leases_) {
    if (holder == node) return lease;
  }
  return 0;
}

std::string RoutingTable::HolderOf(const std::string& machine) const {
  for (const auto& [pack, entries] : packs_) {
    const auto it = entries.find(machine);
    if (it == entries.end()) continue;
    const auto lease = leases_.find(it->second.lease);
    if (lease != leases_.end()) return lease->second;
  }
  return {};
}

std::map<std::string, RoutingTable::MachineRoute> RoutingTable::MachinesUnder(
    uint64_t lease) const {
  std::map<std::string, MachineRoute> out;
  for (const auto& [pack, entries] : packs_) {
    for (const auto& [id, e] : entries) {
      if (e.lease == lease) out.emplace(id, e);
    }
  }
  return out;
}

std::map<std::string, RoutingTable::MachineRoute> RoutingTable::MachinesUnder(uint64_t lease,
                                                                              int pack) const {
  std::map<std::string, MachineRoute> out;
  const auto entries = packs_.find(pack);
  if (entries == packs_.end()) return out;
  for (const auto& [id, e] : entries->second) {
    if (e.lease == lease) out.emplace(id, e);
  }
  return out;
}

bool RoutingTable::IsUnder(uint64_t lease, const std::string& machine) const {
  for (const auto& [pack, entries] : packs_) {
    const auto it = entries.find(machine);
    if (it != entries.end() && it->second.lease == lease) return true;
  }
  return false;
}

}  // namespace mosspath::shard
