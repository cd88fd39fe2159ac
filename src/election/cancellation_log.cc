#include "mosspath/election/cancellation_log.h"

#include <algorithm>

namespace mosspath::election {

void CancellationLog::AssumeReportedUpTo(uint64_t revision) {
  newest_ = std::max(newest_, revision);
  listed_from_ = std::max(listed_from_, revision);
  entries_.erase(entries_.begin(), entries_.lower_bound({listed_from_ + 1, ""}));
}

void CancellationLog::Add(const std::string& id, uint64_t revision) {
  newest_ = std::max(newest_, revision);
  if (revision <= listed_from_) return;
  entries_.emplace(revision, id);
  while (entries_.size() > max_entries_) {
    // All of that revision: the list is complete from there on, or says so of nothing.
    listed_from_ = entries_.begin()->first;
    entries_.erase(entries_.begin(), entries_.lower_bound({listed_from_ + 1, ""}));
  }
}

wire::CancellationLogSlice CancellationLog::Since(uint64_t seen) const {
  wire::CancellationLogSlice part;
  part.newest = newest_;
  part.from_revision = std::max(seen, listed_from_);
  part.to_revision = std::max(part.from_revision, newest_);
  for (auto it = entries_.lower_bound({part.from_revision + 1, ""}); it != entries_.end(); ++it) {
    if (part.entries.size() == wire::kMaxCancelledIds) {
      // The list ends before it, and says so; nothing is said of what shares its revision.
      const uint64_t next = it->first;
      std::erase_if(part.entries, [&](const auto& e) { return e.revision >= next; });
      part.to_revision = next - 1;
      break;
    }
    part.entries.push_back({it->second, it->first});
  }
  return part;
}

}  // namespace mosspath::election
