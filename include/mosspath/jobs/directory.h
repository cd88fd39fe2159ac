// What a controller may tell of a job, and how it ends one: from the records that it has read, from
// what others have told it, and from looks at the state service. Pure: the service (job_table) and
// the simulation carry out its looks and changes.
//
// Invariants: whatever any controller has told of a job, nothing older is told here after a look
// that began with the question; what is over stays over; a job is cancelled or done by one change
// that is conditional on there being no final record, so one end only, whoever is first.
#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <optional>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "mosspath/jobs/ledger.h"
#include "mosspath/election/cancelled.h"

namespace mosspath::jobs {

// Unsure: it can't be told now.
enum class Known { kLive, kDone, kCancelled, kMissing, kUnsure };

// What a final record holds, for ever.
wire::Json FinalRecord(Known end);

class Directory {
 public:
  struct Bounds {
    size_t finals = 0;         // remembered; the others are read again
    size_t cancellations = 0;  // that peers can be told of
  };
  // The ledger's prefixes.
  Directory(std::string single, std::string shared, const Bounds& bounds)
      : bounds_(bounds),
        cancelled_(bounds.cancellations),
        ledger_(std::move(single), std::move(shared)) {}

  // --- Records, as they are read. `read`: all that was written until that revision has been ---
  void Reset();  // what was read is void, and is read anew
  // Throws when the record can't be understood.
  Ledger::Change Seen(const std::string& key, const wire::Json* value, uint64_t version);
  void FinalSeen(const std::string& id, const wire::Json& value, uint64_t version);
  void Loaded(uint64_t read) { ForgetAhead(read); }

  // --- What is known otherwise ---
  // Up to this revision, the process before this one may have told of cancellations.
  void MayHaveTold(uint64_t revision) { cancelled_.MayHaveTold(revision); }
  // Cancelled since that revision, which need not have been read yet. Its tasks must end now.
  void LearnCancelled(const std::string& id, uint64_t revision, uint64_t read);
  void Over(const std::string& id, Known end);

  // --- A question about a job ---
  // What needs no look: what is over stays over.
  std::optional<Known> Remembered(const std::string& id) const;
  // After a look that began after the question; none: its final record must be read.
  std::optional<Known> AfterLook(const std::string& id) const;
  // What the read of its final record gave, after a look that had come up to `looked`; null: there
  // is none.
  Known FinalRead(const std::string& id, const wire::Json* value, uint64_t version, uint64_t looked,
                  uint64_t read);

  // --- The end of a job ---
  // What is to be done to cancel a job of which this is known.
  struct CancelStep {
    enum class Kind {
      kTell,    // `known`
      kLook,    // again: its records have not been seen well enough
      kCommit,  // `records`, and its final record, of which there must be none
    };
    Kind kind = Kind::kTell;
    Known known = Known::kUnsure;
    std::vector<RecordChange> records;
  };
  CancelStep Cancel(const std::string& id, Known known, uint64_t read) const;

  // --- A submission ---
  // Known without a write: its user is told what a question would be.
  bool Holds(const std::string& id) const {
    return ledger_.Find(id) != nullptr || finals_.contains(id);
  }

  // What may have been told of cancellations.
  const election::Cancelled& cancelled() const { return cancelled_; }
  // A job that is accepted and, as far as is known, not over.
  const Accepted* FindLive(const std::string& id) const {
    return ahead_.contains(id) ? nullptr : ledger_.Find(id);
  }
  void EachLive(const std::function<void(const std::string& id, const Accepted&)>& f) const;
  const Ledger& ledger() const { return ledger_; }

 private:
  void ForgetAhead(uint64_t read);

  const Bounds bounds_;
  election::Cancelled cancelled_;
  Ledger ledger_;
  // Known to be cancelled since that revision, which was not read yet: whatever is read of them
  // before it, they are over. It may not even show yet that they were accepted.
  std::unordered_map<std::string, uint64_t> ahead_;
  std::unordered_map<std::string, Known> finals_;
  std::deque<std::string> finals_order_;
  // Asked about, and certainly unknown: what is read would have told if they had come up since. So
  // users who ask for what nobody has submitted cost no read each time.
  std::unordered_set<std::string> missing_;
};

}  // namespace mosspath::jobs
