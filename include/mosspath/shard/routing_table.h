// Who commands which machine, as the state service shows it to every controller: the record of
// machines says under which lease one is held, the blocks' records who holds that lease. Pure.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <utility>

#include "mosspath/wire/json.h"

namespace mosspath::shard {

class RoutingTable {
 public:
  struct MachineRoute {
    std::string address;
    uint64_t lease = 0;
    uint64_t version = 0;            // of the record that says so
    uint64_t handover_revision = 0;  // which time it was handed over
  };

  void Clear() {
    packs_.clear();
    leases_.clear();
  }
  // The node holds its block under this lease; 0: it holds none.
  void OnLease(const std::string& node, uint64_t lease);
  // A pack of the machines' record; null: it is no more.
  void OnPack(int pack, const wire::Json* value, uint64_t version);

  uint64_t LeaseOf(const std::string& node) const;
  // The controller that commands the machine; empty: the leader does.
  std::string HolderOf(const std::string& machine) const;
  // The machines held under that lease.
  std::map<std::string, MachineRoute> MachinesUnder(uint64_t lease) const;
  // Of one pack only.
  std::map<std::string, MachineRoute> MachinesUnder(uint64_t lease, int pack) const;
  bool IsUnder(uint64_t lease, const std::string& machine) const;
  const std::map<uint64_t, std::string>& leases() const { return leases_; }

 private:
  std::map<int, std::map<std::string, MachineRoute>> packs_;  // entries with a lease
  std::map<uint64_t, std::string> leases_;
};

}  // namespace mosspath::shard
