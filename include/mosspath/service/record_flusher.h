// Writes the leader's machine and progress records to the key-value store: at a regular interval,
// and sooner for machines that have no durable entry yet. Part of the leader's duties; not
// thread-safe.
#pragma once

#include <functional>
#include <optional>

#include "mosspath/kvstore/client.h"
#include "mosspath/net/timer.h"
#include "mosspath/service/leader_context.h"

namespace mosspath::service {

class RecordFlusher {
 public:
  // `on_written` is called after each committed transaction, during the term only.
  RecordFlusher(const LeaderContext& context, std::function<void()> on_written);

  void Start() { Flush(); }
  void Stop() { timer_.Cancel(); }
  // Brings the next flush forward. Called for a new machine, which takes no tasks before its entry
  // is durable.
  void FlushSoon();

 private:
  void Flush();
  void OnCommitted(const kvstore::TransactionResult& result);
  [[nodiscard]] bool IsBackingOff() const;

  const LeaderContext context_;
  const std::function<void()> on_written_;
  net::Timer timer_;
  std::optional<double> last_flush_at_;  // nullopt: no flush yet
  std::optional<double> not_before_;     // after a failed flush: no flush before this time
};

}  // namespace mosspath::service
