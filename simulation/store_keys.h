// Keys and key prefixes of the records that controllers keep in the key-value store.
#pragma once

#include <string>

namespace mosspath::simulation {

inline const std::string kLeaderKey = "leader";
inline const std::string kJobPrefix = "job/";            // accepted jobs
inline const std::string kBatchPrefix = "batch/";        // several accepted jobs in one record
inline const std::string kFinalPrefix = "final/";        // final states of ended jobs
inline const std::string kProgressPrefix = "progress/";  // packed progress of tasks
inline const std::string kMachinesPrefix = "machines/";  // packed machine records
inline const std::string kShardPrefix = "block/";        // shard leases, by holder
inline const std::string kOfferPrefix = "holder/";       // offers to hold a shard, by controller

// Returns the pack number in the key of a packed record.
inline int PackOf(const std::string& key) { return std::stoi(key.substr(key.find('/') + 1)); }

}  // namespace mosspath::simulation
