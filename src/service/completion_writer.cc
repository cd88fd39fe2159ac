#include "mosspath/service/completion_writer.h"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <utility>

#include "mosspath/net/timer.h"
#include "mosspath/service/keys.h"
#include "mosspath/service/record_limits.h"

namespace mosspath::service {
namespace {

size_t ValueBytes(const std::vector<jobs::RecordChange>& records) {
  size_t bytes = 0;
  for (const auto& record : records) bytes += record.value ? record.value->dump().size() : 0;
  return bytes;
}

}  // namespace

CompletionWriter::CompletionWriter(const LeaderContext& context,
                                   std::function<void(const std::string& id)> on_completed)
    : context_(context), on_completed_(std::move(on_completed)) {}

bool CompletionWriter::IsBeingWritten(const jobs::RecordChange& record) const {
  const auto found = replaced_versions_.find(record.key);
  return found != replaced_versions_.end() && found->second == record.version;
}

bool CompletionWriter::AnyIsBeingWritten(const std::vector<jobs::RecordChange>& records) const {
  return std::any_of(records.begin(), records.end(),
                     [this](const auto& record) { return IsBeingWritten(record); });
}

void CompletionWriter::MarkBeingWritten(const std::vector<jobs::RecordChange>& records) {
  for (const auto& record : records) replaced_versions_[record.key] = record.version;
}

void CompletionWriter::ForgetBeingWritten(const std::vector<jobs::RecordChange>& records) {
  for (const auto& record : records) replaced_versions_.erase(record.key);
}

bool CompletionWriter::Fits(const Batch& batch) const {
  const auto max_changes =
      static_cast<size_t>(std::max(2, context_.settings.store_transaction_changes));
  return batch.ids.size() + batch.records.size() <= max_changes &&
         ValueBytes(batch.records) <= kMaxRecordBytes;
}

// Batches completions: many short jobs may complete at once, and jobs that were accepted together
// share a job record. A transaction has one change for each job's final record and one for each job
// record.
void CompletionWriter::WriteCompletions() {
  const auto& records = context_.jobs.records();
  const uint64_t revision = context_.jobs.revision();
  Batch batch;
  for (const std::string& id : context_.scheduler.TakeCompletedJobs()) {
    auto own = records.PlanEnd({id}, revision);
    if (own.empty() || AnyIsBeingWritten(own)) {
      context_.scheduler.OnCompletionFailed(id);  // retried with the next pass
      continue;
    }
    Batch wider = batch;
    wider.ids.push_back(id);
    wider.records = records.PlanEnd(wider.ids, revision);
    if (!batch.ids.empty() && !Fits(wider)) {
      Commit(batch);
      wider = {{id}, std::move(own)};
    }
    batch = std::move(wider);
  }
  if (!batch.ids.empty()) Commit(batch);
}

void CompletionWriter::Commit(const Batch& batch) {
  kvstore::Transaction transaction = LeaderTransaction(context_.term);
  AddRecordChanges(transaction, batch.records);
  MarkBeingWritten(batch.records);
  for (const std::string& id : batch.ids) {
    transaction.conditions.push_back({keys::Final(id), 0});
    transaction.changes.push_back(
        {keys::Final(id), jobs::EncodeFinalRecord(jobs::JobStatus::kDone)});
  }
  context_.store.Commit(
      transaction, context_.derived.user_deadline_s,
      context_.term.Guard(
          [this, batch](const kvstore::TransactionResult& result) { OnCommitted(batch, result); }));
}

void CompletionWriter::OnCommitted(const Batch& batch, const kvstore::TransactionResult& result) {
  if (result.outcome != kvstore::Outcome::kDone) {
    ForgetBeingWritten(batch.records);
    // The scheduler reports these jobs again in a later pass. If the transaction conflicted, the
    // watch cache contains the cause by then: a cancellation, a change of the record for another
    // job, or another leader.
    for (const std::string& id : batch.ids) context_.scheduler.OnCompletionFailed(id);
    return;
  }
  for (const std::string& id : batch.ids) {
    spdlog::info("service: job_done job={}", id);
    context_.scheduler.OnJobFinished(id, net::Now());
    on_completed_(id);
    context_.scheduler.RemoveJob(id, net::Now());
  }
}

void CompletionWriter::CleanUpRecords() {
  const auto& records = context_.jobs.records();
  std::erase_if(replaced_versions_,
                [&](const auto& entry) { return records.VersionOf(entry.first) != entry.second; });
  const int max_changes = context_.settings.store_transaction_changes;
  if (context_.store.WriteDelay(max_changes) > 0) return;
  auto changes = records.PlanCleanup(context_.jobs.revision(), static_cast<size_t>(max_changes));
  std::erase_if(changes, [this](const auto& record) { return IsBeingWritten(record); });
  if (changes.empty()) return;
  kvstore::Transaction transaction = LeaderTransaction(context_.term);
  AddRecordChanges(transaction, changes);
  MarkBeingWritten(changes);
  context_.store.Commit(
      transaction, context_.derived.user_deadline_s,
      context_.term.Guard([this, changes](const kvstore::TransactionResult& result) {
        if (result.outcome != kvstore::Outcome::kDone) ForgetBeingWritten(changes);
      }));
}

}  // namespace mosspath::service
