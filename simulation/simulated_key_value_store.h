// The key-value store of the deployment in simulated time: versioned entries, conditional
// transactions, leases with attached keys, and outages.
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

// All members run at the store itself. A remote caller sends its own network messages and must
// check up() before it calls any other member. The revision increases by one with each commit and
// each entry that expires; the revision of a commit is never 0.
class SimulatedKeyValueStore {
 public:
  struct Entry {
    wire::Json value;
    uint64_t version = 0;  // the revision of the change that wrote the value
    uint64_t lease = 0;    // the store removes the entry with this lease; 0: no lease
  };
  // Requires that the key has the version `version`. Version 0 requires that the key is absent.
  struct Condition {
    std::string key;
    uint64_t version = 0;
  };
  // Writes the value, or removes the key if there is no value.
  struct Change {
    std::string key;
    std::optional<wire::Json> value;
  };
  // All entries at one revision.
  struct View {
    std::map<std::string, Entry> entries;
    uint64_t revision = 0;
  };

  // Records every applied change in `decisions`. Both arguments must outlive the store.
  SimulatedKeyValueStore(SimulatedClock& clock, Decisions& decisions)
      : clock_(clock), decisions_(decisions) {}

  bool up() const { return clock_.now() >= down_until_; }
  // Makes the store unavailable. No lease expires during an outage. At the end of the outage, the
  // full lifetime of each lease begins again.
  void Outage(double duration_s);

  uint64_t GrantLease(double life_s);
  // Returns false if the lease has expired.
  bool RenewLease(uint64_t lease);
  // Removes the lease and its entries. An unknown lease is ignored. During an outage, the
  // lease is removed only when the outage ends.
  void RevokeLease(uint64_t lease);

  // Applies all changes atomically if all conditions hold and the lease, unless it is 0, exists.
  // Returns the new revision, or 0 if nothing was changed.
  uint64_t Commit(const std::vector<Condition>& conditions, const std::vector<Change>& changes,
                  uint64_t lease = 0);

  const std::map<std::string, Entry>& entries();
  // Returns a copy of all current entries. All calls between two changes return the same copy.
  std::shared_ptr<const View> Snapshot();
  // Returns the version of the key; 0 if the key is absent.
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
