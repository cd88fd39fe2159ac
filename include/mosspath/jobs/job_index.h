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

#include "mosspath/election/cancellation_log.h"
#include "mosspath/jobs/job_records.h"

namespace mosspath::jobs {

// Unsure: it can't be told now.
enum class JobStatus { kLive, kDone, kCancelled, kMissing, kUndetermined };

// What a final record holds, for ever.
wire::Json EncodeFinalRecord(JobStatus end);

class JobIndex {
 public:
  struct Limits {
    size_t finals = 0;         // remembered; the others are read again
    size_t cancellations = 0;  // that peers can be told of
  };
  // The ledger's prefixes.
  JobIndex(std::string single, std::string shared, const Limits& bounds)
      : limits_(bounds),
        cancellations_(bounds.cancellations),
        records_(std::move(single), std::move(shared)) {}

  // --- Records, as they are read. `read`: all that was written until that revision has been ---
  void Reset();  // what was read is void, and is read anew
  // Throws when the record can't be understood.
  JobRecords::Change OnRecord(const std::string& key, const wire::Json* value, uint64_t version);
  void OnFinalRecord(const std::string& id, const wire::Json& value, uint64_t version);
  void OnLoaded(uint64_t read) { ForgetCancelledAhead(read); }

  // --- What is known otherwise ---
  // Up to this revision, the process before this one may have told of cancellations.
  void AssumeReportedUpTo(uint64_t revision) { cancellations_.AssumeReportedUpTo(revision); }
  // Cancelled since that revision, which need not have been read yet. Its tasks must end now.
  void OnCancellationLearned(const std::string& id, uint64_t revision, uint64_t read);
  void OnEnded(const std::string& id, JobStatus end);

  // --- A question about a job ---
  // What needs no look: what is over stays over.
  std::optional<JobStatus> FindEnded(const std::string& id) const;
  // After a look that began after the question; none: its final record must be read.
  std::optional<JobStatus> StatusAfterRead(const std::string& id) const;
  // What the read of its final record gave, after a look that had come up to `looked`; null: there
  // is none.
  JobStatus StatusFromFinalRecord(const std::string& id, const wire::Json* value, uint64_t version,
                                  uint64_t looked, uint64_t read);

  // --- The end of a job ---
  // What is to be done to cancel a job of which this is known.
  struct CancelStep {
    enum class Kind {
      kAnswer,     // `known`
      kReadAgain,  // again: its records have not been seen well enough
      kCommit,     // `records`, and its final record, of which there must be none
    };
    Kind kind = Kind::kAnswer;
    JobStatus status = JobStatus::kUndetermined;
    std::vector<RecordChange> records;
  };
  CancelStep PlanCancellation(const std::string& id, JobStatus known, uint64_t read) const;

  // --- A submission ---
  // Known without a write: its user is told what a question would be.
  bool Contains(const std::string& id) const {
    return records_.Find(id) != nullptr || ended_.contains(id);
  }

  // What may have been told of cancellations.
  const election::CancellationLog& cancellations() const { return cancellations_; }
  // A job that is accepted and, as far as is known, not over.
  const AcceptedJob* FindLive(const std::string& id) const {
    return cancelled_ahead_.contains(id) ? nullptr : records_.Find(id);
  }
  void ForEachLive(const std::function<void(const std::string& id, const AcceptedJob&)>& f) const;
  const JobRecords& records() const { return records_; }

 private:
  void ForgetCancelledAhead(uint64_t read);

  const Limits limits_;
  election::CancellationLog cancellations_;
  JobRecords records_;
  // Known to be cancelled since that revision, which was not read yet: whatever is read of them
  // before it, they are over. It may not even show yet that they were accepted.
  std::unordered_map<std::string, uint64_t> cancelled_ahead_;
  std::unordered_map<std::string, JobStatus> ended_;
  std::deque<std::string> ended_order_;
  // Asked about, and certainly unknown: what is read would have told if they had come up since. So
  // users who ask for what nobody has submitted cost no read each time.
  std::unordered_set<std::string> missing_;
};

}  // namespace mosspath::jobs
