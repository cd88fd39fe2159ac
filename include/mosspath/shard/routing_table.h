// Maps each machine to the controller that commands the machine. The routes come from the records
// in the key-value store, which every controller reads: a machine's record names the shard lease
// under which the machine is held, and the record of that lease names the holder
// (docs/sharding.md). Does no I/O.
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
    uint64_t lease = kvstore::kNoLease;      // the shard lease under which the machine is held
    uint64_t version = kvstore::kKeyAbsent;  // version of the pack with the machine's record
    uint64_t handover_revision = 0;          // rises with each handover of the machine
  };

  void Clear() {
    packs_.clear();
    leases_.clear();
  }
  // Sets the lease under which the controller `node` holds its shard; kvstore::kNoLease: the
  // controller holds no shard.
  void OnLease(const std::string& node, uint64_t lease);
  // Replaces the routes of one pack (a key with the records of several machines). A null `value`
  // means that the pack was deleted. Passes on the exceptions of the record decoder.
  void OnPack(int pack, const wire::Json* value, uint64_t version);

  // Returns the lease of the controller's shard, or kvstore::kNoLease.
  [[nodiscard]] uint64_t LeaseOf(const std::string& node) const;
  // Returns the controller that holds the machine under a shard lease; empty if no controller does,
  // since then the leader commands the machine.
  [[nodiscard]] std::string HolderOf(const std::string& machine) const;
  // Returns the routes of the machines that are held under the lease; the key is the machine's
  // name.
  [[nodiscard]] std::map<std::string, MachineRoute> MachinesUnder(uint64_t lease) const;
  // Returns the routes of those machines of one pack that are held under the lease; the key is the
  // machine's name.
  [[nodiscard]] std::map<std::string, MachineRoute> MachinesUnder(uint64_t lease, int pack) const;
  [[nodiscard]] bool IsUnder(uint64_t lease, const std::string& machine) const;
  // Returns the shard leases; each maps to the name of the controller that holds it.
  [[nodiscard]] const std::map<uint64_t, std::string>& leases() const { return leases_; }

 private:
  using Routes = std::map<std::string, MachineRoute>;
  static void AddMachinesUnder(uint64_t lease, const Routes& from, Routes& to);

  std::map<int, Routes> packs_;             // only machines that are held under a shard lease
  std::map<uint64_t, std::string> leases_;  // the holder's name for each shard lease
};

}  // namespace mosspath::shard
