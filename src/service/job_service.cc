#include "mosspath/service/job_service.h"

#include <spdlog/spdlog.h>

#include <utility>

#include "mosspath/service/keys.h"

namespace mosspath::service {
namespace {

// Cached final states per megabyte of the memory limit: about a tenth of it.
constexpr double kFinalsPerMb = 600;
// Cancellations that peers can be told of: as many as fit a few answers.
constexpr double kCancelledPerMb = 20;

}  // namespace

JobService::JobService(asio::io_context& io, kvstore::Client& state, kvstore::WatchCache& mirror,
                       AdmissionService& admission, const config::Settings& settings,
                       const config::DerivedSettings& derived)
    : state_(state),
      mirror_(mirror),
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
    // What came to be over before it was seen to come.
    std::erase_if(change.accepted, [this](const auto& id) { return FindLive(id) == nullptr; });
    return change;
  } catch (const std::exception& error) {
    spdlog::error("jobs: unreadable record {}: {}", e.key, error.what());
    return {};
  }
}

void JobService::OnFinalRecord(const kvstore::Event& e) {
  if (!e.value) return;  // never deleted
  index_.OnFinalRecord(e.key.substr(keys::kFinal.size()), *e.value, e.version);
}

void JobService::OnCancellationLearned(const std::string& id, uint64_t revision) {
  index_.OnCancellationLearned(id, revision, mirror_.revision());
  if (on_cancelled_ahead) on_cancelled_ahead(id);
}

void JobService::Lookup(const std::string& id, std::function<void(JobStatus)> done) {
  if (const auto known = index_.FindEnded(id)) return done(*known);
  mirror_.CatchUp([this, id, done = std::move(done)](bool ok) {
    if (const auto known = ok ? index_.StatusAfterRead(id) : index_.FindEnded(id)) {
      return done(*known);
    }
    if (!ok) return done(JobStatus::kUndetermined);
    state_.Get(keys::Final(id),
               [this, id, looked = mirror_.revision(), done](const kvstore::GetResult& v) {
                 if (v.kind == kvstore::GetResult::Kind::kFailed)
                   return done(JobStatus::kUndetermined);
                 const bool missing = v.kind == kvstore::GetResult::Kind::kMissing;
                 const uint64_t read = mirror_.loaded() ? mirror_.revision() : 0;
                 const JobStatus known = index_.StatusFromFinalRecord(
                     id, missing ? nullptr : &v.value, v.version, looked, read);
                 if (known == JobStatus::kCancelled && on_cancelled_ahead) on_cancelled_ahead(id);
                 done(known);
               });
  });
}

void JobService::Submit(const wire::JobSpec& spec, std::function<void(SubmitOutcome)> done) {
  // A retry needs no write.
  if (index_.Contains(spec.id)) return done(SubmitOutcome::kAlreadyRecorded);
  // Another controller may have accepted it a moment ago, in a record of its own. A look that began
  // now tells, and takes no longer than the write does.
  struct Both {
    int missing = 2;
    SubmitOutcome outcome = SubmitOutcome::kUndetermined;
    uint64_t revision = 0;
  };
  const auto both = std::make_shared<Both>();
  const auto join = [this, id = spec.id, both, done = std::move(done)] {
    if (--both->missing > 0) return;
    const auto* known = records().Find(id);
    const bool earlier = known != nullptr && known->version < both->revision;
    done(both->outcome == SubmitOutcome::kNew && earlier ? SubmitOutcome::kAlreadyRecorded
                                                         : both->outcome);
  };
  mirror_.CatchUp([join](bool) { join(); });
  submitter_.Submit(spec, mirror_.revision(),
                    [this, id = spec.id, both, join](SubmitOutcome outcome, uint64_t revision) {
                      if (outcome == SubmitOutcome::kNew) {
                        admission_.controller().OnDurable(id, revision);
                      } else {
                        admission_.controller().OnDropped(id);
                      }
                      both->outcome = outcome;
                      both->revision = revision;
                      join();
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
    const auto step = index_.PlanCancellation(id, known, mirror_.revision());
    if (step.kind == Kind::kAnswer) return done(step.status);
    const double left = deadline - net::Now();
    if (left <= 0) return done(JobStatus::kUndetermined);
    if (step.kind == Kind::kReadAgain) return TryCancel(id, deadline, done);
    kvstore::Transaction txn;
    // One end only, whoever is first.
    txn.conditions.push_back({keys::Final(id), 0});
    AddRecordChanges(txn, step.records);
    txn.changes.push_back({keys::Final(id), jobs::EncodeFinalRecord(JobStatus::kCancelled)});
    state_.Commit(std::move(txn), left, [this, id, deadline, done](kvstore::TransactionResult r) {
      if (r.outcome == kvstore::Outcome::kDone) {
        OnCancellationLearned(id, r.revision);
        return done(JobStatus::kCancelled);
      }
      if (r.outcome == kvstore::Outcome::kConflict) return TryCancel(id, deadline, done);
      done(JobStatus::kUndetermined);
    });
  });
}

}  // namespace mosspath::service
