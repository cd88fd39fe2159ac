// The jobs that this controller has read from the key-value store, and the durable changes that
// users request: submission and cancellation. Carries out the reads and changes that jobs/job_index
// decides. Runs on every controller; not thread-safe.
#pragma once

#include <functional>
#include <string>

#include "mosspath/jobs/job_index.h"
#include "mosspath/kvstore/client.h"
#include "mosspath/kvstore/watch_cache.h"
#include "mosspath/service/admission_service.h"
#include "mosspath/service/job_submitter.h"
#include "mosspath/service/keys.h"
#include "mosspath/wire/messages.h"

namespace mosspath::service {

// Adds the changes of the records to the transaction, on condition that the records' versions are
// unchanged.
void AddRecordChanges(kvstore::Transaction& txn, const std::vector<jobs::RecordChange>& records);

class JobService {
 public:
  using JobStatus = jobs::JobStatus;
  using SubmitOutcome = JobSubmitter::Outcome;

  JobService(asio::io_context& io, kvstore::Client& state, kvstore::WatchCache& watch_cache,
             AdmissionService& admission, const config::Settings& settings,
             const config::DerivedSettings& derived);

  // --- Events of the watch cache ---
  void OnReset();
  // Applies an event of a job record. Returns the jobs that are newly accepted and the jobs that
  // have newly ended according to the record.
  jobs::JobRecords::Change OnRecord(const kvstore::Event& e);
  void OnFinalRecord(const kvstore::Event& e);
  // Sets whether several jobs may share a record.
  void SetBatching(bool allowed) { submitter_.SetBatching(allowed); }
  // The previous process may have confirmed cancellations up to this revision.
  void AssumeReportedUpTo(uint64_t revision) { index_.AssumeReportedUpTo(revision); }
  // The watch cache is complete up to this revision.
  void OnLoaded(uint64_t revision) {
    index_.OnLoaded(revision);
    admission_.controller().OnLoaded(revision);
  }
  // The job was cancelled at `revision`, according to another controller or to a transaction that
  // this controller has committed. The watch cache may not contain the cancellation yet.
  void OnJobCancelled(const std::string& id, uint64_t revision);
  // Called with the id of a job when this controller receives the job's cancellation from a source
  // other than the watch cache. During an outage of the key-value store, the watch cache does not
  // receive the cancellation until the outage ends. The job's tasks must end at once, although the
  // cached job records still contain the job as not ended.
  std::function<void(const std::string& id)> on_job_cancelled;

  // --- Requests of users ---
  void Lookup(const std::string& id, std::function<void(JobStatus)> done);
  // Submits the job unless it is recorded already. Returns the verdict of admission control, and
  // calls `done` only if that admits the job. The tasks of an admitted job count as in flight until
  // this controller has read the job's record or the submission has failed.
  [[nodiscard]] admission::AdmissionVerdict Submit(const wire::JobSpec& spec,
                                                   std::function<void(SubmitOutcome)> done);
  void Cancel(const std::string& id, std::function<void(JobStatus)> done);
  // The job has ended, and its final record is durable.
  void OnEnded(const std::string& id, JobStatus state) { index_.OnEnded(id, state); }

  // Returns the log of the durable cancellations that this controller may have confirmed to users.
  const election::CancellationLog& cancellations() const { return index_.cancellations(); }
  // Returns the job if, as far as this controller has read, it is accepted and has not ended;
  // otherwise null.
  const jobs::AcceptedJob* FindLive(const std::string& id) const { return index_.FindLive(id); }

  void ForEachLive(
      const std::function<void(const std::string& id, const jobs::AcceptedJob&)>& f) const {
    index_.ForEachLive(f);
  }
  const jobs::JobRecords& records() const { return index_.records(); }
  // Returns the revision up to which the job records are complete.
  uint64_t revision() const { return watch_cache_.revision(); }

 private:
  // Writes the record of an admitted job.
  void Write(const wire::JobSpec& spec, std::function<void(SubmitOutcome)> done);
  void TryCancel(const std::string& id, double deadline, std::function<void(JobStatus)> done);

  kvstore::Client& store_;
  kvstore::WatchCache& watch_cache_;
  AdmissionService& admission_;
  const config::DerivedSettings derived_;
  jobs::JobIndex index_;
  JobSubmitter submitter_;
};

}  // namespace mosspath::service
