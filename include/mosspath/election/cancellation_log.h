// The cancellations that a controller may have confirmed to its users, and the part of them that a
// leader has not read yet. A peer sends that part with its promise (docs/design.md, "The state
// service refuses the leader alone, and then everybody"). Pure.
//
// Invariant: whatever this process has confirmed, and whatever the process before it may have
// confirmed, has a revision of at most newest(); of those after listed_from() the ids are here.
#pragma once

#include <cstddef>
#include <cstdint>
#include <set>
#include <string>

#include "mosspath/wire/promise_frame.h"

namespace mosspath::election {

class CancellationLog {
 public:
  // Keeps the latest `max_entries` ids.
  explicit CancellationLog(size_t max_entries) : max_entries_(max_entries) {}

  // The process before this one may have confirmed any cancellation up to `revision`.
  void AssumeReportedUpTo(uint64_t revision);
  // The cancellation of job `id` is durable since `revision`. Must be called before any user is
  // told of it.
  void Add(const std::string& id, uint64_t revision);

  [[nodiscard]] uint64_t newest() const { return newest_; }
  [[nodiscard]] uint64_t listed_from() const { return listed_from_; }
  // What came after the revision `seen`, ascending, as far as one answer can hold it; the slice
  // says over which revisions it is complete.
  [[nodiscard]] wire::CancellationLogSlice Since(uint64_t seen) const;

 private:
  struct LogEntry {
    uint64_t revision = 0;
    std::string id;
    friend auto operator<=>(const LogEntry&, const LogEntry&) = default;
  };
  using Entries = std::set<LogEntry>;

  // The first entry after `revision`.
  [[nodiscard]] Entries::const_iterator FirstAfter(uint64_t revision) const {
    return entries_.lower_bound(LogEntry{revision + 1, {}});
  }

  const size_t max_entries_;
  uint64_t newest_ = 0;
  uint64_t listed_from_ = 0;
  Entries entries_;
};

}  // namespace mosspath::election
