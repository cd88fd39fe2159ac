// Keys in the key-value store. Every controller caches the keys under kLive. A controller also
// receives each final record as it is written, and reads older final records one by one: final
// records are never deleted, so a cache of all of them would need unbounded memory.
#pragma once

#include <string>

namespace mosspath::service::keys {

inline const std::string kAll = "mosspath/";
inline const std::string kLive = kAll + "live/";
inline const std::string kLeader = kLive + "leader";
inline const std::string kTypes = kLive + "types";
inline const std::string kSettings = kLive + "settings";
inline const std::string kJobs = kLive + "job/";
inline const std::string kBatches = kLive + "batch/";  // records of several jobs
// The record formats that a controller can read, as declared at its first start; see
// docs/job-acceptance.md.
inline const std::string kRecordFormats = kLive + "speaks/";
inline const std::string kProgress = kLive + "progress/";
inline const std::string kMachines = kLive + "machines/";
// Controllers' offers to hold a shard, and the shards' leases (docs/sharding.md). The offer and the
// shard lease of a controller are attached to the controller's store lease.
inline const std::string kShardOffers = kLive + "holders/";
inline const std::string kShardLeases = kLive + "blocks/";
inline const std::string kFinal = kAll + "final/";

inline std::string Job(const std::string& id) { return kJobs + id; }
inline std::string Final(const std::string& id) { return kFinal + id; }
inline std::string Progress(int pack) { return kProgress + std::to_string(pack); }
inline std::string Machines(int pack) { return kMachines + std::to_string(pack); }

}  // namespace mosspath::service::keys
