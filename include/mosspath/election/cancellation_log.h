// The cancellations that a controller may have told its users of, and what a leader that has read
// less needs to hear of them. Pure.
//
// Invariant: whatever this process has told, and whatever the process before it may have told, has
// a revision of at most newest(); of those after listed_from() the ids are here.
#pragma once

#include <cstddef>
#include <cstdint>
#include <set>
#include <string>
#include <utility>

#include "mosspath/wire/promise_frame.h"

namespace mosspath::election {

class CancellationLog {
 public:
  // Keeps at most so many ids: the latest.
  explicit CancellationLog(size_t most) : max_entries_(most) {}

  // The process before this one may have told of any cancellation up to this revision.
  void AssumeReportedUpTo(uint64_t revision);
  // This one is durable since that revision, and may be told from now on.
  void Add(const std::string& id, uint64_t revision);

  uint64_t newest() const { return newest_; }
  uint64_t listed_from() const { return listed_from_; }
  // For somebody who knows all up to `seen`: what came since, the earliest first, as many as an
  // answer may hold.
  wire::CancellationLogSlice Since(uint64_t seen) const;

 private:
  const size_t max_entries_;
  uint64_t newest_ = 0;
  uint64_t listed_from_ = 0;
  std::set<std::pair<uint64_t, std::string>> entries_;
};

}  // namespace mosspath::election
