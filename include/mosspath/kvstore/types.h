// Requests to and results of the key-value store, a versioned key-value store with transactions,
// watches and leases (as etcd: revision, mod_revision, txn, watch, lease).
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "mosspath/kvstore/ids.h"
#include "mosspath/wire/json.h"

namespace mosspath::kvstore {

// A condition of a transaction: the key must have this version.
struct Condition {
  std::string key;
  uint64_t version = kKeyAbsent;
};

// A put or a delete in a transaction.
struct Change {
  std::string key;
  std::optional<wire::Json> value;  // none: the key is deleted
  uint64_t lease = kNoLease;        // the key is deleted when this lease ends
};

// A compare-and-swap: if all conditions hold, all changes are applied atomically; otherwise none
// is.
struct Transaction {
  std::vector<Condition> conditions;
  std::vector<Change> changes;
};

enum class Outcome {
  kDone,
  kConflict,       // a condition failed; nothing was changed
  kLeaseNotFound,  // the lease has ended; nothing was changed
  kRefused,        // certainly not executed: over budget, unavailable, or never sent
  kUndetermined,   // no usable answer: executed, not executed, or still to be executed
};

struct TransactionResult {
  Outcome outcome = Outcome::kUndetermined;
  uint64_t revision = 0;  // revision of the changes; valid only if the outcome is kDone
};

// The state of a key, as a list or a watch returns it.
struct Event {
  std::string key;
  std::optional<wire::Json> value;  // none: the key was deleted
  uint64_t version = kKeyAbsent;    // the revision of the change
};

// A page of the keys under a prefix.
struct ListResult {
  bool ok = false;  // false: no usable answer; the other fields are not valid
  std::vector<Event> items;
  bool more = false;  // more keys follow the last item
  uint64_t revision = 0;
};

// The changes under a prefix since a revision.
struct WatchResult {
  enum class Kind {
    kOk,
    // The change log no longer covers the revision, or the answer is too large. All keys must be
    // listed again.
    kTooOld,
    kFailed,
  };
  Kind kind = Kind::kFailed;
  uint64_t revision = 0;  // the events are complete up to this revision
  std::vector<Event> events;
};

struct GetResult {
  enum class Kind { kFound, kMissing, kFailed };
  Kind kind = Kind::kFailed;
  wire::Json value;
  uint64_t version = kKeyAbsent;
};

}  // namespace mosspath::kvstore
