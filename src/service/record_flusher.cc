#include "mosspath/service/record_flusher.h"

#include <utility>

#include "mosspath/service/keys.h"
#include "mosspath/service/record_limits.h"

namespace mosspath::service {
namespace {

// Minimum time between the last flush and a flush that FlushSoon brings forward, as a fraction of
// the flush interval.
constexpr double kEarlyFlushRatio = 0.4;

void AddWrite(kvstore::Transaction& transaction, const std::string& key,
              const kvstore::PackedMap::PackWrite& write) {
  transaction.conditions.push_back({key, write.version});
  transaction.changes.push_back({key, write.value});
}

}  // namespace

RecordFlusher::RecordFlusher(const LeaderContext& context, std::function<void()> on_written)
    : context_(context), on_written_(std::move(on_written)), timer_(context.io) {}

bool RecordFlusher::IsBackingOff() const { return not_before_ && net::Now() < *not_before_; }

void RecordFlusher::FlushSoon() {
  if (IsBackingOff()) return;
  const double min_pause_s = kEarlyFlushRatio * context_.derived.record_flush_s;
  const double wait_s = last_flush_at_ ? *last_flush_at_ + min_pause_s - net::Now() : 0;
  timer_.After(wait_s, [this] { Flush(); });
}

void RecordFlusher::Flush() {
  timer_.After(context_.derived.record_flush_s, [this] { Flush(); });
  if (!context_.term.MayAct() || IsBackingOff()) return;
  last_flush_at_ = net::Now();
  const auto records = context_.scheduler.TakeRecords(
      static_cast<size_t>(context_.settings.store_transaction_changes), kMaxRecordBytes);
  if (records.empty()) return;
  kvstore::Transaction transaction = LeaderTransaction(context_.term);
  for (const auto& write : records.machines) {
    AddWrite(transaction, keys::Machines(write.pack), write);
  }
  for (const auto& write : records.progress) {
    AddWrite(transaction, keys::Progress(write.pack), write);
  }
  context_.store.Commit(transaction, context_.derived.user_deadline_s,
                        context_.term.Guard([this](const kvstore::TransactionResult& result) {
                          OnCommitted(result);
                        }));
}

void RecordFlusher::OnCommitted(const kvstore::TransactionResult& result) {
  if (result.outcome == kvstore::Outcome::kDone) {
    context_.scheduler.OnRecordsWritten(result.revision, net::Now());
    on_written_();
    return;
  }
  // A conflict means that an earlier write of this leader committed but the result of that write
  // was lost. The watch cache will deliver the versions of the records.
  context_.scheduler.OnRecordsFailed();
  not_before_ = net::Now() + context_.derived.record_flush_s;
}

}  // namespace mosspath::service
