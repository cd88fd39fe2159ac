// The status of jobs that a controller may report to users, and the changes that end a job. The
// index derives both from the records that were read, from what other controllers have sent, and
// from reads of the key-value store. Does no I/O: the service (service/job_service) and the
// simulation carry out the reads and changes.
//
// Invariants:
//   - after a read that began no earlier than the query, the reported status is never older than
//     any status that any controller has reported before;
//   - a job that has ended stays ended;
//   - the change that cancels or completes a job is conditional on the job having no final record.
//     Each job thus has exactly one end, the first that is committed.
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

// Undetermined: the status can't be established now.
enum class JobStatus { kLive, kDone, kCancelled, kMissing, kUndetermined };

// Encodes a final record, which is kept for ever.
wire::Json EncodeFinalRecord(JobStatus end);

class JobIndex {
 public:
  struct Limits {
    size_t finals = 0;         // ended jobs to cache; final records of other jobs are read again
    size_t cancellations = 0;  // entries of the cancellation log
  };
  // `single_prefix` and `batch_prefix` are the key prefixes of the job records; see JobRecords.
  JobIndex(std::string single_prefix, std::string batch_prefix, const Limits& limits)
      : limits_(limits),
        cancellations_(limits.cancellations),
        records_(std::move(single_prefix), std::move(batch_prefix)) {}

  // --- Records as read from the key-value store; everything up to `read_revision` was read ---
  void Reset();  // discards what was read; a reload follows
  // Throws if the record is malformed.
  JobRecords::Change OnRecord(const std::string& key, const wire::Json* value, uint64_t version);
  void OnFinalRecord(const std::string& id, const wire::Json& value, uint64_t version);
  void OnLoaded(uint64_t read_revision) { ForgetReadCancellations(read_revision); }

  // --- Information from other sources ---
  // Records that the previous process may have confirmed cancellations to users, up to `revision`.
  void AssumeReportedUpTo(uint64_t revision) { cancellations_.AssumeReportedUpTo(revision); }
  // Records that the job was cancelled at `revision`, which this controller may not have read yet.
  // The job's tasks must end now.
  void OnJobCancelled(const std::string& id, uint64_t revision, uint64_t read_revision);
  void OnEnded(const std::string& id, JobStatus end);

  // --- Queries ---
  // Returns the status of a job whose end is recorded here, otherwise nullopt. No read is needed
  // for an ended job, since the job stays ended.
  std::optional<JobStatus> FindEnded(const std::string& id) const;
  // Returns the job's status after a read that began after the query; nullopt: the job's final
  // record must be read.
  std::optional<JobStatus> StatusAfterRead(const std::string& id) const;
  // Returns the job's status according to its final record `value`; null: the job has no final
  // record. Everything up to `revision_at_request` had been read when the read of the final record
  // began.
  JobStatus StatusFromFinalRecord(const std::string& id, const wire::Json* value, uint64_t version,
                                  uint64_t revision_at_request, uint64_t read_revision);

  // --- Cancellation ---
  // The next step to cancel a job. `known` is the job's status as determined so far.
  struct CancelStep {
    enum class Kind {
      kAnswer,     // answer with `status`; nothing is to be changed
      kReadAgain,  // read again: some records of the job may not have been read yet
      kCommit,     // commit `records` and the final record, on condition that there is none yet
    };
    Kind kind = Kind::kAnswer;
    JobStatus status = JobStatus::kUndetermined;
    std::vector<RecordChange> records;
  };
  CancelStep PlanCancellation(const std::string& id, JobStatus known, uint64_t read_revision) const;

  // --- Submissions ---
  // Whether this controller has read the job's acceptance, or has recorded its end. A repeated
  // submission of such a job needs no write.
  bool Contains(const std::string& id) const {
    return records_.Find(id) != nullptr || ended_.contains(id);
  }

  // The cancellations that may have been confirmed to users.
  const election::CancellationLog& cancellations() const { return cancellations_; }
  // Returns the job if it is live according to the records read so far, and this controller has
  // received no cancellation that those records don't contain yet; otherwise null.
  const AcceptedJob* FindLive(const std::string& id) const {
    return unread_cancellations_.contains(id) ? nullptr : records_.Find(id);
  }
  void ForEachLive(
      const std::function<void(const std::string& id, const AcceptedJob&)>& visit) const;
  const JobRecords& records() const { return records_; }

 private:
  void ForgetReadCancellations(uint64_t read_revision);

  const Limits limits_;
  election::CancellationLog cancellations_;
  JobRecords records_;
  // Cancelled jobs, with the revision of the cancellation, which this controller has not read yet.
  // These jobs have ended, whatever the records before that revision contain. Even the acceptance
  // of such a job may not have been read yet.
  std::unordered_map<std::string, uint64_t> unread_cancellations_;
  std::unordered_map<std::string, JobStatus> ended_;
  std::deque<std::string> ended_order_;
  // Jobs that were queried and do not exist. A job is removed from this set when a record of the
  // job is read. Repeated queries for a job that was never submitted thus don't each cost a read.
  std::unordered_set<std::string> missing_;
};

}  // namespace mosspath::jobs
