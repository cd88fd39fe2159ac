// Maps each machine to the controller that commands it, from the records in the state service,
// which every controller reads. A machine's record names the shard lease under which the machine is
// held; the record of that lease names the holder (docs/sharding.md). Pure.
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
    uint64_t lease = kvstore::kNoLease;      // of the shard that holds the machine
    uint64_t version = kvstore::kKeyAbsent;  // of the pack that contains the machine's record
    uint64_t handover_revision = 0;          // rises with each handover of the machine
  };

  void Clear() {
    packs_.clear();
    leases_.clear();
  }
  // Sets the lease under which the controller holds its shard; kvstore::kNoLease: it holds none.
  void OnLease(const std::string& node, uint64_t lease);
  // Replaces the routes of a pack of machine records; null: the pack was deleted. Passes on the
  // exceptions of the record decoder.
  void OnPack(int pack, const wire::Json* value, uint64_t version);

  // Returns the lease of the controller's shard, or kvstore::kNoLease.
  [[nodiscard]] uint64_t LeaseOf(const std::string& node) const;
  // Returns the controller that commands the machine; empty if the leader does.
  [[nodiscard]] std::string HolderOf(const std::string& machine) const;
  // Returns the machines that are held under the lease, by name.
  [[nodiscard]] std::map<std::string, MachineRoute> MachinesUnder(uint64_t lease) const;
  // Returns the machines of one pack that are held under the lease, by name.
  [[nodiscard]] std::map<std::string, MachineRoute> MachinesUnder(uint64_t lease, int pack) const;
  [[nodiscard]] bool IsUnder(uint64_t lease, const std::string& machine) const;
  // Returns the holder of each lease.
  [[nodiscard]] const std::map<uint64_t, std::string>& leases() const { return leases_; }

 private:
  using Routes = std::map<std::string, MachineRoute>;
  static void AddMachinesUnder(uint64_t lease, const Routes& from, Routes& to);

  std::map<int, Routes> packs_;  // only machines that have a lease
  std::map<uint64_t, std::string> leases_;
};

}  // namespace mosspath::shard
