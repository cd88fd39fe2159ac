// Where things are in the state service. Live keys are mirrored by every node; final records are
// heard of as they are written and else read one by one, so that what must be kept for ever needs
// no memory.
#pragma once

#include <string>

namespace mosspath::service::keys {

inline const std::string kAll = "mosspath/";
inline const std::string kLive = kAll + "live/";
inline const std::string kLeader = kLive + "leader";
inline const std::string kTypes = kLive + "types";
inline const std::string kSettings = kLive + "settings";
inline const std::string kJobs = kLive + "job/";
inline const std::string kBatches = kLive + "batch/";  // jobs accepted together
// What a controller can read, as it told when it first ran; see docs/job-acceptance.md.
inline const std::string kRecordFormats = kLive + "speaks/";
inline const std::string kProgress = kLive + "progress/";
inline const std::string kMachines = kLive + "machines/";
// Controllers that offer to hold a block, and the blocks' leases (docs/sharding.md); both hang on
// the controller's grant.
inline const std::string kShardOffers = kLive + "holders/";
inline const std::string kShardLeases = kLive + "blocks/";
inline const std::string kFinal = kAll + "final/";

inline std::string Job(const std::string& id) { return kJobs + id; }
inline std::string Final(const std::string& id) { return kFinal + id; }
inline std::string Progress(int pack) { return kProgress + std::to_string(pack); }
inline std::string Machines(int pack) { return kMachines + std::to_string(pack); }

}  // namespace mosspath::service::keys
