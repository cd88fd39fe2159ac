// Maps the identifiers of the code to the names of fields and enum values in the platform's JSON
// protocol. The names in the JSON never change.
#pragma once

#include <array>
#include <cstddef>
#include <string_view>

#include "mosspath/wire/messages.h"

namespace mosspath::wire {

// Maximum length in bytes of a name or an identifier.
inline constexpr size_t kMaxName = 120;

namespace field {

// Jobs.
inline constexpr const char* kId = "id";
inline constexpr const char* kJobClass = "lot";
inline constexpr const char* kTeam = "house";
inline constexpr const char* kJobKind = "catch";
inline constexpr const char* kPriority = "rank";
inline constexpr const char* kTasks = "crates";
inline constexpr const char* kCpus = "vcpus";
inline constexpr const char* kGpus = "cards";
inline constexpr const char* kMemoryGb = "mem_gb";
inline constexpr const char* kImage = "kit";
inline constexpr const char* kImageGb = "size_gb";
inline constexpr const char* kMachineTypes = "builds";
inline constexpr const char* kZone = "shore";
inline constexpr const char* kSingleZone = "together";
inline constexpr const char* kSpreadOverZones = "apart";
inline constexpr const char* kSpot = "loaners";
inline constexpr const char* kEstimatedRunS = "guess_s";
inline constexpr const char* kCheckpointIntervalS = "tally_s";
inline constexpr const char* kCheckpointDurationS = "stow_s";
inline constexpr const char* kDeadlineS = "dawn_s";

// Heartbeats of agents.
inline constexpr const char* kMachine = "rig";
inline constexpr const char* kAddress = "endpoint";
inline constexpr const char* kMachineType = "build";
inline constexpr const char* kAgentEpoch = "shift";
inline constexpr const char* kSequence = "tick";
inline constexpr const char* kFencingToken = "baton";
inline constexpr const char* kReclaimNoticeS = "warning_s";
inline constexpr const char* kTask = "crate";
inline constexpr const char* kAttempt = "try";
inline constexpr const char* kState = "stage";
inline constexpr const char* kExitReason = "cause";
inline constexpr const char* kCheckpointed = "saved";

// Commands to agents.
inline constexpr const char* kCommands = "calls";
inline constexpr const char* kCommandType = "call";
inline constexpr const char* kGraceS = "leeway_s";
inline constexpr const char* kLeader = "steward";

// Machines and machine types of the cloud.
inline constexpr const char* kMachines = "rigs";
inline constexpr const char* kName = "name";
inline constexpr const char* kCacheGb = "local_gb";
inline constexpr const char* kFetchGbPerS = "pull_gb_per_s";
inline constexpr const char* kPrice = "hourly";
inline constexpr const char* kSpotPrice = "low_price";
inline constexpr const char* kBootS = "startup_s";
inline constexpr const char* kZones = "shores";
inline constexpr const char* kRentRequest = "hire";
inline constexpr const char* kCount = "count";
inline constexpr const char* kAgeS = "age_s";
inline constexpr const char* kMore = "truncated";

// Responses to users.
inline constexpr const char* kDoneTasks = "done";
inline constexpr const char* kRunningTasks = "running";
inline constexpr const char* kError = "error";

}  // namespace field

// An enum value and its name in the protocol.
template <typename Enum>
struct EnumName {
  const char* name;
  Enum value;
};
template <typename Enum, size_t kSize>
using EnumNames = std::array<EnumName<Enum>, kSize>;

// Returns the name of the value in the protocol; an empty string if it has none.
template <typename Enum, size_t kSize>
[[nodiscard]] constexpr const char* NameOf(Enum value, const EnumNames<Enum, kSize>& names) {
  for (const EnumName<Enum>& entry : names) {
    if (entry.value == value) return entry.name;
  }
  return "";
}

// Returns the entry with this name, or null if no value of the enum has the name.
template <typename Enum, size_t kSize>
[[nodiscard]] constexpr const EnumName<Enum>* FindName(std::string_view name,
                                                       const EnumNames<Enum, kSize>& names) {
  for (const EnumName<Enum>& entry : names) {
    if (name == entry.name) return &entry;
  }
  return nullptr;
}

inline constexpr EnumNames<JobKind, 3> kJobKinds{
    {{"array", JobKind::kArray}, {"group", JobKind::kGang}, {"daemon", JobKind::kService}}};
inline constexpr EnumNames<Priority, 4> kPriorities{{{"critical", Priority::kCritical},
                                                     {"high", Priority::kHigh},
                                                     {"standard", Priority::kNormal},
                                                     {"low", Priority::kLow}}};
inline constexpr EnumNames<JobState, 4> kJobStates{{{"queued", JobState::kQueued},
                                                    {"running", JobState::kRunning},
                                                    {"done", JobState::kDone},
                                                    {"aborted", JobState::kCancelled}}};
inline constexpr EnumNames<TaskState, 5> kTaskStates{{{"fetching", TaskState::kFetching},
                                                      {"gathering", TaskState::kWaitingForGang},
                                                      {"running", TaskState::kRunning},
                                                      {"saving", TaskState::kCheckpointing},
                                                      {"ended", TaskState::kExited}}};
inline constexpr EnumNames<ExitReason, 8> kExitReasons{
    {{"done", ExitReason::kSucceeded},
     {"peers", ExitReason::kGangMemberEnded},
     {"incomplete", ExitReason::kGangIncomplete},
     {"stopped", ExitReason::kStopped},
     {"error", ExitReason::kFailed},
     {"full", ExitReason::kInsufficientResources},
     {"in_use", ExitReason::kOtherAttemptPresent},
     {"unknown", ExitReason::kUnknownJob}}};
inline constexpr EnumNames<CommandType, 3> kCommandTypes{
    {{"run", CommandType::kStart}, {"halt", CommandType::kStop}, {"reap", CommandType::kForget}}};
inline constexpr EnumNames<MachineState, 3> kMachineStates{{{"starting", MachineState::kBooting},
                                                            {"running", MachineState::kRunning},
                                                            {"failed", MachineState::kFailed}}};

}  // namespace mosspath::wire
