// Names of the protocol's values that more than one reader of messages needs.
#pragma once

#include <array>
#include <cstddef>
#include <utility>

#include "mosspath/wire/messages.h"

namespace mosspath::wire {

inline constexpr size_t kMaxName = 120;
inline constexpr std::array<std::pair<const char*, TaskState>, 5> kTaskStates{
    {{"fetching", TaskState::kFetching},
     {"gathering", TaskState::kWaitingForGang},
     {"running", TaskState::kRunning},
     {"saving", TaskState::kCheckpointing},
     {"ended", TaskState::kExited}}};
inline constexpr std::array<std::pair<const char*, ExitReason>, 8> kExitReasons{
    {{"done", ExitReason::kSucceeded},
     {"peers", ExitReason::kGangMemberEnded},
     {"incomplete", ExitReason::kGangIncomplete},
     {"stopped", ExitReason::kStopped},
     {"error", ExitReason::kFailed},
     {"full", ExitReason::kInsufficientResources},
     {"in_use", ExitReason::kOtherAttemptPresent},
     {"unknown", ExitReason::kUnknownJob}}};

}  // namespace mosspath::wire
