// Answers and reports of outside systems that can't be understood are treated as none, and counted.
#pragma once

#include <spdlog/spdlog.h>

#include <exception>
#include <functional>

namespace mosspath::net {

// Told of each, with whom it came from and what it answers.
using OnMalformed = std::function<void(const char* from, const char* what)>;

inline void ReportMalformed(const char* from, const char* what, const char* why,
                            const OnMalformed& told) {
  spdlog::error("{}: malformed {}: {}", from, what, why);
  if (told) told(from, what);
}

// Runs what reads a message; false when it throws.
template <typename F>
bool TryRead(const char* from, const char* what, const OnMalformed& told, F read) {
  try {
    read();
    return true;
  } catch (const std::exception& e) {
    ReportMalformed(from, what, e.what(), told);
    return false;
  }
}

}  // namespace mosspath::net
