#include "mosspath/service/acceptor.h"

#include <algorithm>
#include <chrono>
#include <tuple>
#include <utility>

#include "mosspath/admission/gate.h"
#include "mosspath/jobs/ledger.h"
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

Acceptor::Acceptor(asio::io_context& io, kvstore::Client& state, const config::Settings& settings,
                   const config::Derived& derived)
    : state_(state),
      node_(settings.node),
      // Two conditions a job and one for the record, of four times as many as changes.
      most_jobs_(static_cast<size_t>(std::max(1, (4 * settings.txn_ops - 1) / 2))),
      most_bytes_(static_cast<size_t>(kRecordFill *
                                      std::min<double>(settings.value_kb * 1024, kRecordBytes))),
      deadline_s_(derived.user_deadline_s),
      timer_(io) {}

void Acceptor::Accept(const wire::JobSpec& spec, uint64_t revision, Done done) {
  revision_ = std::max(revision_, revision);
  // As in the gate: one team's flood stops itself while there are places left for others.
  const size_t waiting = waiting_.size() + alone_.size();
  const size_t of_team = waiting_.Of(spec.team);
  if (waiting >= kMostWaiting || (of_team > 0 && of_team >= kMostWaiting - waiting)) {
    return done(Outcome::kFull, 0);
  }
  Waiting w{spec.id,
            spec.team,
            spec.job_class,
            admission::RankWeight(spec.rank),
            jobs::Ledger::Entry(spec, WallSeconds()),
            0,
            net::Now() + deadline_s_,
            false,
            std::move(done)};
  w.bytes = w.entry.dump().size() + 1;
  const auto [team, job_class, weight] = std::tuple(w.team, w.job_class, w.weight);
  waiting_.Push(team, job_class, weight, std::move(w));
  Pump();
}

Acceptor::Waiting Acceptor::Pop() {
  if (alone_.empty()) return waiting_.Pop();
  Waiting w = std::move(alone_.front());
  alone_.pop_front();
  return w;
}

void Acceptor::GiveUpLate() {
  const auto is_late = [now = net::Now()](const Waiting& w) { return w.deadline <= now; };
  std::vector<Waiting> late;
  waiting_.TakeIf(is_late, [&](Waiting w) { late.push_back(std::move(w)); });
  for (Waiting& w : alone_) {
    if (is_late(w)) late.push_back(std::move(w));
  }
  std::erase_if(alone_, is_late);
  for (Waiting& w : late) w.done(Outcome::kUnsure, 0);
}

void Acceptor::Pump() {
  GiveUpLate();
  while (AnyWaits() && out_ < kMostOut) {
    // While the rate has no room, more may come to share the change.
    if (const double wait = state_.WaitToChange(1); wait > 0) {
      timer_.After(wait + 0.002, [this] { Pump(); });
      return;
    }
    std::deque<Waiting> batch;
    size_t bytes = 32;
    while (AnyWaits()) {
      const Waiting& w = Front();
      const bool fits =
          batch.empty() || (share_ && !w.alone && !batch.front().alone &&
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

void Acceptor::Send(std::deque<Waiting> batch) {
  kvstore::Transaction txn;
  for (const Waiting& w : batch) {
    txn.conditions.push_back({keys::Job(w.id), 0});
    txn.conditions.push_back({keys::Final(w.id), 0});
  }
  if (share_) {
    // Never used before: under this revision by nobody else, and by this process once.
    const std::string key =
        keys::kBatches + node_ + "." + std::to_string(revision_) + "." + std::to_string(++count_);
    txn.conditions.push_back({key, 0});
    std::vector<wire::Json> entries;
    for (const Waiting& w : batch) entries.push_back(w.entry);
    txn.changes.push_back({key, jobs::Ledger::Shared(std::move(entries))});
  } else {
    txn.changes.push_back({keys::Job(batch.front().id), batch.front().entry});
  }
  ++out_;
  const double left = batch.front().deadline - net::Now();
  state_.Commit(std::move(txn), left,
                [this, batch = std::make_shared<std::deque<Waiting>>(std::move(batch))](
                    const kvstore::TxnResult& r) {
                  --out_;
                  OnAnswer(std::move(*batch), r);
                  Pump();
                });
}

void Acceptor::OnAnswer(std::deque<Waiting> batch, const kvstore::TxnResult& r) {
  if (r.outcome == kvstore::Outcome::kConflict && batch.size() > 1) {
    // One of them is known: each for itself.
    for (Waiting& w : batch) {
      w.alone = true;
      alone_.push_back(std::move(w));
    }
    return;
  }
  for (Waiting& w : batch) {
    w.done(r.outcome == kvstore::Outcome::kDone       ? Outcome::kNew
           : r.outcome == kvstore::Outcome::kConflict ? Outcome::kKnown
                                                    : Outcome::kUnsure,
           r.revision);
  }
}

}  // namespace mosspath::service
