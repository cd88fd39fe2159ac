#include "mosspath/election/cancellation_log.h"

#include <algorithm>

namespace mosspath::election {

void CancellationLog::AssumeReportedUpTo(uint64_t revision) {
  newest_ = std::max(newest_, revision);
  listed_from_ = std::max(listed_from_, revision);
  entries_.erase(entries_.begin(), FirstAfter(listed_from_));
}

void CancellationLog::Add(const std::string& id, uint64_t revision) {
  newest_ = std::max(newest_, revision);
  if (revision <= listed_from_) return;
  entries_.insert(LogEntry{revision, id});
  while (entries_.size() > max_entries_) {
    // Drops all entries of the lowest revision together: entries_ must stay complete for the
    // revisions above listed_from_.
    listed_from_ = entries_.begin()->revision;
    entries_.erase(entries_.begin(), FirstAfter(listed_from_));
  }
}

wire::CancellationLogSlice CancellationLog::Since(uint64_t seen) const {
  wire::CancellationLogSlice slice;
  slice.newest = newest_;
  slice.from_revision = std::max(seen, listed_from_);
  slice.to_revision = std::max(slice.from_revision, newest_);
  for (auto it = FirstAfter(slice.from_revision); it != entries_.end(); ++it) {
    if (slice.entries.size() == wire::kMaxCancelledIds) {
      // Not all entries of this revision fit. The slice must end before this revision, so the
      // entries of this revision that are already in the slice are removed.
      const uint64_t excluded_revision = it->revision;
      std::erase_if(slice.entries,
                    [&](const auto& entry) { return entry.revision >= excluded_revision; });
      slice.to_revision = excluded_revision - 1;
      break;
    }
    slice.entries.push_back({it->id, it->revision});
  }
  return slice;
}

}  // namespace mosspath::election
