// Accepts jobs durably, those that wait together in one record and one transaction. A job that
// comes alone is written at once; under a burst the state service's rate decides how many share,
// and teams and classes take turns in what waits.
#pragma once

#include <deque>
#include <functional>
#include <string>

#include "mosspath/admission/fair_queue.h"
#include "mosspath/config/settings.h"
#include "mosspath/net/timer.h"
#include "mosspath/kvstore/client.h"
#include "mosspath/wire/messages.h"

namespace mosspath::service {

class Acceptor {
 public:
  enum class Outcome {
    kNew,     // durable
    kKnown,   // it stands in a record already, live or final
    kUnsure,  // no answer: it may or may not be durable
    kFull,    // too many of its team wait
  };
  // With the revision of the acceptance if it is new.
  using Done = std::function<void(Outcome, uint64_t revision)>;

  Acceptor(asio::io_context& io, kvstore::Client& state, const config::Settings& settings,
           const config::Derived& derived);

  // Whether several jobs may share a record: every controller can read those.
  void Share(bool allowed) { share_ = allowed; }
  // `revision`: of this controller's view, for names of records that were never used before.
  void Accept(const wire::JobSpec& spec, uint64_t revision, Done done);

 private:
  struct Waiting {
    std::string id;
    std::string team;
    std::string job_class;
    double weight = 1;  // of the class in its team
    wire::Json entry;
    size_t bytes = 0;
    double deadline = 0;
    bool alone = false;  // one of those it shared a transaction with is known
    Done done;
  };

  bool AnyWaits() const { return !alone_.empty() || !waiting_.empty(); }
  Waiting& Front() { return alone_.empty() ? waiting_.Front() : alone_.front(); }
  Waiting Pop();
  void Pump();
  void Send(std::deque<Waiting> batch);
  void OnAnswer(std::deque<Waiting> batch, const kvstore::TxnResult& r);
  // What waited until its deadline is answered now.
  void GiveUpLate();

  kvstore::Client& state_;
  const std::string node_;
  const size_t most_jobs_;
  const size_t most_bytes_;
  const double deadline_s_;
  net::Timer timer_;
  bool share_ = false;
  uint64_t revision_ = 0;
  uint64_t count_ = 0;
  size_t out_ = 0;             // transactions under way
  std::deque<Waiting> alone_;  // again, each for itself; before all others
  admission::FairQueue<Waiting> waiting_;
};

}  // namespace mosspath::service
