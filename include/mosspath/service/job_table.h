// Every node's view of the jobs, and the durable steps of their lives: accept and cancel. What is
// told to a user is never older than what any node has told before.
#pragma once

#include <deque>
#include <functional>
#include <optional>
#include <string>
#include <unordered_map>
#include <unordered_set>

#include "mosspath/jobs/ledger.h"
#include "mosspath/lease/cancelled.h"
#include "mosspath/service/acceptor.h"
#include "mosspath/service/admission.h"
#include "mosspath/service/keys.h"
#include "mosspath/state/client.h"
#include "mosspath/state/mirror.h"
#include "mosspath/wire/messages.h"

namespace mosspath::service {

// The changes of records, on condition that they are as they were.
void AddTo(state::Transaction& txn, const std::vector<jobs::RecordChange>& records);

class JobTable {
 public:
  enum class Known { kLive, kDone, kCancelled, kMissing, kUnsure };
  using Accepted = Acceptor::Outcome;

  JobTable(asio::io_context& io, state::Client& state, state::Mirror& mirror, Admission& admission,
           const config::Settings& settings, const config::Derived& derived);

  // The mirror's view.
  void Reset();
  // Which jobs came and ended with this record.
  jobs::Ledger::Change Changed(const state::Event& e);
  void FinalChanged(const state::Event& e);
  // Whether acceptances may share records.
  void Share(bool allowed) { acceptor_.Share(allowed); }
  // Up to this revision, the process before this one may have told of cancellations.
  void MayHaveTold(uint64_t revision) { cancelled_.MayHaveTold(revision); }
  // The mirror shows all that was written until then.
  void Loaded(uint64_t revision) {
    ForgetAhead();
    admission_.gate().Loaded(revision);
  }
  // Cancelled since that revision, as another controller says; the mirror need not show it yet.
  void LearnCancelled(const std::string& id, uint64_t revision);
  // Called when a job is known to be cancelled ahead of the mirror: its tasks must end now. Until
  // the mirror shows it, which takes as long as an outage does, the job is live in the ledger only.
  std::function<void(const std::string& id)> on_ahead;

  void Lookup(const std::string& id, std::function<void(Known)> done);
  void Accept(const wire::JobSpec& spec, std::function<void(Accepted)> done);
  void Cancel(const std::string& id, std::function<void(Known)> done);
  void RecordFinal(const std::string& id, Known state);

  // What this node knows to be durable, and may have told.
  const lease::Cancelled& cancelled() const { return cancelled_; }
  // A job that is accepted and, as far as is known, not over.
  const jobs::Accepted* FindLive(const std::string& id) const {
    return ahead_.contains(id) ? nullptr : ledger_.Find(id);
  }

  void EachLive(const std::function<void(const std::string& id, const jobs::Accepted&)>& f) const {
    for (const auto& [id, job] : ledger_.live()) {
      if (!ahead_.contains(id)) f(id, job);
    }
  }
  const jobs::Ledger& ledger() const { return ledger_; }
  // All that was written until then is in the ledger.
  uint64_t revision() const { return mirror_.revision(); }

 private:
  Known FinalOf(const wire::Json& value) const;
  void ForgetAhead();
  void TryCancel(const std::string& id, double deadline, std::function<void(Known)> done);

  state::Client& state_;
  state::Mirror& mirror_;
  Admission& admission_;
  const config::Derived derived_;
  const size_t max_finals_;
  lease::Cancelled cancelled_;
  jobs::Ledger ledger_{keys::kJobs, keys::kBatches};
  Acceptor acceptor_;
  // Known to be cancelled since that revision, which the mirror has not come to: whatever it shows
  // of them by then, they are over. It may not even show yet that they were accepted.
  std::unordered_map<std::string, uint64_t> ahead_;
  std::unordered_map<std::string, Known> finals_;  // a bounded cache
  std::deque<std::string> finals_order_;
  // Asked about, and certainly unknown: the mirror would have told if they had come up since. So
  // users who ask for what nobody has submitted cost no read each time.
  std::unordered_set<std::string> missing_;
};

}  // namespace mosspath::service
