// Points of the controller's steady clock that stand for the lack of one. Pure.
#pragma once

namespace mosspath::scheduler {

// A time in seconds before every event that a controller can have seen: "has not happened yet" in
// comparisons that ask how long ago something happened.
inline constexpr double kLongAgo = -1e18;

}  // namespace mosspath::scheduler
