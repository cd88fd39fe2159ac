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

constexpr size_t kMostOut = 2;             // transactions under way at once
constexpr size_t kMostWaiting = 512;       // jobs
constexpr double kRecordFill = 0.8;        // of a value's bound
constexpr size_t kRecordBytes = 8u << 10;  // larger ones cost more to write again at each end

double WallSeconds() {
  return std::chrono::duration<double>(std::chrono::system_clock::now().time_since_epoch()).count();
}

}  // namespace

JobSubmitter::JobSubmitter(asio::io_context& io, kvstore::Client& state,
                           const config::Settings& settings, const config::DerivedSettings& derived)
    : state_(state),
      node_(settings.name),
      // Two conditions a job and one for the record, of four times as many as changes.
      most_jobs_(
          static_cast<size_t>(std::max(1, (4 * settings.store_transaction_changes - 1) / 2))),
      most_bytes_(static_cast<size_t>(
          kRecordFill * std::min<double>(settings.store_value_kb * 1024, kRecordBytes))),
      deadline_s_(derived.user_deadline_s),
      timer_(io) {}

void JobSubmitter::Submit(const wire::JobSpec& spec, uint64_t revision, Done done) {
  revision_ = std::max(revision_, revision);
  // As in the gate: one team's flood stops itself while there are places left for others.
  const size_t waiting = waiting_.size() + retried_alone_.size();
  const size_t of_team = waiting_.SizeOf(spec.team);
  if (waiting >= kMostWaiting || (of_team > 0 && of_team >= kMostWaiting - waiting)) {
    return done(Outcome::kQueueFull, 0);
  }
  PendingJob w{spec.id,
               spec.team,
               spec.job_class,
               admission::PriorityWeight(spec.priority),
               jobs::JobRecords::EncodeEntry(spec, WallSeconds()),
               0,
               net::Now() + deadline_s_,
               false,
               std::move(done)};
  w.bytes = w.entry.dump().size() + 1;
  const auto [team, job_class, weight] = std::tuple(w.team, w.job_class, w.weight);
  waiting_.Push(team, job_class, weight, std::move(w));
  Pump();
}

JobSubmitter::PendingJob JobSubmitter::Pop() {
  if (retried_alone_.empty()) return waiting_.Pop();
  PendingJob w = std::move(retried_alone_.front());
  retried_alone_.pop_front();
  return w;
}

void JobSubmitter::ExpireOverdue() {
  const auto is_late = [now = net::Now()](const PendingJob& w) { return w.deadline <= now; };
  std::vector<PendingJob> late;
  waiting_.RemoveIf(is_late, [&](PendingJob w) { late.push_back(std::move(w)); });
  for (PendingJob& w : retried_alone_) {
    if (is_late(w)) late.push_back(std::move(w));
  }
  std::erase_if(retried_alone_, is_late);
  for (PendingJob& w : late) w.done(Outcome::kUndetermined, 0);
}

void JobSubmitter::Pump() {
  ExpireOverdue();
  while (AnyWaits() && transactions_in_flight_ < kMostOut) {
    // While the rate has no room, more may come to share the change.
    if (const double wait = state_.WriteDelay(1); wait > 0) {
      timer_.After(wait + 0.002, [this] { Pump(); });
      return;
    }
    std::deque<PendingJob> batch;
    size_t bytes = 32;
    while (AnyWaits()) {
      const PendingJob& w = Front();
      const bool fits =
          batch.empty() || (batching_ && !w.must_go_alone && !batch.front().must_go_alone &&
                            batch.size() < most_jobs_ && bytes + w.bytes <= most_bytes_);
      if (!fits) break;
      bytes += w.bytes;
      batch.push_back(Pop());
    }
    Send(std::move(batch));
  }
  // Nothing waits beyond its deadline, whatever becomes of what is under way.
  if (AnyWaits()) timer_.After(deadline_s_ / 8, [this] { Pump(); });
}

void JobSubmitter::Send(std::deque<PendingJob> batch) {
  kvstore::Transaction txn;
  for (const PendingJob& w : batch) {
    txn.conditions.push_back({keys::Job(w.id), 0});
    txn.conditions.push_back({keys::Final(w.id), 0});
  }
  if (batching_) {
    // Never used before: under this revision by nobody else, and by this process once.
    const std::string key = keys::kBatches + node_ + "." + std::to_string(revision_) + "." +
                            std::to_string(++batch_count_);
    txn.conditions.push_back({key, 0});
    std::vector<wire::Json> entries;
    for (const PendingJob& w : batch) entries.push_back(w.entry);
    txn.changes.push_back({key, jobs::JobRecords::EncodeBatch(std::move(entries))});
  } else {
    txn.changes.push_back({keys::Job(batch.front().id), batch.front().entry});
  }
  ++transactions_in_flight_;
  const double left = batch.front().deadline - net::Now();
  state_.Commit(std::move(txn), left,
                [this, batch = std::make_shared<std::deque<PendingJob>>(std::move(batch))](
                    const kvstore::TransactionResult& r) {
                  --transactions_in_flight_;
                  OnAnswer(std::move(*batch), r);
                  Pump();
                });
}

void JobSubmitter::OnAnswer(std::deque<PendingJob> batch, const kvstore::TransactionResult& r) {
  if (r.outcome == kvstore::Outcome::kConflict && batch.size() > 1) {
    // One of them is known: each for itself.
    for (PendingJob& w : batch) {
      w.must_go_alone = true;
      retried_alone_.push_back(std::move(w));
    }
    return;
  }
  for (PendingJob& w : batch) {
    w.done(r.outcome == kvstore::Outcome::kDone       ? Outcome::kNew
           : r.outcome == kvstore::Outcome::kConflict ? Outcome::kAlreadyRecorded
                                                      : Outcome::kUndetermined,
           r.revision);
  }
}

}  // namespace mosspath::service
