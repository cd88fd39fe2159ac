#include "mosspath/service/job_service.h"

#include <spdlog/spdlog.h>

#include <utility>

#include "mosspath/service/keys.h"

namespace mosspath::service {
namespace {

// Maximum number of cached final statuses per megabyte of the memory limit. A full cache uses about
// a tenth of the memory.
constexpr double kFinalsPerMb = 600;
// Maximum number of entries of the cancellation log per megabyte of the memory limit. The leader
// reads the logs of its peers from their responses to promise requests; a whole log fits in a few
// responses.
constexpr double kCancelledPerMb = 20;

}  // namespace

JobService::JobService(asio::io_context& io, kvstore::Client& state,
                       kvstore::WatchCache& watch_cache, AdmissionService& admission,
                       const config::Settings& settings, const config::DerivedSettings& derived)
    : store_(state),
      watch_cache_(watch_cache),
      admission_(admission),
      derived_(derived),
      index_(keys::kJobs, keys::kBatches,
             {.finals = static_cast<size_t>(kFinalsPerMb * settings.memory_mb),
              .cancellations = static_cast<size_t>(kCancelledPerMb * settings.memory_mb)}),
      submitter_(io, state, settings, derived) {}

void JobService::OnReset() {
  index_.Reset();
  admission_.controller().Clear();
}

jobs::JobRecords::Change JobService::OnRecord(const kvstore::Event& e) {
  try {
    auto change = index_.OnRecord(e.key, e.value ? &*e.value : nullptr, e.version);
    for (const auto& id : change.accepted)
      admission_.controller().OnAccepted(records().Find(id)->spec);
    for (const auto& id : change.ended) admission_.controller().OnEnded(id, net::Now());
    // Removes the jobs that ended before this controller read their acceptance.
    std::erase_if(change.accepted, [this](const auto& id) { return FindLive(id) == nullptr; });
    return change;
  } catch (const std::exception& error) {
    spdlog::error("service: job_record_malformed key={} error={}", e.key, error.what());
    return {};
  }
}

void JobService::OnFinalRecord(const kvstore::Event& e) {
  if (!e.value) return;  // final records are never deleted
  index_.OnFinalRecord(e.key.substr(keys::kFinal.size()), *e.value, e.version);
}

void JobService::OnJobCancelled(const std::string& id, uint64_t revision) {
  index_.OnJobCancelled(id, revision, watch_cache_.revision());
  if (on_job_cancelled) on_job_cancelled(id);
}

void JobService::Lookup(const std::string& id, std::function<void(JobStatus)> done) {
  if (const auto known = index_.FindEnded(id)) return done(*known);
  watch_cache_.CatchUp([this, id, done = std::move(done)](bool ok) {
    if (const auto known = ok ? index_.StatusAfterRead(id) : index_.FindEnded(id)) {
      return done(*known);
    }
    if (!ok) return done(JobStatus::kUndetermined);
    store_.Get(keys::Final(id), [this, id, revision_at_request = watch_cache_.revision(),
                                 done](const kvstore::GetResult& v) {
      if (v.kind == kvstore::GetResult::Kind::kFailed) return done(JobStatus::kUndetermined);
      const bool missing = v.kind == kvstore::GetResult::Kind::kMissing;
      const uint64_t read = watch_cache_.loaded() ? watch_cache_.revision() : 0;
      const JobStatus known = index_.StatusFromFinalRecord(id, missing ? nullptr : &v.value,
                                                           v.version, revision_at_request, read);
      if (known == JobStatus::kCancelled && on_job_cancelled) on_job_cancelled(id);
      done(known);
    });
  });
}

admission::AdmissionVerdict JobService::Submit(const wire::JobSpec& spec,
                                               std::function<void(SubmitOutcome)> done) {
  // A retry of a recorded job needs no write and takes no budget. The retry of a job that has ended
  // must not be counted as in flight: nothing would ever end that.
  if (index_.Contains(spec.id)) {
    done(SubmitOutcome::kAlreadyRecorded);
    return {true, 0, {}};
  }
  admission::AdmissionVerdict verdict = admission_.Request(spec, net::Now());
  if (verdict.admit) Write(spec, std::move(done));
  return verdict;
}

void JobService::Write(const wire::JobSpec& spec, std::function<void(SubmitOutcome)> done) {
  // Another controller may have accepted the job just before, in a record under another key, with
  // which the write does not conflict. A read of the watch cache that begins now returns that
  // record. The read runs in parallel with the write and takes no longer.
  struct PendingSubmission {
    int missing = 2;
    SubmitOutcome outcome = SubmitOutcome::kUndetermined;
    uint64_t revision = 0;
  };
  const auto pending = std::make_shared<PendingSubmission>();
  const auto on_step_done = [this, id = spec.id, pending, done = std::move(done)] {
    if (--pending->missing > 0) return;
    const auto* known = records().Find(id);
    const bool accepted_earlier = known != nullptr && known->version < pending->revision;
    done(pending->outcome == SubmitOutcome::kNew && accepted_earlier
             ? SubmitOutcome::kAlreadyRecorded
             : pending->outcome);
  };
  watch_cache_.CatchUp([on_step_done](bool) { on_step_done(); });
  submitter_.Submit(
      spec, watch_cache_.revision(),
      [this, id = spec.id, pending, on_step_done](SubmitOutcome outcome, uint64_t revision) {
        if (outcome == SubmitOutcome::kNew) {
          admission_.controller().OnDurable(id, revision);
        } else {
          admission_.controller().OnDropped(id);
        }
        pending->outcome = outcome;
        pending->revision = revision;
        on_step_done();
      });
}

void AddRecordChanges(kvstore::Transaction& txn, const std::vector<jobs::RecordChange>& records) {
  for (const auto& r : records) {
    txn.conditions.push_back({r.key, r.version});
    txn.changes.push_back({r.key, r.value});
  }
}

void JobService::Cancel(const std::string& id, std::function<void(JobStatus)> done) {
  TryCancel(id, net::Now() + derived_.user_deadline_s, std::move(done));
}

void JobService::TryCancel(const std::string& id, double deadline,
                           std::function<void(JobStatus)> done) {
  Lookup(id, [this, id, deadline, done = std::move(done)](JobStatus known) {
    using Kind = jobs::JobIndex::CancelStep::Kind;
    const auto step = index_.PlanCancellation(id, known, watch_cache_.revision());
    if (step.kind == Kind::kAnswer) return done(step.status);
    const double remaining_s = deadline - net::Now();
    if (remaining_s <= 0) return done(JobStatus::kUndetermined);
    if (step.kind == Kind::kReadAgain) return TryCancel(id, deadline, done);
    kvstore::Transaction txn;
    // The job must not have a final record yet: the first final record of a job is never replaced.
    txn.conditions.push_back({keys::Final(id), 0});
    AddRecordChanges(txn, step.records);
    txn.changes.push_back({keys::Final(id), jobs::EncodeFinalRecord(JobStatus::kCancelled)});
    store_.Commit(txn, remaining_s, [this, id, deadline, done](kvstore::TransactionResult r) {
      if (r.outcome == kvstore::Outcome::kDone) {
        spdlog::info("service: cancellation_learned job={} way=commit revision={}", id, r.revision);
        OnJobCancelled(id, r.revision);
        return done(JobStatus::kCancelled);
      }
      if (r.outcome == kvstore::Outcome::kConflict) return TryCancel(id, deadline, done);
      done(JobStatus::kUndetermined);
    });
  });
}

}  // namespace mosspath::service
