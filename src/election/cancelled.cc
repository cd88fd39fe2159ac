#include "mosspath/election/cancelled.h"

#include <algorithm>

namespace mosspath::election {

void Cancelled::MayHaveTold(uint64_t revision) {
  newest_ = std::max(newest_, revision);
  listed_from_ = std::max(listed_from_, revision);
  listed_.erase(listed_.begin(), listed_.lower_bound({listed_from_ + 1, ""}));
}

void Cancelled::Known(const std::string& id, uint64_t revision) {
  newest_ = std::max(newest_, revision);
  if (revision <= listed_from_) return;
  listed_.emplace(revision, id);
  while (listed_.size() > most_) {
    // All of that revision: the list is complete from there on, or says so of nothing.
    listed_from_ = listed_.begin()->first;
    listed_.erase(listed_.begin(), listed_.lower_bound({listed_from_ + 1, ""}));
  }
}

wire::CancelledPart Cancelled::Since(uint64_t seen) const {
  wire::CancelledPart part;
  part.newest = newest_;
  part.from = std::max(seen, listed_from_);
  part.upto = std::max(part.from, newest_);
  for (auto it = listed_.lower_bound({part.from + 1, ""}); it != listed_.end(); ++it) {
    if (part.ids.size() == wire::kMostCancelledIds) {
      // The list ends before it, and says so; nothing is said of what shares its revision.
      const uint64_t next = it->first;
      std::erase_if(part.ids, [&](const auto& e) { return e.revision >= next; });
      part.upto = next - 1;
      break;
    }
    part.ids.push_back({it->second, it->first});
  }
  return part;
}

}  // namespace mosspath::election
