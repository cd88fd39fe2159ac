// The keys under which controllers keep their records in the store.
#pragma once

#include <string>

namespace mosspath::simulation {

inline const std::string kLeaderKey = "leader";
inline const std::string kJobPrefix = "job/";            // accepted jobs
inline const std::string kBatchPrefix = "batch/";        // several accepted jobs in one record
inline const std::string kFinalPrefix = "final/";        // how jobs ended
inline const std::string kProgressPrefix = "progress/";  // packs of tasks' progress
inline const std::string kMachinesPrefix = "machines/";  // packs of machines
inline const std::string kShardPrefix = "block/";        // leases of shards, by holder
inline const std::string kOfferPrefix = "holder/";       // offers to hold a shard, by node

// The number of the pack that the key names.
inline int PackOf(const std::string& key) { return std::stoi(key.substr(key.find('/') + 1)); }

}  // namespace mosspath::simulation
