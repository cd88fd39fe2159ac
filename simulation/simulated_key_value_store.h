// The key-value store of the deployment in simulated time: versions, conditional transactions,
// leases that keys hang on, and outages.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "mosspath/wire/json.h"
#include "simulation/decisions.h"
#include "simulation/simulated_clock.h"

namespace mosspath::simulation {

// All members run at the store itself: who calls them over the network sends the messages and must
// look at up() first. Revisions grow by one with each change and are never 0.
class SimulatedKeyValueStore {
 public:
  struct Entry {
    wire::Json value;
    uint64_t version = 0;  // the revision of the change that wrote it
    uint64_t lease = 0;    // the entry ends with that lease; 0: with none
  };
  // The key must have this version; 0: it must be absent.
  struct Condition {
    std::string key;
    uint64_t version = 0;
  };
  // Writes the value, or removes the key if there is none.
  struct Change {
    std::string key;
    std::optional<wire::Json> value;
  };
  // All entries as of a revision.
  struct View {
    std::map<std::string, Entry> entries;
    uint64_t revision = 0;
  };

  // Changes that are carried out are recorded in the decisions. Both arguments must outlive the
  // store.
  SimulatedKeyValueStore(SimulatedClock& clock, Decisions& decisions)
      : clock_(clock), decisions_(decisions) {}

  bool up() const { return clock_.now() >= down_until_; }
  // No lease expires during an outage: each has its whole life again once the store is back.
  void Outage(double duration_s);

  uint64_t GrantLease(double life_s);
  // False if the lease has expired.
  bool RenewLease(uint64_t lease);
  // Removes the lease with all its entries; an unknown lease is ignored.
  void RevokeLease(uint64_t lease);

  // Carries out all changes if all conditions hold and the lease, if one is named, exists. Returns
  // the new revision, or nothing changed and 0.
  uint64_t Commit(const std::vector<Condition>& conditions, const std::vector<Change>& changes,
                  uint64_t lease = 0);

  const std::map<std::string, Entry>& entries();
  // What is there now, shared by all who read it before the next change.
  std::shared_ptr<const View> Snapshot();
  // 0 if the key is absent.
  uint64_t VersionOf(const std::string& key);

 private:
  struct Lease {
    double life_s = 0;
    double until = 0;
  };

  void ExpireLeases();
  void RemoveEntriesOf(uint64_t lease);

  SimulatedClock& clock_;
  Decisions& decisions_;
  uint64_t revision_ = 0;
  uint64_t next_lease_ = 1;
  double down_until_ = 0;
  std::map<uint64_t, Lease> leases_;
  std::map<std::string, Entry> entries_;
  std::shared_ptr<const View> snapshot_;
};

}  // namespace mosspath::simulation
