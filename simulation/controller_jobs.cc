// Submissions, status queries and cancellations of users, as in service/job_service.
#include <memory>

#include "mosspath/admission/runnable.h"
#include "simulation/controller.h"
#include "simulation/store_keys.h"

namespace mosspath::simulation {
namespace {

constexpr double kAcceptanceTimeoutS = 2;
constexpr double kRetryAfterS = 1;

bool IsKnown(jobs::JobStatus status) {
  return status != jobs::JobStatus::kUndetermined && status != jobs::JobStatus::kMissing;
}

int HttpStatusOf(jobs::JobStatus status) {
  if (status == jobs::JobStatus::kUndetermined) return 503;
  return status == jobs::JobStatus::kMissing ? 404 : 200;
}

}  // namespace

// ---------------------------------------------------------------------------- submissions

void SimulatedController::OnSubmit(const wire::JobSpec& spec, const SubmitResponder& respond) {
  if (!alive_) return;
  if (frozen()) return RunUnlessFrozen([this, spec, respond] { OnSubmit(spec, respond); });
  const SubmitResponder send = [this, respond](int http_status, double retry_after_s) {
    environment_.network.Send(name_, kUsersHost, [respond, http_status, retry_after_s] {
      respond(http_status, retry_after_s);
    });
  };
  // A repeated submission of a job in the job index is answered before any other check.
  if (job_index_->Contains(spec.id)) return AnswerKnownSubmission(spec.id, send);
  if (newest_read_ == 0) return send(503, kRetryAfterS);
  if (!admission::ReasonNeverRunnable(spec, settings_.teams, environment_.types).empty()) {
    return AnswerInvalidSubmission(spec.id, send);
  }
  Admit(spec, send);
}

void SimulatedController::AnswerKnownSubmission(const std::string& id,
                                                const SubmitResponder& respond) {
  FindStatus(id, [this, id, respond](jobs::JobStatus status) {
    if (IsKnown(status)) ReportState(id, status);
    respond(IsKnown(status) ? 200 : 503, kRetryAfterS);
  });
}

// Answers a submission of a job that can't run under the current settings. The job may have been
// accepted under earlier settings.
void SimulatedController::AnswerInvalidSubmission(const std::string& id,
                                                  const SubmitResponder& respond) {
  FindStatus(id, [respond](jobs::JobStatus status) {
    const bool missing = status == jobs::JobStatus::kMissing;
    respond(missing ? 422 : HttpStatusOf(status), kRetryAfterS);
  });
}

void SimulatedController::Admit(const wire::JobSpec& spec, const SubmitResponder& respond) {
  const auto verdict = admission_->Request(spec, Now());
  if (!verdict.admit) {
    ++refused_;
    return respond(429, verdict.retry_after_s);
  }
  const double weight = admission::PriorityWeight(spec.priority);
  acceptance_queue_.Push(spec.team, spec.job_class, weight,
                         {spec, Now() + derived_.user_deadline_s, respond});
}

// ---------------------------------------------------------------------------- acceptance

void SimulatedController::AcceptanceLoop() {
  if (!alive_) return;
  After(1 / acceptance_rate_, [this] { AcceptanceLoop(); });
  DropOverdue();
  // Limits the batch as service/job_submitter does: a store transaction may have four times as many
  // conditions as changes. Each job takes two conditions, and the batch record takes one.
  const auto max_batch_size =
      static_cast<size_t>((4 * settings_.store_transaction_changes - 1) / 2);
  std::vector<PendingJob> batch;
  while (!acceptance_queue_.empty() && batch.size() < max_batch_size) {
    batch.push_back(acceptance_queue_.Pop());
  }
  if (!batch.empty()) AcceptBatch(std::move(batch));
}

void SimulatedController::DropOverdue() {
  acceptance_queue_.RemoveIf(
      [now = Now()](const PendingJob& pending) { return pending.deadline <= now; },
      [this](const PendingJob& pending) {
        admission_->controller().OnDropped(pending.spec.id);
        pending.respond(503, kRetryAfterS);
      });
}

void SimulatedController::AcceptBatch(std::vector<PendingJob> pending) {
  const auto batch = std::make_shared<std::vector<PendingJob>>(std::move(pending));
  const auto answered = std::make_shared<bool>(false);
  const auto finish = [this, process = process_, batch,
                       answered](const std::optional<Revisions>& revisions) {
    if (process != process_ || std::exchange(*answered, true)) return;
    OnBatchAnswered(*batch, revisions);
  };
  AfterInAnyProcess(kAcceptanceTimeoutS, [finish] { finish(std::nullopt); });
  CallStoreForChange<Revisions>([this, batch] { return CommitAcceptances(*batch); }, finish);
}

// Runs at the store.
SimulatedController::Revisions SimulatedController::CommitAcceptances(
    const std::vector<PendingJob>& batch) {
  Revisions revisions;
  for (const PendingJob& pending : batch) {
    const std::string key = kJobPrefix + pending.spec.id;
    const std::string final_key = kFinalPrefix + pending.spec.id;
    revisions.push_back(environment_.store.Commit(
        {{key, 0}, {final_key, 0}}, {{key, jobs::JobRecords::EncodeEntry(pending.spec, 0)}}));
  }
  return revisions;
}

void SimulatedController::OnBatchAnswered(const std::vector<PendingJob>& batch,
                                          const std::optional<Revisions>& revisions) {
  for (size_t i = 0; i < batch.size(); ++i) {
    const PendingJob& pending = batch[i];
    const std::string& id = pending.spec.id;
    if (revisions && (*revisions)[i] != 0) {
      admission_->controller().OnDurable(id, (*revisions)[i]);
      pending.respond(201, 0);
      continue;
    }
    admission_->controller().OnDropped(id);
    pending.respond(revisions ? 200 : 503, kRetryAfterS);
  }
}

// ---------------------------------------------------------------------------- status

void SimulatedController::FindStatus(const std::string& id, OnStatus done) {
  if (const auto known = job_index_->FindEnded(id)) return done(*known);
  ReadStore([this, id, done = std::move(done)](bool read) {
    const auto known = read ? job_index_->StatusAfterRead(id) : job_index_->FindEnded(id);
    if (known) return done(*known);
    if (!read) return done(jobs::JobStatus::kUndetermined);
    FindStatusInFinalRecord(id, done);
  });
}

void SimulatedController::FindStatusInFinalRecord(const std::string& id, const OnStatus& done) {
  using FinalRecord = std::optional<SimulatedKeyValueStore::Entry>;
  const uint64_t read_up_to = jobs_revision_;
  CallStore<FinalRecord>(
      [this, id]() -> FinalRecord {
        const auto& entries = environment_.store.entries();
        const auto found = entries.find(kFinalPrefix + id);
        return found == entries.end() ? std::nullopt : FinalRecord(found->second);
      },
      [this, id, read_up_to, done](const FinalRecord& record) {
        const wire::Json* value = record ? &record->value : nullptr;
        const uint64_t version = record ? record->version : 0;
        const auto status =
            job_index_->StatusFromFinalRecord(id, value, version, read_up_to, jobs_revision_);
        if (status == jobs::JobStatus::kCancelled) StopTasksOf(id);
        done(status);
      });
}

void SimulatedController::OnStatusQuery(const std::string& id, const StatusResponder& respond) {
  if (!alive_) return;
  if (frozen()) return RunUnlessFrozen([this, id, respond] { OnStatusQuery(id, respond); });
  FindStatus(id,
             [this, id, respond](jobs::JobStatus status) { AnswerStatus(id, status, respond); });
}

void SimulatedController::AnswerStatus(const std::string& id, jobs::JobStatus status,
                                       const StatusResponder& respond) {
  const int http_status = HttpStatusOf(status);
  const auto state = http_status == 200 ? ReportState(id, status) : wire::JobState::kQueued;
  environment_.network.Send(name_, kUsersHost,
                            [respond, http_status, state] { respond(http_status, state); });
}

wire::JobState SimulatedController::ReportState(const std::string& id, jobs::JobStatus status) {
  if (status == jobs::JobStatus::kCancelled) {
    environment_.observed.last_confirmer = name_;
    return wire::JobState::kCancelled;
  }
  if (status == jobs::JobStatus::kDone) return wire::JobState::kDone;
  const bool runs = scheduler_ && scheduler_->Counts(id).running > 0;
  return runs ? wire::JobState::kRunning : wire::JobState::kQueued;
}

// ---------------------------------------------------------------------------- cancellations

void SimulatedController::OnCancel(const std::string& id, const StatusResponder& respond) {
  if (!alive_) return;
  if (frozen()) return RunUnlessFrozen([this, id, respond] { OnCancel(id, respond); });
  const double deadline = Now() + derived_.user_deadline_s;
  TryCancel(id, deadline, [this, id, respond](jobs::JobStatus status) {
    // Each confirmation is reported, also if another controller wrote the cancellation.
    if (status == jobs::JobStatus::kCancelled) {
      environment_.rule_checker.OnCancellationConfirmed(id, environment_.clock.now());
    }
    AnswerStatus(id, status, respond);
  });
}

void SimulatedController::TryCancel(const std::string& id, double deadline, OnStatus done) {
  using Kind = jobs::JobIndex::CancelStep::Kind;
  FindStatus(id, [this, id, deadline, done = std::move(done)](jobs::JobStatus status) {
    const auto step = job_index_->PlanCancellation(id, status, jobs_revision_);
    if (step.kind == Kind::kAnswer) return done(step.status);
    if (Now() >= deadline) return done(jobs::JobStatus::kUndetermined);
    if (step.kind == Kind::kReadAgain) return TryCancel(id, deadline, done);
    CallStoreForChange<uint64_t>(
        [this, id, step] { return CommitEnd(id, jobs::JobStatus::kCancelled, step.records, {}); },
        [this, id, deadline, done](uint64_t revision) {
          if (revision == 0) return TryCancel(id, deadline, done);
          LearnCancelled(id, revision);
          done(jobs::JobStatus::kCancelled);
        });
  });
}

uint64_t SimulatedController::CommitEnd(const std::string& id, jobs::JobStatus end,
                                        const std::vector<jobs::RecordChange>& records,
                                        std::vector<Condition> conditions) {
  std::vector<Change> changes;
  conditions.push_back({kFinalPrefix + id, 0});
  changes.push_back({kFinalPrefix + id, jobs::EncodeFinalRecord(end)});
  for (const auto& record : records) {
    conditions.push_back({record.key, record.version});
    changes.push_back({record.key, record.value});
  }
  return environment_.store.Commit(conditions, changes);
}

void SimulatedController::LearnCancelled(const std::string& id, uint64_t revision) {
  job_index_->OnJobCancelled(id, revision, jobs_revision_);
  StopTasksOf(id);
}

void SimulatedController::StopTasksOf(const std::string& id) {
  if (scheduler_) scheduler_->RemoveJob(id, Now());
  if (holder_) holder_->OnJobEnded(id, Now());
}

}  // namespace mosspath::simulation
