#include "mosspath/service/job_submitter.h"

#include <algorithm>
#include <chrono>
#include <tuple>
#include <utility>

#include "mosspath/admission/admission_controller.h"
#include "mosspath/jobs/job_records.h"
#include "mosspath/service/keys.h"

namespace mosspath::service {
namespace {

constexpr size_t kMaxTransactionsInFlight = 2;
constexpr size_t kMaxPendingJobs = 512;
// A batch record fills at most this fraction of the size limit of a value.
constexpr double kMaxRecordFill = 0.8;
// A batch record is kept small, since the whole record is rewritten whenever one of its jobs ends.
constexpr size_t kMaxBatchRecordBytes = 8u << 10;

double WallSeconds() {
  return std::chrono::duration<double>(std::chrono::system_clock::now().time_since_epoch()).count();
}

}  // namespace

JobSubmitter::JobSubmitter(asio::io_context& io, kvstore::Client& store,
                           const config::Settings& settings, const config::DerivedSettings& derived)
    : store_(store),
      node_(settings.name),
      // The key-value store allows four conditions in a transaction for each change that it allows.
      // Each job takes two conditions, and the batch record takes one.
      max_batch_jobs_(
          static_cast<size_t>(std::max(1, (4 * settings.store_transaction_changes - 1) / 2))),
      max_batch_bytes_(static_cast<size_t>(
          kMaxRecordFill * std::min<double>(settings.store_value_kb * 1024, kMaxBatchRecordBytes))),
      deadline_s_(derived.user_deadline_s),
      timer_(io) {}

void JobSubmitter::Submit(const wire::JobSpec& spec, uint64_t revision, Done done) {
  revision_ = std::max(revision_, revision);
  // A team with pending jobs may add a job only while it has fewer pending jobs than the queue has
  // free places (as in AdmissionController). So a team that floods the queue leaves space for other
  // teams.
  const size_t waiting = waiting_.size() + retried_alone_.size();
  const size_t of_team = waiting_.SizeOf(spec.team);
  if (waiting >= kMaxPendingJobs || (of_team > 0 && of_team >= kMaxPendingJobs - waiting)) {
    return done(Outcome::kQueueFull, 0);
  }
  PendingJob job{spec.id,
                 spec.team,
                 spec.job_class,
                 admission::PriorityWeight(spec.priority),
                 jobs::JobRecords::EncodeEntry(spec, WallSeconds()),
                 0,
                 net::Now() + deadline_s_,
                 false,
                 std::move(done)};
  job.bytes = job.entry.dump().size() + 1;
  const auto [team, job_class, weight] = std::tuple(job.team, job.job_class, job.weight);
  waiting_.Push(team, job_class, weight, std::move(job));
  Pump();
}

JobSubmitter::PendingJob JobSubmitter::Pop() {
  if (retried_alone_.empty()) return waiting_.Pop();
  PendingJob job = std::move(retried_alone_.front());
  retried_alone_.pop_front();
  return job;
}

void JobSubmitter::ExpireOverdue() {
  const auto is_overdue = [now = net::Now()](const PendingJob& job) { return job.deadline <= now; };
  std::vector<PendingJob> overdue;
  waiting_.RemoveIf(is_overdue, [&](PendingJob job) { overdue.push_back(std::move(job)); });
  for (PendingJob& job : retried_alone_) {
    if (is_overdue(job)) overdue.push_back(std::move(job));
  }
  std::erase_if(retried_alone_, is_overdue);
  for (PendingJob& job : overdue) job.done(Outcome::kUndetermined, 0);
}

void JobSubmitter::Pump() {
  ExpireOverdue();
  while (HasPending() && transactions_in_flight_ < kMaxTransactionsInFlight) {
    // The write rate limit allows no transaction now. Jobs that arrive before the limit allows the
    // next transaction can join that transaction.
    if (const double wait = store_.WriteDelay(1); wait > 0) {
      timer_.After(wait + 0.002, [this] { Pump(); });
      return;
    }
    std::deque<PendingJob> batch;
    size_t bytes = 32;
    while (HasPending()) {
      const PendingJob& job = Front();
      const bool fits =
          batch.empty() ||
          (batching_ && !job.must_be_sent_alone && !batch.front().must_be_sent_alone &&
           batch.size() < max_batch_jobs_ && bytes + job.bytes <= max_batch_bytes_);
      if (!fits) break;
      bytes += job.bytes;
      batch.push_back(Pop());
    }
    Send(std::move(batch));
  }
  // Pending jobs are answered by their deadline even if the transactions in flight get no answer.
  if (HasPending()) timer_.After(deadline_s_ / 8, [this] { Pump(); });
}

void JobSubmitter::Send(std::deque<PendingJob> batch) {
  kvstore::Transaction txn;
  for (const PendingJob& job : batch) {
    txn.conditions.push_back({keys::Job(job.id), 0});
    txn.conditions.push_back({keys::Final(job.id), 0});
  }
  if (batching_) {
    // No other batch has this key: no other process uses this controller's name with this revision,
    // and this process numbers its batches.
    const std::string key = keys::kBatches + node_ + "." + std::to_string(revision_) + "." +
                            std::to_string(++batch_count_);
    txn.conditions.push_back({key, 0});
    std::vector<wire::Json> entries;
    entries.reserve(batch.size());
    for (const PendingJob& job : batch) entries.push_back(job.entry);
    txn.changes.push_back({key, jobs::JobRecords::EncodeBatch(std::move(entries))});
  } else {
    txn.changes.push_back({keys::Job(batch.front().id), batch.front().entry});
  }
  ++transactions_in_flight_;
  const double remaining_s = batch.front().deadline - net::Now();
  store_.Commit(txn, remaining_s,
                [this, batch = std::make_shared<std::deque<PendingJob>>(std::move(batch))](
                    const kvstore::TransactionResult& r) {
                  --transactions_in_flight_;
                  OnAnswer(std::move(*batch), r);
                  Pump();
                });
}

void JobSubmitter::OnAnswer(std::deque<PendingJob> batch, const kvstore::TransactionResult& r) {
  if (r.outcome == kvstore::Outcome::kConflict && batch.size() > 1) {
    // At least one job of the batch already has a record. The jobs are retried one by one, so that
    // only the jobs with a record are refused.
    for (PendingJob& job : batch) {
      job.must_be_sent_alone = true;
      retried_alone_.push_back(std::move(job));
    }
    return;
  }
  for (PendingJob& job : batch) {
    job.done(r.outcome == kvstore::Outcome::kDone       ? Outcome::kNew
             : r.outcome == kvstore::Outcome::kConflict ? Outcome::kAlreadyRecorded
                                                        : Outcome::kUndetermined,
             r.revision);
  }
}

}  // namespace mosspath::service
