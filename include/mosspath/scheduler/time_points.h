// Sentinel values for times of the controller's steady clock.
#pragma once

namespace mosspath::scheduler {

// A time in seconds that lies before every event that a controller can have seen. As the time of an
// event it means "has not happened yet", so that the event's age compares as very large.
inline constexpr double kLongAgo = -1e18;

}  // namespace mosspath::scheduler
