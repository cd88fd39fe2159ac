#include "mosspath/shard/routing_table.h"

#include <utility>

#include "mosspath/scheduler/durable_state.h"

namespace mosspath::shard {

void RoutingTable::OnLease(const std::string& node, uint64_t lease) {
  std::erase_if(leases_, [&](const auto& entry) { return entry.second == node; });
  if (lease != kvstore::kNoLease) leases_[lease] = node;
}

void RoutingTable::OnPack(int pack, const wire::Json* value, uint64_t version) {
  packs_.erase(pack);
  if (value == nullptr || !value->is_object()) return;
  Routes& routes = packs_[pack];
  for (const auto& [machine, encoded] : value->items()) {
    scheduler::MachineRecord record = scheduler::DecodeMachineRecord(encoded);
    if (record.lease == kvstore::kNoLease) continue;
    routes[machine] = {std::move(record.address), record.lease, version, record.handover_revision};
  }
}

uint64_t RoutingTable::LeaseOf(const std::string& node) const {
  for (const auto& [lease, holder] : leases_) {
    if (holder == node) return lease;
  }
  return kvstore::kNoLease;
}

std::string RoutingTable::HolderOf(const std::string& machine) const {
  for (const auto& [pack, routes] : packs_) {
    const auto route = routes.find(machine);
    if (route == routes.end()) continue;
    const auto holder = leases_.find(route->second.lease);
    if (holder != leases_.end()) return holder->second;
  }
  return {};
}

void RoutingTable::AddMachinesUnder(uint64_t lease, const Routes& from, Routes& to) {
  for (const auto& [machine, route] : from) {
    if (route.lease == lease) to.emplace(machine, route);
  }
}

std::map<std::string, RoutingTable::MachineRoute> RoutingTable::MachinesUnder(
    uint64_t lease) const {
  Routes machines;
  for (const auto& [pack, routes] : packs_) AddMachinesUnder(lease, routes, machines);
  return machines;
}

std::map<std::string, RoutingTable::MachineRoute> RoutingTable::MachinesUnder(uint64_t lease,
                                                                              int pack) const {
  Routes machines;
  const auto routes = packs_.find(pack);
  if (routes != packs_.end()) AddMachinesUnder(lease, routes->second, machines);
  return machines;
}

bool RoutingTable::IsUnder(uint64_t lease, const std::string& machine) const {
  for (const auto& [pack, routes] : packs_) {
    const auto route = routes.find(machine);
    if (route != routes.end() && route->second.lease == lease) return true;
  }
  return false;
}

}  // namespace mosspath::shard
