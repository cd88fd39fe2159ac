// Every node's view of the jobs, and the durable steps of their lives: accept and cancel. Carries
// out the looks and changes that jobs/directory decides.
#pragma once

#include <functional>
#include <string>

#include "mosspath/jobs/directory.h"
#include "mosspath/service/acceptor.h"
#include "mosspath/service/admission.h"
#include "mosspath/service/keys.h"
#include "mosspath/kvstore/client.h"
#include "mosspath/kvstore/mirror.h"
#include "mosspath/wire/messages.h"

namespace mosspath::service {

// The changes of records, on condition that they are as they were.
void AddTo(kvstore::Transaction& txn, const std::vector<jobs::RecordChange>& records);

class JobTable {
 public:
  using Known = jobs::Known;
  using Accepted = Acceptor::Outcome;

  JobTable(asio::io_context& io, kvstore::Client& state, kvstore::Mirror& mirror, Admission& admission,
           const config::Settings& settings, const config::Derived& derived);

  // The mirror's view.
  void Reset();
  // Which jobs came and ended with this record.
  jobs::Ledger::Change Changed(const kvstore::Event& e);
  void FinalChanged(const kvstore::Event& e);
  // Whether acceptances may share records.
  void Share(bool allowed) { acceptor_.Share(allowed); }
  // Up to this revision, the process before this one may have told of cancellations.
  void MayHaveTold(uint64_t revision) { directory_.MayHaveTold(revision); }
  // The mirror shows all that was written until then.
  void Loaded(uint64_t revision) {
    directory_.Loaded(revision);
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
  void RecordFinal(const std::string& id, Known state) { directory_.Over(id, state); }

  // What this node knows to be durable, and may have told.
  const election::Cancelled& cancelled() const { return directory_.cancelled(); }
  // A job that is accepted and, as far as is known, not over.
  const jobs::Accepted* FindLive(const std::string& id) const { return directory_.FindLive(id); }

  void EachLive(const std::function<void(const std::string& id, const jobs::Accepted&)>& f) const {
    directory_.EachLive(f);
  }
  const jobs::Ledger& ledger() const { return directory_.ledger(); }
  // All that was written until then is in the ledger.
  uint64_t revision() const { return mirror_.revision(); }

 private:
  void TryCancel(const std::string& id, double deadline, std::function<void(Known)> done);

  kvstore::Client& state_;
  kvstore::Mirror& mirror_;
  Admission& admission_;
  const config::Derived derived_;
  jobs::Directory directory_;
  Acceptor acceptor_;
};

}  // namespace mosspath::service
