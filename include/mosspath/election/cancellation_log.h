// The log of the job cancellations that a controller may have confirmed to its users. A peer adds
// to its leadership promise those entries that the leader has not read yet (docs/design.md, "The
// key-value store refuses the leader alone, and then everybody"). Does no I/O.
//
// Invariant: each cancellation that this process has confirmed to a user, or that the previous
// process may have confirmed, has a revision of at most newest(). The log holds the job id of each
// cancellation whose revision is above listed_from().
#pragma once

#include <cstddef>
#include <cstdint>
#include <set>
#include <string>

#include "mosspath/wire/promise_frame.h"

namespace mosspath::election {

class CancellationLog {
 public:
  // The log keeps the job ids of at most `max_entries` cancellations, those with the highest
  // revisions.
  explicit CancellationLog(size_t max_entries) : max_entries_(max_entries) {}

  // Records that the previous process may have confirmed any cancellation up to `revision`.
  void AssumeReportedUpTo(uint64_t revision);
  // Adds the cancellation of job `id`, which the key-value store stored at `revision`. Must be
  // called before the cancellation is confirmed to any user.
  void Add(const std::string& id, uint64_t revision);

  [[nodiscard]] uint64_t newest() const { return newest_; }
  [[nodiscard]] uint64_t listed_from() const { return listed_from_; }
  // Returns the entries with a revision above `seen`, in ascending order of revision, and as many
  // as fit into one response. The slice states the range of revisions for which it is complete.
  [[nodiscard]] wire::CancellationLogSlice Since(uint64_t seen) const;

 private:
  struct LogEntry {
    uint64_t revision = 0;
    std::string id;
    friend auto operator<=>(const LogEntry&, const LogEntry&) = default;
  };
  using Entries = std::set<LogEntry>;

  // Returns the first entry with a revision above `revision`.
  [[nodiscard]] Entries::const_iterator FirstAfter(uint64_t revision) const {
    return entries_.lower_bound(LogEntry{revision + 1, {}});
  }

  const size_t max_entries_;
  uint64_t newest_ = 0;
  uint64_t listed_from_ = 0;
  Entries entries_;
};

}  // namespace mosspath::election
