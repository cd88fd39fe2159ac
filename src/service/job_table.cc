#include "mosspath/service/job_table.h"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <chrono>
#include <utility>

#include "mosspath/service/keys.h"

namespace mosspath::service {
namespace {

// Cached final states per megabyte of the memory limit: about a tenth of it.
constexpr double kFinalsPerMb = 600;
// Cancellations that peers can be told of: as many as fit a few answers.
constexpr double kCancelledPerMb = 20;

wire::Json FinalRecord(wire::Stage stage) { return {{"stage", wire::StageName(stage)}}; }

}  // namespace

JobTable::JobTable(asio::io_context& io, state::Client& state, state::Mirror& mirror,
                   Admission& admission, const config::Settings& settings,
                   const config::Derived& derived)
    : state_(state),
      mirror_(mirror),
      admission_(admission),
      derived_(derived),
      max_finals_(static_cast<size_t>(kFinalsPerMb * settings.memory_mb)),
      cancelled_(static_cast<size_t>(kCancelledPerMb * settings.memory_mb)),
      acceptor_(io, state, settings, derived) {}

void JobTable::Reset() {
  ledger_.Clear();
  missing_.clear();
  admission_.gate().Clear();
}

jobs::Ledger::Change JobTable::Changed(const state::Event& e) {
  try {
    auto change = ledger_.Seen(e.key, e.value ? &*e.value : nullptr, e.version);
    for (const auto& id : change.came) {
      missing_.erase(id);
      admission_.gate().Came(ledger_.Find(id)->spec);
    }
    for (const auto& id : change.ended) {
      missing_.erase(id);
      ahead_.erase(id);
      admission_.gate().Ended(id, net::Now());
    }
    // What came to be over before it was seen to come.
    std::erase_if(change.came, [this](const auto& id) { return ahead_.contains(id); });
    return change;
  } catch (const std::exception& error) {
    spdlog::error("jobs: unreadable record {}: {}", e.key, error.what());
    return {};
  }
}

JobTable::Known JobTable::FinalOf(const wire::Json& value) const {
  const std::string stage = value.is_object() ? value.value("stage", "") : "";
  if (stage == wire::StageName(wire::Stage::kDone)) return Known::kDone;
  if (stage == wire::StageName(wire::Stage::kCancelled)) return Known::kCancelled;
  return Known::kUnsure;
}

void JobTable::FinalChanged(const state::Event& e) {
  if (!e.value) return;  // never deleted
  const std::string id = e.key.substr(keys::kFinal.size());
  missing_.erase(id);
  const Known known = FinalOf(*e.value);
  if (known == Known::kCancelled) cancelled_.Known(id, e.version);
  if (known != Known::kUnsure) RecordFinal(id, known);
}

void JobTable::RecordFinal(const std::string& id, Known state) {
  if (!finals_.emplace(id, state).second) return;
  finals_order_.push_back(id);
  if (finals_order_.size() > max_finals_) {
    finals_.erase(finals_order_.front());
    finals_order_.pop_front();
  }
}

void JobTable::LearnCancelled(const std::string& id, uint64_t revision) {
  cancelled_.Known(id, revision);
  RecordFinal(id, Known::kCancelled);
  ForgetAhead();
  if (revision > mirror_.revision()) ahead_[id] = revision;
  if (on_ahead) on_ahead(id);
}

void JobTable::ForgetAhead() {
  std::erase_if(ahead_, [this](const auto& a) { return a.second <= mirror_.revision(); });
}

void JobTable::Lookup(const std::string& id, std::function<void(Known)> done) {
  if (auto it = finals_.find(id); it != finals_.end()) return done(it->second);
  mirror_.CatchUp([this, id, done = std::move(done)](bool ok) {
    if (auto it = finals_.find(id); it != finals_.end()) return done(it->second);
    if (!ok) return done(Known::kUnsure);
    if (ledger_.Find(id) != nullptr) return done(Known::kLive);
    if (missing_.contains(id)) return done(Known::kMissing);
    // Not live at the revision just read: over, or never accepted.
    const uint64_t revision = mirror_.revision();
    state_.Get(keys::Final(id), [this, id, revision, done](const state::Value& v) {
      if (v.kind == state::Value::Kind::kMissing) {
        // Unless the mirror has moved on, in which case it may have told already.
        if (mirror_.loaded() && mirror_.revision() == revision) {
          if (missing_.size() >= max_finals_) missing_.clear();
          missing_.insert(id);
        }
        return done(Known::kMissing);
      }
      if (v.kind == state::Value::Kind::kFailed) return done(Known::kUnsure);
      const Known known = FinalOf(v.value);
      // Told by this node from now on, though its mirror may not have come that far.
      if (known == Known::kCancelled) LearnCancelled(id, v.version);
      if (known != Known::kUnsure) RecordFinal(id, known);
      done(known);
    });
  });
}

void JobTable::Accept(const wire::JobSpec& spec, std::function<void(Accepted)> done) {
  // A retry needs no write.
  if (ledger_.Find(spec.id) != nullptr) return done(Accepted::kKnown);
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
    const auto* known = ledger_.Find(id);
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

void AddTo(state::Transaction& txn, const std::vector<jobs::RecordChange>& records) {
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
    const auto records = ledger_.End({id}, mirror_.revision());
    if (known != Known::kLive) return done(known);
    const double left = deadline - net::Now();
    if (left <= 0) return done(Known::kUnsure);
    if (records.empty()) return TryCancel(id, deadline, done);  // a look later it is known better
    state::Transaction txn;
    // One end only, whoever is first.
    txn.conditions.push_back({keys::Final(id), 0});
    AddTo(txn, records);
    txn.changes.push_back({keys::Final(id), FinalRecord(wire::Stage::kCancelled)});
    state_.Commit(std::move(txn), left, [this, id, deadline, done](state::TxnResult r) {
      if (r.outcome == state::Outcome::kDone) {
        LearnCancelled(id, r.revision);
        return done(Known::kCancelled);
      }
      if (r.outcome == state::Outcome::kConflict) return TryCancel(id, deadline, done);
      done(Known::kUnsure);
    });
  });
}

}  // namespace mosspath::service
