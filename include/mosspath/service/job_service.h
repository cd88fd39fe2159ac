// Every node's view of the jobs, and the durable steps of their lives: accept and cancel. Carries
// out the looks and changes that jobs/job_index decides.
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

// The changes of records, on condition that they are as they were.
void AddRecordChanges(kvstore::Transaction& txn, const std::vector<jobs::RecordChange>& records);

class JobService {
 public:
  using JobStatus = jobs::JobStatus;
  using SubmitOutcome = JobSubmitter::Outcome;

  JobService(asio::io_context& io, kvstore::Client& state, kvstore::WatchCache& mirror,
             AdmissionService& admission, const config::Settings& settings,
             const config::DerivedSettings& derived);

  // The mirror's view.
  void OnReset();
  // Which jobs came and ended with this record.
  jobs::JobRecords::Change OnRecord(const kvstore::Event& e);
  void OnFinalRecord(const kvstore::Event& e);
  // Whether acceptances may share records.
  void SetBatching(bool allowed) { submitter_.SetBatching(allowed); }
  // Up to this revision, the process before this one may have told of cancellations.
  void AssumeReportedUpTo(uint64_t revision) { index_.AssumeReportedUpTo(revision); }
  // The mirror shows all that was written until then.
  void OnLoaded(uint64_t revision) {
    index_.OnLoaded(revision);
    admission_.controller().OnLoaded(revision);
  }
  // Cancelled since that revision, as another controller says; the mirror need not show it yet.
  void OnCancellationLearned(const std::string& id, uint64_t revision);
  // Called when a job is known to be cancelled ahead of the mirror: its tasks must end now. Until
  // the mirror shows it, which takes as long as an outage does, the job is live in the ledger only.
  std::function<void(const std::string& id)> on_cancelled_ahead;

  void Lookup(const std::string& id, std::function<void(JobStatus)> done);
  void Submit(const wire::JobSpec& spec, std::function<void(SubmitOutcome)> done);
  void Cancel(const std::string& id, std::function<void(JobStatus)> done);
  void OnEnded(const std::string& id, JobStatus state) { index_.OnEnded(id, state); }

  // What this node knows to be durable, and may have told.
  const election::CancellationLog& cancellations() const { return index_.cancellations(); }
  // A job that is accepted and, as far as is known, not over.
  const jobs::AcceptedJob* FindLive(const std::string& id) const { return index_.FindLive(id); }

  void ForEachLive(
      const std::function<void(const std::string& id, const jobs::AcceptedJob&)>& f) const {
    index_.ForEachLive(f);
  }
  const jobs::JobRecords& records() const { return index_.records(); }
  // All that was written until then is in the ledger.
  uint64_t revision() const { return mirror_.revision(); }

 private:
  void TryCancel(const std::string& id, double deadline, std::function<void(JobStatus)> done);

  kvstore::Client& state_;
  kvstore::WatchCache& mirror_;
  AdmissionService& admission_;
  const config::DerivedSettings derived_;
  jobs::JobIndex index_;
  JobSubmitter submitter_;
};

}  // namespace mosspath::service
