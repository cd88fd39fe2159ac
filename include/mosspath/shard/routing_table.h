// Which controller commands which machine, as the state service shows it to every controller: the
// records of the machines say under which shard lease one is held, and the records of the shards
// who holds that lease (docs/sharding.md). Pure.
#pragma once

#include <cstdint>
#include <map>
#include <string>

#include "mosspath/kvstore/ids.h"
#include "mosspath/wire/json.h"

namespace mosspath::shard {

class RoutingTable {
 public:
  struct MachineRoute {
    std::string address;
    uint64_t lease = kvstore::kNoLease;      // of the shard that has the machine
    uint64_t version = kvstore::kKeyAbsent;  // of the record that says so
    uint64_t handover_revision = 0;          // counts the handovers of the machine
  };

  void Clear() {
    packs_.clear();
    leases_.clear();
  }
  // The controller holds its shard under this lease; kvstore::kNoLease: it holds none.
  void OnLease(const std::string& node, uint64_t lease);
  // A pack of the machines' record; null: it was deleted. Throws what the record's decoder throws.
  void OnPack(int pack, const wire::Json* value, uint64_t version);

  // The lease of the controller's shard, or kvstore::kNoLease.
  [[nodiscard]] uint64_t LeaseOf(const std::string& node) const;
  // The controller that commands the machine; empty: the leader does.
  [[nodiscard]] std::string HolderOf(const std::string& machine) const;
  // The machines that are held under the lease, by their names.
  [[nodiscard]] std::map<std::string, MachineRoute> MachinesUnder(uint64_t lease) const;
  // The same of one pack only.
  [[nodiscard]] std::map<std::string, MachineRoute> MachinesUnder(uint64_t lease, int pack) const;
  [[nodiscard]] bool IsUnder(uint64_t lease, const std::string& machine) const;
  // The holders of all leases.
  [[nodiscard]] const std::map<uint64_t, std::string>& leases() const { return leases_; }

 private:
  using Routes = std::map<std::string, MachineRoute>;
  static void AddMachinesUnder(uint64_t lease, const Routes& from, Routes& to);

  std::map<int, Routes> packs_;  // only machines that have a lease
  std::map<uint64_t, std::string> leases_;
};

}  // namespace mosspath::shard
