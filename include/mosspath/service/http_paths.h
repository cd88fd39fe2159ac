// Paths of the HTTP interfaces that the controller serves and calls. The paths
// are part of protocols with other versions of the controller and with programs
// of other owners, and must not change: golden_paths_test checks them.
#pragma once

#include <string_view>

namespace mosspath::service::paths {

// --- Served on the public address ---
inline constexpr std::string_view kAgentHeartbeat = "/v1/report";
inline constexpr std::string_view kHealth = "/healthz";
inline constexpr std::string_view kStatusPage = "/status";
inline constexpr std::string_view kStatusJson = "/status.json";
inline constexpr std::string_view kJobs = "/api/jobs";
inline constexpr std::string_view kCancelSuffix = "/cancel";  // after a job's path

// --- Served on the peer address, to operators ---
inline constexpr std::string_view kMetrics = "/metrics";
inline constexpr std::string_view kOperatorSettings = "/admin/v1/settings";

// --- Between controllers, on the peer address ---
inline constexpr std::string_view kPeerHeartbeat = "/peer/v1/presence";
inline constexpr std::string_view kPeerStatusSnapshot = "/peer/v1/digest";
inline constexpr std::string_view kPeerPromise = "/peer/v1/vouch";
inline constexpr std::string_view kPeerShardFrame = "/peer/v1/block";

// --- Called at the cloud and at agents ---
inline constexpr std::string_view kCloudMachineTypes = "/flavors";
inline constexpr std::string_view kCloudMachines = "/hosts";
inline constexpr std::string_view kCloudDeleteMachines = "/hosts/delete";
inline constexpr std::string_view kAgentCommands = "/commands";

}  // namespace mosspath::service::paths
