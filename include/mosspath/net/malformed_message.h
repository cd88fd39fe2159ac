// Handling of malformed responses and reports from other processes: a malformed message is logged,
// counted and then ignored.
#pragma once

#include <spdlog/spdlog.h>

#include <exception>
#include <functional>

namespace mosspath::net {

// Called for each malformed message. `sender`: the kind of process that sent the message. `kind`:
// the request that the message answers, or the kind of report.
using OnMalformed = std::function<void(const char* sender, const char* kind)>;

// Logs the malformed message with the parse error `reason`, and calls `on_malformed` if it is set.
inline void ReportMalformed(const char* sender, const char* kind, const char* reason,
                            const OnMalformed& on_malformed) {
  spdlog::error("{}: malformed {}: {}", sender, kind, reason);
  if (on_malformed) on_malformed(sender, kind);
}

// Calls `parse`, which reads a message. If it throws, reports the message and returns false.
template <typename F>
bool TryRead(const char* sender, const char* kind, const OnMalformed& on_malformed, F parse) {
  try {
    parse();
    return true;
  } catch (const std::exception& e) {
    ReportMalformed(sender, kind, e.what(), on_malformed);
    return false;
  }
}

}  // namespace mosspath::net
