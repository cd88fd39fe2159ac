// Writes the records of submitted jobs, with pending jobs batched in one record and one
// transaction. A single job is written at once. Under a burst, the write rate of the key-value
// store determines the batch size, and pending jobs are queued fairly among teams and classes. Not
// thread-safe.
#pragma once

#include <deque>
#include <functional>
#include <string>

#include "mosspath/admission/fair_queue.h"
#include "mosspath/config/settings.h"
#include "mosspath/kvstore/client.h"
#include "mosspath/net/timer.h"
#include "mosspath/wire/messages.h"

namespace mosspath::service {

class JobSubmitter {
 public:
  enum class Outcome {
    kNew,              // the job's record was written and is durable
    kAlreadyRecorded,  // the job already has a record, whether it has ended or not
    kUndetermined,     // the deadline passed or the write failed; the job's record may be durable
    kQueueFull,        // too many jobs are pending, in all or of the job's team
  };
  // Receives the outcome and, if it is kNew, the revision at which the job was recorded.
  using Done = std::function<void(Outcome, uint64_t revision)>;

  JobSubmitter(asio::io_context& io, kvstore::Client& store, const config::Settings& settings,
               const config::DerivedSettings& derived);

  // Sets whether several jobs may share a record, which requires that every controller can read
  // such records.
  void SetBatching(bool allowed) { batching_ = allowed; }
  // Queues the job. `revision` is the revision up to which this controller has read the key-value
  // store. It makes the keys of batch records unique.
  void Submit(const wire::JobSpec& spec, uint64_t revision, Done done);

 private:
  struct PendingJob {
    std::string id;
    std::string team;
    std::string job_class;
    double weight = 1;  // weight of the job's class among the classes of its team
    wire::Json entry;
    size_t bytes = 0;
    double deadline = 0;
    bool must_be_sent_alone = false;  // true after a batch with this job had a conflict
    Done done;
  };

  bool HasPending() const { return !retried_alone_.empty() || !waiting_.empty(); }
  PendingJob& Front() { return retried_alone_.empty() ? waiting_.Front() : retried_alone_.front(); }
  PendingJob Pop();
  void Pump();
  void Send(std::deque<PendingJob> batch);
  void OnAnswer(std::deque<PendingJob> batch, const kvstore::TransactionResult& r);
  // Answers the pending jobs whose deadline has passed with kUndetermined.
  void ExpireOverdue();

  kvstore::Client& store_;
  const std::string node_;
  const size_t max_batch_jobs_;
  const size_t max_batch_bytes_;
  const double deadline_s_;
  net::Timer timer_;
  bool batching_ = false;
  uint64_t revision_ = 0;
  uint64_t batch_count_ = 0;
  size_t transactions_in_flight_ = 0;
  // Jobs that must be sent alone, one in a transaction. These jobs are sent before the jobs in
  // waiting_.
  std::deque<PendingJob> retried_alone_;
  admission::FairQueue<PendingJob> waiting_;
};

}  // namespace mosspath::service
