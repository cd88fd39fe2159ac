#include "mosspath/service/job_table.h"

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

JobTable::JobTable(asio::io_context& io, kvstore::Client& state, kvstore::Mirror& mirror,
                   Admission& admission, const config::Settings& settings,
                   const config::Derived& derived)
    : state_(state),
      mirror_(mirror),
      admission_(admission),
      derived_(derived),
      directory_(keys::kJobs, keys::kBatches,
                 {.finals = static_cast<size_t>(kFinalsPerMb * settings.memory_mb),
                  .cancellations = static_cast<size_t>(kCancelledPerMb * settings.memory_mb)}),
      acceptor_(io, state, settings, derived) {}

void JobTable::Reset() {
  directory_.Reset();
  admission_.gate().Clear();
}

jobs::Ledger::Change JobTable::Changed(const kvstore::Event& e) {
  try {
    auto change = directory_.Seen(e.key, e.value ? &*e.value : nullptr, e.version);
    for (const auto& id : change.came) admission_.gate().Came(ledger().Find(id)->spec);
    for (const auto& id : change.ended) admission_.gate().Ended(id, net::Now());
    // What came to be over before it was seen to come.
    std::erase_if(change.came, [this](const auto& id) { return FindLive(id) == nullptr; });
    return change;
  } catch (const std::exception& error) {
    spdlog::error("jobs: unreadable record {}: {}", e.key, error.what());
    return {};
  }
}

void JobTable::FinalChanged(const kvstore::Event& e) {
  if (!e.value) return;  // never deleted
  directory_.FinalSeen(e.key.substr(keys::kFinal.size()), *e.value, e.version);
}

void JobTable::LearnCancelled(const std::string& id, uint64_t revision) {
  directory_.LearnCancelled(id, revision, mirror_.revision());
  if (on_ahead) on_ahead(id);
}

void JobTable::Lookup(const std::string& id, std::function<void(Known)> done) {
  if (const auto known = directory_.Remembered(id)) return done(*known);
  mirror_.CatchUp([this, id, done = std::move(done)](bool ok) {
    if (const auto known = ok ? directory_.AfterLook(id) : directory_.Remembered(id)) {
      return done(*known);
    }
    if (!ok) return done(Known::kUnsure);
    state_.Get(
        keys::Final(id), [this, id, looked = mirror_.revision(), done](const kvstore::Value& v) {
          if (v.kind == kvstore::Value::Kind::kFailed) return done(Known::kUnsure);
          const bool missing = v.kind == kvstore::Value::Kind::kMissing;
          const uint64_t read = mirror_.loaded() ? mirror_.revision() : 0;
          const Known known =
              directory_.FinalRead(id, missing ? nullptr : &v.value, v.version, looked, read);
          if (known == Known::kCancelled && on_ahead) on_ahead(id);
          done(known);
        });
  });
}

void JobTable::Accept(const wire::JobSpec& spec, std::function<void(Accepted)> done) {
  // A retry needs no write.
  if (directory_.Holds(spec.id)) return done(Accepted::kKnown);
  // Another controller may have accepted it a moment ago, in a record of its own. A look that began
  // now tells, and takes no longer than the write does.
  struct Both {
    int missing = 2;
    Accepted outcome = Accepted::kUnsure;
    uint64_t revision = 0;
  };
  const auto both = std::make_shared<Both>();
  const auto join = [this, id = spec.id, both, done = std::move(done)] {
    if (--both->missing > 0) return;
    const auto* known = ledger().Find(id);
    const bool earlier = known != nullptr && known->version < both->revision;
    done(both->outcome == Accepted::kNew && earlier ? Accepted::kKnown : both->outcome);
  };
  mirror_.CatchUp([join](bool) { join(); });
  acceptor_.Accept(spec, mirror_.revision(),
                   [this, id = spec.id, both, join](Accepted outcome, uint64_t revision) {
                     if (outcome == Accepted::kNew) {
                       admission_.gate().Accepted(id, revision);
                     } else {
                       admission_.gate().Dropped(id);
                     }
                     both->outcome = outcome;
                     both->revision = revision;
                     join();
                   });
}

void AddTo(kvstore::Transaction& txn, const std::vector<jobs::RecordChange>& records) {
  for (const auto& r : records) {
    txn.conditions.push_back({r.key, r.version});
    txn.changes.push_back({r.key, r.value});
  }
}

void JobTable::Cancel(const std::string& id, std::function<void(Known)> done) {
  TryCancel(id, net::Now() + derived_.user_deadline_s, std::move(done));
}

void JobTable::TryCancel(const std::string& id, double deadline, std::function<void(Known)> done) {
  Lookup(id, [this, id, deadline, done = std::move(done)](Known known) {
    using Kind = jobs::Directory::CancelStep::Kind;
    const auto step = directory_.Cancel(id, known, mirror_.revision());
    if (step.kind == Kind::kTell) return done(step.known);
    const double left = deadline - net::Now();
    if (left <= 0) return done(Known::kUnsure);
    if (step.kind == Kind::kLook) return TryCancel(id, deadline, done);
    kvstore::Transaction txn;
    // One end only, whoever is first.
    txn.conditions.push_back({keys::Final(id), 0});
    AddTo(txn, step.records);
    txn.changes.push_back({keys::Final(id), jobs::FinalRecord(Known::kCancelled)});
    state_.Commit(std::move(txn), left, [this, id, deadline, done](kvstore::TxnResult r) {
      if (r.outcome == kvstore::Outcome::kDone) {
        LearnCancelled(id, r.revision);
        return done(Known::kCancelled);
      }
      if (r.outcome == kvstore::Outcome::kConflict) return TryCancel(id, deadline, done);
      done(Known::kUnsure);
    });
  });
}

}  // namespace mosspath::service
