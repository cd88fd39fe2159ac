// Accepts jobs durably, those that wait together in one record and one transaction. A job that
// comes alone is written at once; under a burst the state service's rate decides how many share,
// and teams and classes take turns in what waits.
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
    kNew,              // durable
    kAlreadyRecorded,  // it stands in a record already, live or final
    kUndetermined,     // no answer: it may or may not be durable
    kQueueFull,        // too many of its team wait
  };
  // With the revision of the acceptance if it is new.
  using Done = std::function<void(Outcome, uint64_t revision)>;

  JobSubmitter(asio::io_context& io, kvstore::Client& state, const config::Settings& settings,
               const config::DerivedSettings& derived);

  // Whether several jobs may share a record: every controller can read those.
  void SetBatching(bool allowed) { batching_ = allowed; }
  // `revision`: of this controller's view, for names of records that were never used before.
  void Submit(const wire::JobSpec& spec, uint64_t revision, Done done);

 private:
  struct PendingJob {
    std::string id;
    std::string team;
    std::string job_class;
    double weight = 1;  // of the class in its team
    wire::Json entry;
    size_t bytes = 0;
    double deadline = 0;
    bool must_go_alone = false;  // one of those it shared a transaction with is known
    Done done;
  };

  bool AnyWaits() const { return !retried_alone_.empty() || !waiting_.empty(); }
  PendingJob& Front() { return retried_alone_.empty() ? waiting_.Front() : retried_alone_.front(); }
  PendingJob Pop();
  void Pump();
  void Send(std::deque<PendingJob> batch);
  void OnAnswer(std::deque<PendingJob> batch, const kvstore::TransactionResult& r);
  // What waited until its deadline is answered now.
  void ExpireOverdue();

  kvstore::Client& state_;
  const std::string node_;
  const size_t most_jobs_;
  const size_t most_bytes_;
  const double deadline_s_;
  net::Timer timer_;
  bool batching_ = false;
  uint64_t revision_ = 0;
  uint64_t batch_count_ = 0;
  size_t transactions_in_flight_ = 0;     // transactions under way
  std::deque<PendingJob> retried_alone_;  // again, each for itself; before all others
  admission::FairQueue<PendingJob> waiting_;
};

}  // namespace mosspath::service
